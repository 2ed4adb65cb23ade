#include "support/metrics_page.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "support/caller.h"

namespace gooseberrygap::test_support {

std::vector<MetricSample> ParseMetrics(absl::string_view text) {
  std::vector<MetricSample> samples;
  for (const absl::string_view line :
       absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    // The value is the last word, since label values may contain spaces.
    const size_t space = line.rfind(' ');
    double value = 0;
    if (line[0] == '#' || space == absl::string_view::npos ||
        !absl::SimpleAtod(line.substr(space + 1), &value)) {
      continue;
    }
    const absl::string_view series = line.substr(0, space);
    const size_t brace = series.find('{');
    const bool labelled = brace != absl::string_view::npos;
    samples.push_back(
        {.name_ = std::string(series.substr(0, brace)),
         .labels_ = labelled ? std::string(series.substr(
                                   brace + 1, series.size() - brace - 2))
                             : "",
         .value_ = value});
  }
  return samples;
}

std::vector<MetricSample> ReadMetrics(const Address& daemon) {
  return ParseMetrics(CallOnce(daemon, {.path_ = "/-/metrics"}).body_);
}

double SumMetrics(const std::vector<MetricSample>& samples,
                  absl::string_view name,
                  absl::string_view labels) {
  double sum = 0;
  for (const MetricSample& sample : samples) {
    if (sample.name_ == name && absl::StrContains(sample.labels_, labels)) {
      sum += sample.value_;
    }
  }
  return sum;
}

}  // namespace gooseberrygap::test_support
