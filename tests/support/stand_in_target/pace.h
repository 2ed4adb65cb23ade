#ifndef SUPPORT_STAND_IN_TARGET_PACE_H_
#define SUPPORT_STAND_IN_TARGET_PACE_H_

#include <cstdint>
#include <random>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "state/state.h"
#include "support/stand_in_target/behaviour.h"

namespace gooseberrygap::test_support {

// Draws a service time around a mean.
using Distribution = state::Millis (*)(state::Millis mean,
                                       std::mt19937_64* random);

// Returns the distribution "fixed", "exponential" or "lognormal", or null.
// Thread-safe.
Distribution FindDistribution(absl::string_view name);

// A cold target is `factor_` times slower at its start; the factor falls
// evenly to 1 over `duration_`.
struct Ramp {
  const state::Millis duration_ = {};
  const double factor_ = 4;

  friend bool operator==(const Ramp&, const Ramp&) = default;
};

// How many times slower than normal the target works, and until when.
struct Slowness {
  const double factor_ = 1;
  const state::Millis until_ = {};

  friend bool operator==(const Slowness&, const Slowness&) = default;
};

// How fast the target works: service times, ramp and noise, all drawn from one
// seed. Thread-safe.
class Pace {
 public:
  Pace(uint64_t seed, const Ramp& ramp, state::Millis now);

  // Returns true for this share of the calls.
  bool Draw(double share);

  // Returns the time that the next request takes at normal speed.
  state::Millis DrawServiceTime(const Behaviour& behaviour);

  // Returns the slowness at `now`. Precondition: `now` does not go back by
  // more than a noise period.
  Slowness At(state::Millis now, const Behaviour& behaviour);

 private:
  const Ramp ramp_;
  const state::Millis start_;
  absl::Mutex mutex_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  // Apart from `random_`, so that the noise does not depend on the requests.
  std::mt19937_64 noise_random_ ABSL_GUARDED_BY(mutex_);
  state::Millis period_end_ ABSL_GUARDED_BY(mutex_);
  // A period is noisy when this is below the share of noise.
  double period_draw_ ABSL_GUARDED_BY(mutex_) = 1;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_STAND_IN_TARGET_PACE_H_
