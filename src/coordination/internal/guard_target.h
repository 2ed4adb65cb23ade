#ifndef COORDINATION_INTERNAL_GUARD_TARGET_H_
#define COORDINATION_INTERNAL_GUARD_TARGET_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// The announced state of a guard's target, and the checks whether an attempt
// may be admitted to it. Not thread-safe.
class GuardTarget {
 public:
  // A target without an announcement for `lifetime` has expired.
  explicit GuardTarget(state::Millis lifetime)
      : announcement_lifetime_(lifetime) {}

  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);

  // Records an announcement. Returns true when it comes from a new process.
  bool Announce(const TargetAnnounced& announced, state::Millis now);
  // Marks the target as left. Later announcements of the same process have no
  // effect.
  void Withdraw(const TargetWithdrawn& withdrawn);
  // Applies a withdrawal that was acknowledged before this daemon started. Has
  // no effect when a later one is known. Returns whether it withdraws the
  // target that is announced.
  bool RestoreWithdrawal(const state::TargetWithdrawal& withdrawal);
  void SetState(state::TargetState target_state);
  // Keeps the target draining, whatever state it announces later.
  void Drain();
  // Returns whether the last announcement is older than the lifetime.
  bool HasExpired(state::Millis now) const;

  // Returns why the attempt must be refused at any load, or kNone.
  state::RefusalReason CheckState(const Attempt& attempt) const;
  // Returns why the attempt must be refused at this load, or kNone. `expected`
  // is the expected time until the attempt is answered.
  state::RefusalReason CheckLoad(const Attempt& attempt,
                                 int running,
                                 int queued,
                                 state::Millis expected) const;
  bool IsSuspect(const std::string& fingerprint) const {
    return suspects_.contains(fingerprint);
  }

  bool has_announcement() const { return announcement_.has_value(); }
  int slots() const { return has_announcement() ? announcement_->slots_ : 0; }
  // Returns the state that is reported to other daemons.
  state::TargetState state() const;
  // Returns the last announcement; one without a name when there was none.
  const TargetAnnounced& announcement() const;

  // Returns the last withdrawal by a target itself; one without a name when
  // there was none. A drain or stop of this daemon is none.
  const state::TargetWithdrawal& withdrawal() const;

  // Returns the warm-up policy of the target's service.
  state::WarmupPolicy warmup() const;
  // Returns whether the known configuration has the target's service.
  bool knows_own_service() const { return OwnService() != nullptr; }

  bool is_draining() const { return draining_; }
  // Returns the path at which the target reports its load; empty without one.
  std::string HealthPath() const;

 private:
  bool has_configuration() const {
    return configuration_.has_value() &&
           configuration_->configuration_ != nullptr;
  }
  // Returns the target's service in the configuration, or null.
  const state::Service* OwnService() const;
  // Returns whether the announcement is older than the last one or than the
  // withdrawal.
  bool IsStale(const TargetAnnounced& announced) const;
  // Returns whether the announcement comes from a process that has withdrawn
  // later than it was sent.
  bool IsWithdrawn(const TargetAnnounced& announced) const;
  void SetWithdrawal(const TargetAnnounced& announced,
                     state::TargetState target_state);
  // Returns whether the announcement would move the target from a service of
  // the configuration to one that the configuration does not have. Such an
  // announcement comes from another writer.
  bool NamesUnknownService(const TargetAnnounced& announced) const;
  // Returns whether the route sends calls of this class to the service.
  static bool RoutesTo(const state::Route& route, const Attempt& attempt);
  bool HasSameRule(const Attempt& attempt) const;
  state::RefusalReason CheckConfiguration(const Attempt& attempt) const;

  std::optional<state::IndexedConfiguration> configuration_;
  absl::flat_hash_set<std::string> convicted_;
  absl::flat_hash_set<std::string> suspects_;
  const state::Millis announcement_lifetime_;
  std::optional<TargetAnnounced> announcement_;
  std::optional<state::TargetWithdrawal> withdrawal_;
  bool withdrawn_ = false;
  state::Millis last_announced_;
  bool draining_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_GUARD_TARGET_H_
