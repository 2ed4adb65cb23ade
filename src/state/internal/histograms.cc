#include <array>
#include <boost/histogram.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "state/state.h"

namespace gooseberrygap::state {

namespace {

namespace bh = boost::histogram;

// Number of buckets: two per doubling, so a quantile is accurate to within 20%.
constexpr unsigned kBuckets = 40;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 60000;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Table = decltype(bh::make_histogram(LogAxis()));

struct HistogramRow {
  const absl::string_view name_;
  const absl::string_view help_;
};

constexpr std::array<HistogramRow, static_cast<size_t>(Histogram::kCount)>
    kRows = {{
        {"call_latency", "Time from a call's arrival to its answer."},
        {"call_added_latency",
         "Time of a call that was not spent at the guard of its target."},
        {"queue_time", "Time that an attempt waited for a slot."},
    }};

struct HistogramData {
  Table table_ = bh::make_histogram(LogAxis(kBuckets, kLowestMs, kHighestMs));
  uint64_t count_ = 0;
  Millis sum_;
};

HistogramSample SampleOf(const HistogramRow& row, const HistogramData& data) {
  std::vector<HistogramBucket> buckets;
  const auto& axis = data.table_.axis();
  // Index -1 counts the values below the lowest bound.
  auto cumulative = static_cast<uint64_t>(data.table_.at(-1));
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += static_cast<uint64_t>(data.table_.at(i));
    buckets.push_back(
        HistogramBucket{.upper_bound_ = Millis(axis.bin(i).upper()),
                        .cumulative_count_ = cumulative});
  }
  return HistogramSample{
      .name_ = absl::StrCat("gooseberrygap_", row.name_, "_ms"),
      .help_ = std::string(row.help_),
      .buckets_ = buckets,
      .count_ = data.count_,
      .sum_ = data.sum_};
}

}  // namespace

class Histograms::Impl {
 public:
  void Record(Histogram histogram, Millis value) {
    absl::MutexLock lock(&mutex_);
    HistogramData& data = histograms_.at(static_cast<size_t>(histogram));
    data.table_(value.value());
    ++data.count_;
    data.sum_ = data.sum_ + value;
  }

  std::vector<HistogramSample> Samples() const {
    absl::MutexLock lock(&mutex_);
    std::vector<HistogramSample> samples;
    for (size_t i = 0; i < kRows.size(); ++i) {
      samples.push_back(SampleOf(kRows.at(i), histograms_.at(i)));
    }
    return samples;
  }

 private:
  mutable absl::Mutex mutex_;
  std::array<HistogramData, kRows.size()> histograms_ ABSL_GUARDED_BY(mutex_);
};

Histograms::Histograms() : impl_(std::make_unique<Impl>()) {}

Histograms::~Histograms() = default;

void Histograms::Record(Histogram histogram, Millis value) {
  impl_->Record(histogram, value);
}

std::vector<HistogramSample> Histograms::Samples() const {
  return impl_->Samples();
}

}  // namespace gooseberrygap::state
