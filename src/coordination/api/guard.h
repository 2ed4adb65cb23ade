#ifndef COORDINATION_API_GUARD_H_
#define COORDINATION_API_GUARD_H_

#include <memory>
#include <string>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/events.h"
#include "coordination/api/policies.h"
#include "coordination/api/register_client.h"

namespace gooseberrygap::coordination {

// A target announces itself every second. After three missed announcements it
// counts as having left.
inline constexpr state::Millis kAnnouncementLifetime(3000);

// Controls access to the daemon's own target: admits attempts to its slots,
// queues those that can still meet their deadline, starts actions only after
// the register has granted the start, and distinguishes crashes of the target
// from slow answers. Not thread-safe.
class Guard {
 public:
  // `instance` and `incarnation` identify this daemon in the register;
  // `failure_domain` is its own, which an operator may evacuate. The register
  // client and the counters must outlive the guard. `warmup` is how closely the
  // limit of a cold target is kept.
  Guard(std::string instance,
        uint64_t incarnation,
        RegisterClient* register_client,
        state::Counters* counters,
        state::Millis announcement_lifetime = kAnnouncementLifetime,
        std::string failure_domain = {},
        const WarmupTolerance& warmup = {});
  ~Guard();

  // Sets the incarnation, adopted from the lease, that later register
  // calls carry.
  void SetIncarnation(uint64_t incarnation);
  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);

  // Applies the orders to evacuate failure domains. While the guard's own is
  // evacuated, new and queued attempts are refused and granted starts of
  // actions are released; running requests end normally. Precondition:
  // `evacuations` is not older than that of the last call. Not thread-safe.
  Commands UpdateEvacuations(const state::Evacuations& evacuations,
                             state::Millis now);

  Commands OnAnnounced(const TargetAnnounced& announced, state::Millis now);
  Commands OnWithdrawn(const TargetWithdrawn& withdrawn);
  // Applies the withdrawal that the control group has kept, so that a daemon
  // that has restarted ignores announcements from before it.
  Commands RestoreWithdrawal(const state::TargetWithdrawal& withdrawal);
  // Refuses new work permanently. Work that is already admitted continues.
  void Drain();
  // Returns whether Drain was called.
  bool is_draining() const;

  // Handles an attempt. This or a later call returns its answer, as a
  // ReplyToPeer command for `connection`.
  Commands OnAttempt(const std::string& connection,
                     const Attempt& attempt,
                     state::Millis now);
  // Handles a request to answer an attempt on another connection. An attempt
  // in progress is answered there when it ends; one that has ended recently at
  // once. One that this daemon has never received is refused, and is ignored if
  // it is received later.
  Commands OnResume(const std::string& connection, const ResumeAttempt& resume);
  Commands OnCancel(const Cancel& cancel, state::Millis now);
  Commands OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now);
  Commands OnConnectionsClosed(const TargetConnectionsClosed& closed,
                               state::Millis now);
  // Handles the end of a register call that the guard started.
  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);
  // Returns the answers that were delayed until the control group accepted the
  // crash reports.
  Commands OnCrashesReported(state::Millis now);
  Commands Tick(state::Millis now);

  // Returns the load that answers, probe replies and load notices carry.
  state::GuardLoad Load() const;
  // Returns the announced target's name, service, slots and effective state.
  const TargetAnnounced& target() const;
  // Returns the last withdrawal by a target itself, for the control group to
  // keep; one without a name when there was none.
  const state::TargetWithdrawal& withdrawal() const;
  // Returns the crash reports that no earlier call has returned.
  std::vector<CrashReport> TakeCrashReports();
  // Returns the number of admitted attempts that are not answered yet.
  size_t work_in_progress() const;
  // Returns the number of finished or released actions whose end the register
  // has not confirmed.
  size_t reports_in_progress() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_GUARD_H_
