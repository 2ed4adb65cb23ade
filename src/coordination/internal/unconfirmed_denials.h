#ifndef COORDINATION_INTERNAL_UNCONFIRMED_DENIALS_H_
#define COORDINATION_INTERNAL_UNCONFIRMED_DENIALS_H_

#include <algorithm>
#include <optional>

#include "coordination/internal/call_queue.h"

namespace gooseberrygap::coordination {

// Holds the calls that the configuration in force here does not allow, until
// the daemon knows whether a change that allows them has been accepted. A
// denial is final for its caller, so it must not rest on old knowledge. Not
// thread-safe.
class UnconfirmedDenials {
 public:
  // A call that is held no longer.
  struct Released {
    const CallReceived call_ = {};  // With the time left of its deadline.
    const bool is_confirmed_ = false;
  };

  // `configuration_apply` is the time in which an accepted configuration must
  // be in force.
  explicit UnconfirmedDenials(state::Millis configuration_apply)
      : max_age_(std::min(kMaxAge, configuration_apply * kMaxAgeFraction)) {}

  // Knowledge of at most this age confirms a denial.
  state::Millis max_age() const { return max_age_; }

  // Returns whether the call was held.
  bool Add(const CallReceived& call, state::Millis now) {
    return held_.Add(call, now);
  }

  // Returns the next call for which the knowledge, which is `staleness` old, is
  // recent enough, or whose time is over.
  std::optional<Released> Release(state::Millis staleness, state::Millis now) {
    if (held_.size() == 0) {
      return std::nullopt;
    }
    const state::Millis waited = held_.FirstWaited(now);
    const bool is_confirmed = staleness - waited <= max_age_;
    if (!is_confirmed && waited < kMaxWait) {
      return std::nullopt;
    }
    return Released{.call_ = held_.TakeFirst(now),
                    .is_confirmed_ = is_confirmed};
  }

  // Removes the call of a caller that has disconnected.
  void Remove(uint64_t call_id) { held_.Remove(call_id); }

  size_t size() const { return held_.size(); }

 private:
  // Longer than the age that a control instance in contact with its leader
  // reports, and the round trip to it.
  static constexpr state::Millis kMaxAge = state::Millis(500);
  static constexpr double kMaxAgeFraction = 0.5;
  // Calls beyond are refused at once as not run.
  static constexpr size_t kMaxHeld = 256;
  // Longer than a round trip between regions with a repetition. An instance
  // that does not reply within it is silent or behind, and the call is refused
  // as not run.
  static constexpr state::Millis kMaxWait = state::Millis(300);

  const state::Millis max_age_;
  CallQueue held_{kMaxHeld};
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_UNCONFIRMED_DENIALS_H_
