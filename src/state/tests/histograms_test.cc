#include <catch2/catch.hpp>

#include "state/state.h"

namespace gooseberrygap::state {
namespace {

// Guards against losing values below or above the bucket range, and against
// bucket counts that are not cumulative.
TEST_CASE("histogram buckets are cumulative") {
  Histograms histograms;
  for (const double value : {0.01, 0.06, 1.0, 1.0, 500.0, 100000.0}) {
    histograms.Record(Histogram::kQueueTime, Millis(value));
  }
  const HistogramSample sample =
      histograms.Samples().at(static_cast<size_t>(Histogram::kQueueTime));
  CHECK(sample.name_ == "gooseberrygap_queue_time_ms");
  CHECK(sample.count_ == 6);
  uint64_t previous = 0;
  for (const HistogramBucket& bucket : sample.buckets_) {
    CHECK(bucket.cumulative_count_ >= previous);
    previous = bucket.cumulative_count_;
  }
  CHECK(sample.buckets_.front().cumulative_count_ == 2);
  CHECK(sample.buckets_.back().cumulative_count_ == 5);
}

}  // namespace
}  // namespace gooseberrygap::state
