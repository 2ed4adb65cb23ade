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

}  // namespace gooseberrygap::protocol
