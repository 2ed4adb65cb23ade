#include <algorithm>
#include <array>
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "ctl/command.h"

namespace gooseberrygap::ctl {

namespace {

using state::TargetRecord;

// A column of the targets' table.
struct Column {
  const absl::string_view title_;
  std::string (*const text_)(const TargetRecord&);
};

constexpr std::array<Column, 7> kColumns = {{
    {"TARGET", [](const TargetRecord& target) { return target.target_; }},
    {"SERVICE", [](const TargetRecord& target) { return target.service_; }},
    {"INSTANCE", [](const TargetRecord& target) { return target.instance_; }},
    {"REGION", [](const TargetRecord& target) { return target.region_; }},
    {"DOMAIN",
     [](const TargetRecord& target) { return target.failure_domain_; }},
    {"SLOTS",
     [](const TargetRecord& target) { return absl::StrCat(target.slots_); }},
    {"STATE",
     [](const TargetRecord& target) {
       return std::string(protocol::NameOf(target.state_));
     }},
}};

std::string TargetTable(const std::vector<TargetRecord>& targets) {
  std::vector<std::string> lines(targets.size() + 1);
  for (const Column& column : kColumns) {
    size_t width = column.title_.size();
    for (const TargetRecord& target : targets) {
      width = std::max(width, column.text_(target).size());
    }
    for (size_t i = 0; i < lines.size(); ++i) {
      const std::string cell =
          i == 0 ? std::string(column.title_) : column.text_(targets[i - 1]);
      absl::StrAppendFormat(&lines[i], "%-*s", static_cast<int>(width) + 2,
                            cell);
    }
  }
  std::string text;
  for (const std::string& line : lines) {
    absl::StrAppend(&text, absl::StripTrailingAsciiWhitespace(line), "\n");
  }
  return text;
}

}  // namespace

state::Result<Report> RunTargets(const Invocation& invocation) {
  const auto targets =
      invocation.Client().Get("/-/targets", &protocol::ParseTargets);
  if (targets.has_error()) {
    return targets.error();
  }
  return Report{.output_ = TargetTable(targets.value())};
}

state::Result<Report> RunDrain(const Invocation& invocation) {
  const AdminClient client = invocation.Client();
  const auto answer = client.Post("/-/drain", "{}");
  if (answer.has_error()) {
    return answer.error();
  }
  return Report{.output_ = absl::StrCat(client.name(), " is draining\n")};
}

state::Result<Report> RunCounters(const Invocation& invocation) {
  const auto samples =
      invocation.Client().Get("/-/counters", &protocol::ParseCounters);
  if (samples.has_error()) {
    return samples.error();
  }
  std::string text;
  for (const state::CounterSample& sample : samples.value()) {
    absl::StrAppend(
        &text, sample.name_,
        sample.labels_.empty() ? "" : absl::StrCat("{", sample.labels_, "}"),
        " ", sample.value_, "\n");
  }
  return Report{.output_ = text};
}

}  // namespace gooseberrygap::ctl
