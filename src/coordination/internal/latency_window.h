#ifndef COORDINATION_INTERNAL_LATENCY_WINDOW_H_
#define COORDINATION_INTERNAL_LATENCY_WINDOW_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// Recent latencies of a service's calls and their quantiles. Not thread-safe.
class LatencyWindow {
 public:
  void Add(state::Millis latency) {
    if (samples_.size() < kLatencySamples) {
      samples_.push_back(latency);
    } else {
      samples_[next_] = latency;
    }
    next_ = (next_ + 1) % kLatencySamples;
    ++added_;
  }

  // Returns the quantile, or nothing before kMinSamples samples were added.
  std::optional<state::Millis> Quantile(double quantile) const {
    constexpr size_t kMinSamples = 20;
    if (samples_.size() < kMinSamples) {
      return std::nullopt;
    }
    // Number of samples between two computations: computing the quantile for
    // each call would cost more than the call.
    constexpr size_t kRecomputeInterval = 32;
    if (!cached_.has_value() || added_ - cached_at_ >= kRecomputeInterval) {
      std::vector<state::Millis> ordered = samples_;
      const auto rank = std::min(
          ordered.size() - 1,
          static_cast<size_t>(quantile * static_cast<double>(ordered.size())));
      std::nth_element(ordered.begin(),
                       ordered.begin() + static_cast<int64_t>(rank),
                       ordered.end());
      cached_ = ordered[rank];
      cached_at_ = added_;
    }
    return cached_;
  }

 private:
  static constexpr size_t kLatencySamples = 512;

  std::vector<state::Millis> samples_;
  size_t next_ = 0;
  size_t added_ = 0;
  mutable std::optional<state::Millis> cached_;
  mutable size_t cached_at_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LATENCY_WINDOW_H_
