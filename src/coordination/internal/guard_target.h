#ifndef COORDINATION_INTERNAL_GUARD_TARGET_H_
#define COORDINATION_INTERNAL_GUARD_TARGET_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// What a guard knows of its target, and whether an attempt may be admitted to
// it. Not thread-safe.
class GuardTarget {
 public:
  // A target without an announcement for `lifetime` is gone.
  explicit GuardTarget(state::Millis lifetime) : lifetime_(lifetime) {}

  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);

  // Takes an announcement. Returns true when it comes from a new process.
  bool Announce(const TargetAnnounced& announced, state::Millis now);
  // The target leaves for good, and its late announcements change nothing.
  void Withdraw(const TargetWithdrawn& withdrawn);
  void SetState(state::TargetState target_state);
  // Keeps the target draining whatever it announces later.
  void Drain();
  // Returns true once no announcement has come for too long.
  bool IsGone(state::Millis now) const;

  // Returns why the attempt must be refused at any load, or kNone.
  state::RefusalReason CheckState(const Attempt& attempt) const;
  // Returns why the attempt must be refused at this load, or kNone. `expected`
  // is the time that the attempt would take to be answered.
  state::RefusalReason CheckLoad(const Attempt& attempt,
                                 int running,
                                 int queued,
                                 state::Millis expected) const;
  bool IsSuspect(const std::string& fingerprint) const {
    return suspects_.contains(fingerprint);
  }

  bool known() const { return announced_.has_value(); }
  int slots() const { return known() ? announced_->slots_ : 0; }
  // The state that other daemons are told.
  state::TargetState state() const;
  // A target without a name when none has announced itself.
  const TargetAnnounced& announced() const;

  bool is_draining() const { return draining_; }
  // Where the target tells its load; empty when it does not.
  std::string HealthPath() const;

 private:
  // Whether the announcement is older than what is known.
  bool IsStale(const TargetAnnounced& announced) const;
  // Whether the route leads calls of this kind to the service.
  static bool LeadsTo(const state::Route& route, const Attempt& attempt);
  bool HasSameRule(const Attempt& attempt) const;
  state::RefusalReason CheckConfiguration(const Attempt& attempt) const;

  std::optional<state::IndexedConfiguration> configuration_;
  absl::flat_hash_set<std::string> convicted_;
  absl::flat_hash_set<std::string> suspects_;
  const state::Millis lifetime_;
  std::optional<TargetAnnounced> announced_;
  bool withdrawn_ = false;
  state::Millis last_announced_;
  bool draining_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_GUARD_TARGET_H_
