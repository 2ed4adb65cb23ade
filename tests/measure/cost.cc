#include "measure/cost.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "support/metrics_page.h"

namespace gooseberrygap::measure {

namespace {

using nlohmann::json;
using test_support::Deployment;
using test_support::InstanceSpec;

// Fields of /proc/PID/stat after the command name, see proc(5).
constexpr size_t kUserTicks = 11;
constexpr size_t kSystemTicks = 12;
// Field numbers of Probe and ProbeReply in the envelope of peer.proto.
constexpr const char* kLoadKinds[] = {"5", "6"};

double CpuMillis(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const size_t name_end = text.rfind(") ");
  if (name_end == std::string::npos) {
    return 0;
  }
  const std::vector<std::string> fields =
      absl::StrSplit(text.substr(name_end + 2), ' ');
  double user = 0;
  double system = 0;
  if (fields.size() <= kSystemTicks ||
      !absl::SimpleAtod(fields[kUserTicks], &user) ||
      !absl::SimpleAtod(fields[kSystemTicks], &system)) {
    return 0;
  }
  return (user + system) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct LinkTotals {
  double bytes_ = 0;
  double load_bytes_ = 0;
  double load_messages_ = 0;
};

LinkTotals SumLink(const json& link) {
  LinkTotals totals;
  for (const char* direction : {"forward", "backward"}) {
    const json& counts = link.at(direction);
    totals.bytes_ += counts.at("bytes").get<double>();
    for (const char* kind : kLoadKinds) {
      if (counts.at("kinds").contains(kind)) {
        const json& count = counts.at("kinds").at(kind);
        totals.load_bytes_ += count.at("bytes").get<double>();
        totals.load_messages_ += count.at("messages").get<double>();
      }
    }
  }
  return totals;
}

}  // namespace

Totals ReadTotals(const Deployment& deployment) {
  std::map<std::string, DaemonTotals> daemons;
  for (const InstanceSpec& instance : deployment.spec().instances_) {
    const test_support::Process* process = deployment.Find(instance.name_);
    if (process != nullptr) {
      daemons.emplace(
          instance.name_,
          DaemonTotals{.pid_ = process->pid(),
                       .cpu_ms_ = CpuMillis(process->pid()),
                       .deliveries_ = test_support::SumMetrics(
                           test_support::ReadMetrics(
                               deployment.AddressesOf(instance.name_).http_),
                           "gooseberrygap_delivery_started_total")});
    }
  }
  if (!deployment.spec().proxied_.any()) {
    return {.daemons_ = daemons};
  }
  const json links = json::parse(deployment.ReadLinks(), nullptr, false);
  LinkTotals all;
  double cross_region_bytes = 0;
  for (const InstanceSpec& from : deployment.spec().instances_) {
    for (const InstanceSpec& to : deployment.spec().instances_) {
      for (const char* kind : {"peer:", "control:"}) {
        const std::string name = absl::StrCat(kind, from.name_, ">", to.name_);
        if (!links.is_object() || !links.contains(name)) {
          continue;
        }
        const LinkTotals link = SumLink(links.at(name));
        all.bytes_ += link.bytes_;
        all.load_bytes_ += link.load_bytes_;
        all.load_messages_ += link.load_messages_;
        cross_region_bytes += from.region_ == to.region_ ? 0 : link.bytes_;
      }
    }
  }
  return {.daemons_ = daemons,
          .cross_region_bytes_ = cross_region_bytes,
          .peer_bytes_ = all.bytes_,
          .load_bytes_ = all.load_bytes_,
          .load_messages_ = all.load_messages_};
}

Cost Difference(const Totals& before, const Totals& after) {
  double cpu_ms = 0;
  double executions = 0;
  for (const auto& [name, totals] : after.daemons_) {
    const auto earlier = before.daemons_.find(name);
    if (earlier != before.daemons_.end() &&
        earlier->second.pid_ == totals.pid_) {
      cpu_ms += totals.cpu_ms_ - earlier->second.cpu_ms_;
      executions += totals.deliveries_ - earlier->second.deliveries_;
    }
  }
  return {.cpu_ms_ = cpu_ms,
          .executions_ = executions,
          .cross_region_bytes_ =
              after.cross_region_bytes_ - before.cross_region_bytes_,
          .peer_bytes_ = after.peer_bytes_ - before.peer_bytes_,
          .load_bytes_ = after.load_bytes_ - before.load_bytes_,
          .load_messages_ = after.load_messages_ - before.load_messages_};
}

}  // namespace gooseberrygap::measure
