#ifndef STATE_API_HISTOGRAMS_H_
#define STATE_API_HISTOGRAMS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/api/clock.h"

namespace gooseberrygap::state {

enum class Histogram {
  kCallLatency,   // From a call's arrival to its answer, at the ingress.
  kAddedLatency,  // The part of it that was not spent at the guard.
  kQueueTime,     // From an attempt's arrival to its start, at the guard.
  kCount,
};

// The values of one histogram up to and with `upper_bound_`.
struct HistogramBucket {
  const Millis upper_bound_ = {};
  const uint64_t cumulative_count_ = 0;

  friend bool operator==(const HistogramBucket&,
                         const HistogramBucket&) = default;
};

struct HistogramSample {
  const std::string name_ = {};
  const std::string help_ = {};
  const std::vector<HistogramBucket> buckets_ = {};
  const uint64_t count_ = 0;
  const Millis sum_ = {};

  friend bool operator==(const HistogramSample&,
                         const HistogramSample&) = default;
};

// All histograms of a process, from 0.05 ms to 60 s. Thread-safe.
class Histograms {
 public:
  Histograms();
  ~Histograms();

  Histograms(const Histograms&) = delete;
  Histograms& operator=(const Histograms&) = delete;

  void Record(Histogram histogram, Millis value);
  // Returns every histogram, also those without values.
  std::vector<HistogramSample> Samples() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_HISTOGRAMS_H_
