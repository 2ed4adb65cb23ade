#ifndef COORDINATION_INTERNAL_TOKEN_BUCKET_H_
#define COORDINATION_INTERNAL_TOKEN_BUCKET_H_

#include <algorithm>

#include "state/state.h"

namespace gooseberrygap::coordination {

// Allows `per_second` tokens a second on average and a burst of one second's
// worth; never goes below zero. Not thread-safe.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second = 0) { SetRate(per_second); }

  void SetRate(double per_second) {
    per_second_ = per_second;
    tokens_ = std::min(tokens_, per_second);
  }

  // Returns whether `amount` tokens are there.
  bool Has(double amount, state::Millis now) {
    constexpr double kMillisPerSecond = 1000;
    const double elapsed = (now - refilled_at_).value() / kMillisPerSecond;
    refilled_at_ = now;
    tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
    return tokens_ >= amount;
  }

  // Takes `amount` tokens if they are there.
  bool Take(double amount, state::Millis now) {
    if (!Has(amount, now)) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

 private:
  double per_second_ = 0;
  double tokens_ = 0;
  state::Millis refilled_at_;
};

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

#endif  // COORDINATION_INTERNAL_TOKEN_BUCKET_H_
