#ifndef STATE_API_CLOCK_H_
#define STATE_API_CLOCK_H_

#include <atomic>
#include <compare>
#include <cstdint>

namespace gooseberrygap::state {

// A duration or a point on the steady clock, in milliseconds. Stored as a
// double because service times and added latency can be below a millisecond.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(double value) : value_(value) {}

  constexpr double value() const { return value_; }

  friend constexpr auto operator<=>(const Millis&, const Millis&) = default;
  friend constexpr Millis operator+(Millis left, Millis right) {
    return Millis(left.value_ + right.value_);
  }
  friend constexpr Millis operator-(Millis left, Millis right) {
    return Millis(left.value_ - right.value_);
  }
  friend constexpr Millis operator*(Millis left, double factor) {
    return Millis(left.value_ * factor);
  }
  friend constexpr Millis operator/(Millis left, double divisor) {
    return Millis(left.value_ / divisor);
  }

 private:
  double value_ = 0;
};

// Source of monotonic time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  // Returns the time since an arbitrary fixed point; never decreases.
  virtual Millis Now() const = 0;
};

// The monotonic clock of the operating system that also counts the time for
// which the machine is suspended, so that a permission that expires meanwhile
// has expired when the process runs again. Thread-safe.
class SteadyClock : public Clock {
 public:
  Millis Now() const override;
};

// A clock for tests that changes only through Advance(). Reading it is
// thread-safe; only one thread may advance it at a time.
class ManualClock : public Clock {
 public:
  Millis Now() const override;
  // Moves the clock forward. Precondition: `step` is not negative.
  void Advance(Millis step);

 private:
  std::atomic<double> now_ = 0;
};

// Returns milliseconds since the Unix epoch. Wall time may jump, so do not
// measure durations with it. Thread-safe.
uint64_t WallMillis();

}  // namespace gooseberrygap::state

#endif  // STATE_API_CLOCK_H_
