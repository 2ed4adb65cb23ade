#ifndef STATE_API_TOKEN_BUCKET_H_
#define STATE_API_TOKEN_BUCKET_H_

#include <algorithm>

#include "state/api/clock.h"

namespace gooseberrygap::state {

// Allows `per_second` tokens a second on average, and what comes in
// `burst_seconds` at once; never goes below zero. Not thread-safe.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second = 0, double burst_seconds = 1)
      : burst_seconds_(burst_seconds) {
    SetRate(per_second);
  }

  void SetRate(double per_second) {
    per_second_ = per_second;
    tokens_ = std::min(tokens_, most());
  }

  // Returns whether `amount` tokens are there.
  bool Has(double amount, Millis now) {
    constexpr double kMillisPerSecond = 1000;
    const double elapsed = (now - refilled_at_).value() / kMillisPerSecond;
    refilled_at_ = now;
    tokens_ = std::min(most(), tokens_ + elapsed * per_second_);
    return tokens_ >= amount;
  }

  // Takes `amount` tokens if they are there.
  bool Take(double amount, Millis now) {
    if (!Has(amount, now)) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

 private:
  double most() const { return per_second_ * burst_seconds_; }

  const double burst_seconds_;
  double per_second_ = 0;
  double tokens_ = 0;
  Millis refilled_at_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_TOKEN_BUCKET_H_
