#ifndef COORDINATION_API_GUARD_H_
#define COORDINATION_API_GUARD_H_

#include <memory>
#include <string>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/events.h"
#include "coordination/api/register_client.h"

namespace gooseberrygap::coordination {

// The target announces itself every second; after three misses it is gone.
inline constexpr state::Millis kAnnouncementLifetime(3000);

// Decides for the daemon's own target: admits attempts to its slots, queues
// those that can still meet their deadline, starts actions only with the
// register's grant, and tells crashes apart from slow answers. Not thread-safe.
class Guard {
 public:
  // `instance` and `incarnation` name this daemon in the register. The register
  // client and the counters must outlive the guard.
  Guard(std::string instance,
        uint64_t incarnation,
        RegisterClient* register_client,
        state::Counters* counters,
        state::Millis announcement_lifetime = kAnnouncementLifetime);
  ~Guard();

  // Later starts of actions name this incarnation, which the lease has adopted.
  void SetIncarnation(uint64_t incarnation);
  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);

  Commands OnAnnounced(const TargetAnnounced& announced, state::Millis now);
  Commands OnWithdrawn(const TargetWithdrawn& withdrawn);
  // Refuses new work from now on and for good. Work that was admitted goes on.
  void Drain();
  // Returns whether Drain was called.
  bool is_draining() const;

  // Handles an attempt; the answer goes to `connection` by ReplyToPeer.
  Commands OnAttempt(const std::string& connection,
                     const Attempt& attempt,
                     state::Millis now);
  Commands OnCancel(const Cancel& cancel, state::Millis now);
  Commands OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now);
  // Handles the end of a register call that the guard started.
  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);
  // The control group has taken the crash reports.
  Commands OnCrashesReported(state::Millis now);
  Commands Tick(state::Millis now);

  // Returns the load that goes into answers and probe replies.
  state::GuardLoad Load() const;
  // Returns the announced target's name, service, slots and effective state.
  const TargetAnnounced& target() const;
  // Returns and forgets the crash reports that were not reported yet.
  std::vector<CrashReport> TakeCrashReports();
  // Returns the attempts that were admitted and not answered.
  size_t work_in_progress() const;
  // Returns the ends of actions that the register has not confirmed.
  size_t reports_in_progress() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_GUARD_H_
