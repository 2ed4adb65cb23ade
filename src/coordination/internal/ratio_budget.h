#ifndef COORDINATION_INTERNAL_RATIO_BUDGET_H_
#define COORDINATION_INTERNAL_RATIO_BUDGET_H_

#include <algorithm>

#include "state/state.h"

namespace gooseberrygap::coordination {

// Token bucket that limits retries or hedges to a fraction of the successful
// calls, so that they never multiply the load. Not thread-safe.
class RatioBudget {
 public:
  explicit RatioBudget(double ratio = 0) : ratio_(ratio) {}

  void SetRatio(double ratio) { ratio_ = ratio; }
  // Sets the number of tokens added a second, independently of successful
  // calls.
  void SetRate(double per_second) { per_second_ = per_second; }
  void OnSuccess() { AddTokens(ratio_); }
  bool Take(state::Millis now) {
    constexpr double kMsPerSecond = 1000;
    AddTokens((now - last_refill_).value() / kMsPerSecond * per_second_);
    last_refill_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  // Capacity of the bucket. All daemons may spend it at the same moment, so it
  // bounds the burst of repeated calls when a service loses one of its targets.
  static constexpr double kMaxTokens = 2;

  void AddTokens(double tokens) {
    tokens_ = std::min(kMaxTokens, tokens_ + tokens);
  }

  double ratio_;
  double per_second_ = 0;
  double tokens_ = kMaxTokens;
  state::Millis last_refill_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RATIO_BUDGET_H_
