#ifndef SUPPORT_PROGRAMS_H_
#define SUPPORT_PROGRAMS_H_

#include <string>

namespace gooseberrygap::test_support {

// Paths of the programs that the build made.
struct Programs {
  const std::string daemon_ = {};
  const std::string ctl_ = {};
  const std::string stand_in_target_ = {};
  const std::string fault_proxy_ = {};
  const std::string run_guarded_ = {};

  friend bool operator==(const Programs&, const Programs&) = default;
};

// Thread-safe.
Programs BuiltPrograms();

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_PROGRAMS_H_
