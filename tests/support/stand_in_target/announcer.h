#ifndef SUPPORT_STAND_IN_TARGET_ANNOUNCER_H_
#define SUPPORT_STAND_IN_TARGET_ANNOUNCER_H_

#include <memory>
#include <string>

#include "state/state.h"
#include "support/address.h"
#include "support/stand_in_target/behaviour.h"
#include "support/stand_in_target/slots.h"
#include "transport/transport.h"

namespace gooseberrygap::test_support {

// The `announce` duty: tells the daemon about the target every second and on
// every change.
class Announcer {
 public:
  struct Options {
    const std::string service_ = {};
    const std::string target_ = {};
    const std::string address_ = {};  // Where the daemon sends requests.
    const int slots_ = 0;
    const Address daemon_ = {};
  };

  // Starts the thread. `behaviour` and `slots` must outlive this object.
  Announcer(const Options& options,
            const BehaviourHolder* behaviour,
            const Slots* slots);
  // Ends without a withdrawal, as a crash would.
  ~Announcer();

  // Announces at once. Thread-safe.
  void AnnounceNow();
  // Announces the behaviour's last state, withdraws and ends the thread. Call
  // it once.
  void Leave();

 private:
  enum class Step { kAnnounce, kLeave };

  void Run();
  void Announce();
  void Post(const std::string& path, const std::string& body);

  const Options options_;
  const BehaviourHolder* const behaviour_;
  const Slots* const slots_;
  // Differs at every start, so that the daemon notices a restarted target.
  const uint64_t incarnation_;
  transport::Ring<Step> steps_;
  std::unique_ptr<transport::DutyThread> thread_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_STAND_IN_TARGET_ANNOUNCER_H_
