#ifndef STATE_API_TOKEN_BUCKET_H_
#define STATE_API_TOKEN_BUCKET_H_

#include <algorithm>

#include "state/api/clock.h"

namespace gooseberrygap::state {

// A token bucket that gains `per_second` tokens per second, up to the tokens of
// `burst_seconds`; never goes below zero. Not thread-safe.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second = 0, double burst_seconds = 1)
      : burst_seconds_(burst_seconds) {
    SetRate(per_second);
  }

  void SetRate(double per_second) {
    per_second_ = per_second;
    tokens_ = std::min(tokens_, capacity());
  }

  // Refills the bucket up to `now` and returns whether it holds at least
  // `amount` tokens.
  bool Has(double amount, Millis now) {
    constexpr double kMillisPerSecond = 1000;
    const double elapsed = (now - refilled_at_).value() / kMillisPerSecond;
    refilled_at_ = now;
    tokens_ = std::min(capacity(), tokens_ + elapsed * per_second_);
    return tokens_ >= amount;
  }

  // Removes `amount` tokens if available and returns whether it did.
  bool Take(double amount, Millis now) {
    if (!Has(amount, now)) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

 private:
  double capacity() const { return per_second_ * burst_seconds_; }

  const double burst_seconds_;
  double per_second_ = 0;
  double tokens_ = 0;
  Millis refilled_at_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_TOKEN_BUCKET_H_
