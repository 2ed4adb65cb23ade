#ifndef STATE_API_HISTOGRAMS_H_
#define STATE_API_HISTOGRAMS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/api/clock.h"

namespace gooseberrygap::state {

enum class Histogram {
  kCallLatency,   // From receipt of a call to its answer, at the ingress.
  kAddedLatency,  // The part of kCallLatency not spent at the guard.
  kQueueTime,     // From receipt of an attempt to its start, at the guard.
  kCount,
};

// The number of recorded values up to `upper_bound_`, inclusive.
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

// All histograms of a process, with buckets from 0.05 ms to 60 s. Thread-safe.
class Histograms {
 public:
  Histograms();
  ~Histograms();

  Histograms(const Histograms&) = delete;
  Histograms& operator=(const Histograms&) = delete;

  void Record(Histogram histogram, Millis value);
  // Returns all histograms, including empty ones.
  std::vector<HistogramSample> Samples() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_HISTOGRAMS_H_
