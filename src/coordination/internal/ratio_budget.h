#ifndef COORDINATION_INTERNAL_RATIO_BUDGET_H_
#define COORDINATION_INTERNAL_RATIO_BUDGET_H_

#include <algorithm>

#include "state/state.h"

namespace gooseberrygap::coordination {

// Allows a fraction of the successful calls, so that retries and second copies
// never multiply load. Not thread-safe.
class RatioBudget {
 public:
  explicit RatioBudget(double ratio = 0) : ratio_(ratio) {}

  void SetRatio(double ratio) { ratio_ = ratio; }
  // Adds this many a second, whatever succeeds.
  void SetRate(double per_second) { per_second_ = per_second; }
  void OnSuccess() { Earn(ratio_); }
  bool Take(state::Millis now) {
    constexpr double kMsPerSecond = 1000;
    Earn((now - earned_at_).value() / kMsPerSecond * per_second_);
    earned_at_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  // All daemons may spend this at the same moment, so that it bounds what a
  // service is hit by when one of its targets is lost.
  static constexpr double kMaxTokens = 2;

  void Earn(double tokens) { tokens_ = std::min(kMaxTokens, tokens_ + tokens); }

  double ratio_;
  double per_second_ = 0;
  double tokens_ = kMaxTokens;
  state::Millis earned_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RATIO_BUDGET_H_
