#include "support/stand_in_target/pace.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberrygap::test_support {

namespace {

using state::Millis;

constexpr Millis kShortestNoise(20);
constexpr Millis kLongestNoise(50);
// Spread of the lognormal distribution; p99 is about six times the mean.
constexpr double kLognormalSigma = 1;
// A ramp is followed in steps of this length.
constexpr Millis kRampStep(10);

Millis Fixed(Millis mean, std::mt19937_64* /*random*/) {
  return mean;
}

Millis Exponential(Millis mean, std::mt19937_64* random) {
  return mean * std::exponential_distribution<double>()(*random);
}

Millis Lognormal(Millis mean, std::mt19937_64* random) {
  std::lognormal_distribution<double> draw(
      -kLognormalSigma * kLognormalSigma / 2, kLognormalSigma);
  return mean * draw(*random);
}

struct DistributionRow {
  const absl::string_view name_;
  const Distribution draw_;
};

constexpr std::array<DistributionRow, 3> kDistributions = {{
    {"fixed", &Fixed},
    {"exponential", &Exponential},
    {"lognormal", &Lognormal},
}};

}  // namespace

Distribution FindDistribution(absl::string_view name) {
  const auto* row = std::find_if(
      kDistributions.begin(), kDistributions.end(),
      [name](const DistributionRow& each) { return each.name_ == name; });
  return row == kDistributions.end() ? nullptr : row->draw_;
}

Pace::Pace(uint64_t seed, const Ramp& ramp, Millis now)
    : ramp_(ramp),
      start_(now),
      random_(seed),
      noise_random_(~seed),
      period_end_(now) {}

bool Pace::Draw(double share) {
  absl::MutexLock lock(&mutex_);
  return std::uniform_real_distribution<double>()(random_) < share;
}

Millis Pace::DrawServiceTime(const Behaviour& behaviour) {
  absl::MutexLock lock(&mutex_);
  return FindDistribution(behaviour.service_time_distribution_)(
      Millis(behaviour.service_time_mean_ms_), &random_);
}

Slowness Pace::At(Millis now, const Behaviour& behaviour) {
  absl::MutexLock lock(&mutex_);
  std::uniform_real_distribution<double> length(kShortestNoise.value(),
                                                kLongestNoise.value());
  while (period_end_ <= now) {
    period_end_ = period_end_ + Millis(length(noise_random_));
    period_draw_ = std::uniform_real_distribution<double>()(noise_random_);
  }
  double factor = behaviour.slow_factor_;
  if (period_draw_ < behaviour.noise_share_) {
    factor *= behaviour.noise_factor_;
  }
  Millis until = period_end_;
  const Millis ramp_left = start_ + ramp_.duration_ - now;
  if (ramp_left > Millis(0)) {
    factor *=
        1 + (ramp_.factor_ - 1) * (ramp_left.value() / ramp_.duration_.value());
    until = std::min(until, now + kRampStep);
  }
  return Slowness{.factor_ = factor, .until_ = until};
}

}  // namespace gooseberrygap::test_support
