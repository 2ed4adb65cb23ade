#ifndef DAEMON_CHANGE_BASE_H_
#define DAEMON_CHANGE_BASE_H_

#include <cstdint>

namespace gooseberrygap::daemon {

// How the version that a change builds on relates to the one in force.
enum class ChangeBase {
  kInForce,   // The change applies to the configuration in force.
  kOutdated,  // A newer version is in force; the change may be a resent one.
  kUnknown,   // No such version has been in force.
};

// Version 0 stands for no configuration, on which the first one builds.
// Thread-safe.
constexpr ChangeBase CompareBase(uint64_t base_version,
                                 uint64_t version_in_force) {
  if (base_version == version_in_force) {
    return ChangeBase::kInForce;
  }
  return base_version < version_in_force ? ChangeBase::kOutdated
                                         : ChangeBase::kUnknown;
}

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_CHANGE_BASE_H_
