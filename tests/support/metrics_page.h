#ifndef SUPPORT_METRICS_PAGE_H_
#define SUPPORT_METRICS_PAGE_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "support/address.h"

namespace gooseberrygap::test_support {

// One line of a metrics page.
struct MetricSample {
  const std::string name_ = {};
  const std::string labels_ = {};  // `reason="overloaded"` or empty.
  const double value_ = 0;

  friend bool operator==(const MetricSample&, const MetricSample&) = default;
};

// Parses the Prometheus text format. Thread-safe.
std::vector<MetricSample> ParseMetrics(absl::string_view text);

// Reads `GET /-/metrics`; empty when the daemon does not answer. Thread-safe.
std::vector<MetricSample> ReadMetrics(const Address& daemon);

// Returns the sum of the series of that name whose labels contain `labels`.
// Thread-safe.
double SumMetrics(const std::vector<MetricSample>& samples,
                  absl::string_view name,
                  absl::string_view labels = "");

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_METRICS_PAGE_H_
