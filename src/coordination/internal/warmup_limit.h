#ifndef COORDINATION_INTERNAL_WARMUP_LIMIT_H_
#define COORDINATION_INTERNAL_WARMUP_LIMIT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "coordination/api/policies.h"
#include "state/state.h"

namespace gooseberrygap::coordination {

// How long a delivery to a target with a warm-up policy may wait to be sent.
// The limit counts deliveries when they are handed over, so that this bounds
// how far the requests that the target receives can move together.
inline constexpr state::Millis kMaxSendDelay(500);

// Why the limit of a target is in force.
enum class WarmupReason {
  kNone,
  kReportedCold,       // The target reports that it is cold.
  kGuardStarted,       // The guard, or the policy in it, is new.
  kGuardPaused,        // The guard did not run for a while.
  kNewProcess,         // A process that the guard has not seen was announced.
  kDeliveryFailed,     // A delivery or connection failed.
  kEvacuationEnded,    // The target's failure domain was evacuated.
  kConnectionsClosed,  // The target has closed all kept connections.
};

// The limit came into force, or ended.
struct WarmupChange {
  const bool in_force_ = false;
  const WarmupReason reason_ = WarmupReason::kNone;

  friend bool operator==(const WarmupChange&, const WarmupChange&) = default;
};

// Limits the requests that a guard hands to its target while the target is cold
// or may be cold. Counts deliveries by their times, whether or not the limit is
// in force, so that those from before count when the target becomes cold. Does
// nothing without a policy. Not thread-safe.
class WarmupLimit {
 public:
  explicit WarmupLimit(const WarmupTolerance& tolerance)
      : tolerance_(tolerance) {}

  // Sets the policy of the target's service. A first policy counts as a start
  // of the guard: earlier deliveries are not known.
  void SetPolicy(const state::WarmupPolicy& policy);
  // Must be called with the time of each event before any other method, so that
  // a pause of the guard is detected.
  void Observe(state::Millis now);

  // Handles an announcement of `process`, which differs for each process of the
  // target as far as it can be told apart. A `remaining` of 0 says nothing: the
  // announcement may be older than the last restart.
  void OnAnnounced(const std::string& process,
                   state::Millis remaining,
                   state::Millis now);
  // Handles a report, in any answer, of how much longer the target is cold.
  void OnReported(state::Millis remaining, state::Millis now);
  // Handles an event after which the target may be cold.
  void OnUncertain(WarmupReason reason, state::Millis now);

  // Returns whether a health request must be sent now to end the uncertainty.
  // Precondition: none is in progress.
  bool IsHealthDue(state::Millis now) const;
  void OnHealthSent(state::Millis now);
  // Handles a successful answer to the last health request. A target that is
  // warm need not say so: without `remaining` it is not cold.
  void OnHealthAnswered(std::optional<state::Millis> remaining,
                        state::Millis now);

  bool has_policy() const { return rate_ > 0; }
  bool IsCold(state::Millis now) const;
  bool IsUncertain(state::Millis now) const;
  bool IsInForce(state::Millis now) const {
    return IsCold(now) || IsUncertain(now);
  }
  // Returns since when the limit has been in force without interruption.
  // Precondition: it is in force.
  state::Millis in_force_since() const { return in_force_since_; }
  // Returns the time until one more request may be handed over after `ahead`
  // others; 0 if it may be now.
  state::Millis TimeToTurn(int ahead, state::Millis now) const;

  // Records a request that is handed to the target.
  void OnDelivered(uint64_t delivery_id, state::Millis now);
  // Takes back a delivery that the target has not received, or that it answered
  // as meant for another target.
  void OnNotReceived(uint64_t delivery_id);

  // Returns the sustained rate while the limit is in force, otherwise 0.
  double admissions_per_second() const;
  // Returns the change since the last call, or nothing.
  std::optional<WarmupChange> TakeChange(state::Millis now);

 private:
  struct Delivery {
    uint64_t id_ = 0;
    state::Millis at_;
  };

  // Returns the most requests that the target may receive in a second.
  double MaxReceived() const;
  // Returns the most deliveries in a second: half of what the tolerance allows
  // beyond the rate is left for deliveries that are sent late.
  double MaxDelivered() const;
  double SustainedRate() const;
  double Burst() const;
  // Records whether the limit is in force after an event.
  void Update(state::Millis now);
  void ForgetOld(state::Millis now);
  double TokensAt(state::Millis now) const;
  // Returns the time until `window` has room for `count` more deliveries, of
  // which it takes at most `limit`.
  state::Millis TimeToRoom(state::Millis window,
                           int limit,
                           int count,
                           state::Millis now) const;

  const WarmupTolerance tolerance_;
  state::Millis duration_;  // Of the policy.
  double rate_ = 0;         // Of the policy, per second; 0 without one.
  bool starts_ = false;     // The next event is the first with the policy.
  std::string process_;
  std::optional<state::Millis> observed_at_;
  // Until then, an earlier process of the guard may have used the limit up.
  state::Millis unknown_until_;
  state::Millis cold_until_;
  bool is_uncertain_ = false;
  state::Millis uncertain_until_;
  WarmupReason reason_ = WarmupReason::kNone;
  std::optional<state::Millis> health_sent_at_;
  // Whether the last health request was sent after the last event that made the
  // state uncertain, and after the last report that the target is cold.
  bool health_is_newer_ = false;
  bool was_in_force_ = false;
  state::Millis in_force_since_;
  bool reported_in_force_ = false;
  std::deque<Delivery> deliveries_;  // Of the last second and kMaxSendDelay.
  double tokens_ = 0;
  state::Millis tokens_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_WARMUP_LIMIT_H_
