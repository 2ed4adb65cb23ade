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

  // Returns the quantile, or nothing before kMinSamples samples were added. The
  // value of each quantile is computed again after kRecomputeInterval samples.
  std::optional<state::Millis> Quantile(double quantile) const {
    constexpr size_t kMinSamples = 20;
    if (samples_.size() < kMinSamples) {
      return std::nullopt;
    }
    const auto known = std::find_if(
        computed_.begin(), computed_.end(),
        [quantile](const auto& entry) { return entry.quantile_ == quantile; });
    if (known != computed_.end() && IsCurrent(*known)) {
      return known->value_;
    }
    // Also removes quantiles that an older configuration asked for.
    computed_.erase(
        std::remove_if(computed_.begin(), computed_.end(),
                       [this](const auto& entry) { return !IsCurrent(entry); }),
        computed_.end());
    computed_.push_back({.quantile_ = quantile,
                         .value_ = Compute(quantile),
                         .computed_at_ = added_});
    return computed_.back().value_;
  }

 private:
  // A quantile's value after `computed_at_` samples.
  struct ComputedQuantile {
    double quantile_ = 0;
    state::Millis value_;
    size_t computed_at_ = 0;
  };

  static constexpr size_t kLatencySamples = 512;
  // Number of samples between two computations of a quantile: computing it for
  // each call would cost more than the call.
  static constexpr size_t kRecomputeInterval = 32;

  bool IsCurrent(const ComputedQuantile& entry) const {
    return added_ - entry.computed_at_ < kRecomputeInterval;
  }

  // Precondition: there are samples.
  state::Millis Compute(double quantile) const {
    std::vector<state::Millis> ordered = samples_;
    const auto rank = std::min(
        ordered.size() - 1,
        static_cast<size_t>(quantile * static_cast<double>(ordered.size())));
    const auto place = ordered.begin() + static_cast<int64_t>(rank);
    std::nth_element(ordered.begin(), place, ordered.end());
    return *place;
  }

  std::vector<state::Millis> samples_;
  size_t next_ = 0;
  size_t added_ = 0;
  mutable std::vector<ComputedQuantile> computed_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LATENCY_WINDOW_H_
