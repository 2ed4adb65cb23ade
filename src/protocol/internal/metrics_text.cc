#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

std::string EscapeHelp(absl::string_view help) {
  return absl::StrReplaceAll(help, {{"\\", "\\\\"}, {"\n", "\\n"}});
}

}  // namespace

std::string PrintMetrics(const std::vector<state::CounterSample>& samples) {
  std::string text;
  absl::string_view family;
  for (const state::CounterSample& sample : samples) {
    if (sample.name_ != family) {
      family = sample.name_;
      absl::StrAppend(&text, "# HELP ", family, " ", EscapeHelp(sample.help_),
                      "\n# TYPE ", family, " counter\n");
    }
    absl::StrAppend(&text, family);
    if (!sample.labels_.empty()) {
      absl::StrAppend(&text, "{", sample.labels_, "}");
    }
    absl::StrAppend(&text, " ", sample.value_, "\n");
  }
  return text;
}

std::string PrintGauges(const std::vector<state::GaugeSample>& samples) {
  std::string text;
  for (const state::GaugeSample& sample : samples) {
    absl::StrAppend(&text, "# HELP ", sample.name_, " ",
                    EscapeHelp(sample.help_), "\n# TYPE ", sample.name_,
                    " gauge\n", sample.name_, " ", sample.value_, "\n");
  }
  return text;
}

std::string PrintHistograms(
    const std::vector<state::HistogramSample>& samples) {
  std::string text;
  for (const state::HistogramSample& sample : samples) {
    const std::string& name = sample.name_;
    absl::StrAppend(&text, "# HELP ", name, " ", EscapeHelp(sample.help_),
                    "\n# TYPE ", name, " histogram\n");
    for (const state::HistogramBucket& bucket : sample.buckets_) {
      absl::StrAppend(&text, name, "_bucket{le=\"", bucket.upper_bound_.value(),
                      "\"} ", bucket.cumulative_count_, "\n");
    }
    absl::StrAppend(&text, name, "_bucket{le=\"+Inf\"} ", sample.count_, "\n",
                    name, "_sum ", sample.sum_.value(), "\n", name, "_count ",
                    sample.count_, "\n");
  }
  return text;
}

}  // namespace gooseberrygap::protocol
