#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"
#include "support/metrics_page.h"

namespace gooseberrygap::integration {
namespace {

using nlohmann::json;
using test_support::Deployment;
using test_support::InstanceSpec;

// Far below what the daemons would like to spend, so that the budget binds.
constexpr double kBytesPerSecond = 1500;
constexpr double kMessagesPerSecond = 20;
constexpr double kCrossRegionBytesPerSecond = 300;
constexpr state::Millis kPhase(4000);

struct Cost {
  double bytes_ = 0;
  double messages_ = 0;
  double cross_region_bytes_ = 0;
};

void AddKind(const json& direction, const char* kind, bool paid, Cost* cost) {
  const json found = direction["kinds"].value(kind, json::object());
  const double bytes = found.value("bytes", 0.0);
  cost->bytes_ += bytes;
  cost->messages_ += found.value("messages", 0.0);
  cost->cross_region_bytes_ += paid ? bytes : 0;
}

// Returns what the proxy has seen of the probes of `from` and their replies.
Cost ProxyCost(const Deployment& deployment, const InstanceSpec& from) {
  const json links = json::parse(deployment.ReadLinks());
  Cost cost;
  for (const InstanceSpec& to : deployment.spec().instances_) {
    const auto link =
        links.find(absl::StrCat("peer:", from.name_, ">", to.name_));
    if (link != links.end()) {
      const bool paid = from.region_ != to.region_;
      AddKind((*link)["forward"], "5", paid, &cost);
      AddKind((*link)["backward"], "6", paid, &cost);
    }
  }
  return cost;
}

// Returns what the daemon has counted itself.
Cost DaemonCost(const Deployment& deployment, const InstanceSpec& instance) {
  const auto samples =
      test_support::ReadMetrics(deployment.AddressesOf(instance.name_).http_);
  const auto sum = [&samples](const char* what) {
    double total = 0;
    for (const char* link : {"domain", "region", "cross_region"}) {
      total += test_support::SumMetrics(
          samples,
          absl::StrCat("gooseberrygap_load_", what, "_", link, "_total"));
    }
    return total;
  };
  return Cost{.bytes_ = sum("bytes"),
              .messages_ = sum("messages"),
              .cross_region_bytes_ = test_support::SumMetrics(
                  samples, "gooseberrygap_load_bytes_cross_region_total")};
}

void SubmitBudget(const Deployment& deployment) {
  json document = json::parse(ConfigurationDocument(2));
  document["load_budget"] = {
      {"bytes_per_second", kBytesPerSecond},
      {"messages_per_second", kMessagesPerSecond},
      {"cross_region_bytes_per_second", kCrossRegionBytesPerSecond}};
  const auto submitted =
      deployment.SubmitConfiguration(deployment.spec().instances_.front().name_,
                                     Submission("budget", document.dump()));
  REQUIRE(submitted.status_ == 200);
  REQUIRE(
      deployment.WaitForConfiguration(json::parse(submitted.body_)["index"]));
}

void SendLookups(const Deployment& deployment, state::Millis duration) {
  const state::SteadyClock clock;
  const state::Millis end = clock.Now() + duration;
  std::vector<std::thread> threads;
  for (const InstanceSpec& instance : deployment.spec().instances_) {
    threads.emplace_back(
        [&, address = CallerAddress(deployment, instance.name_)] {
          test_support::Caller caller(address);
          for (int i = 0; clock.Now() < end; ++i) {
            caller.Call(Lookup(absl::StrCat("/samples/", i)));
          }
        });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Guards against probes that cost more than their budget in traffic, also while
// a target is silent and links are slow, and against counters that understate
// the cost.
TEST_CASE("measuring load stays within its budget", "[load_cost]") {
  const auto deployment = StartDeployment({.lookup_targets_ = 4,
                                           .action_targets_ = 1,
                                           .service_time_ = state::Millis(20),
                                           .proxied_ = {.peer_ = true}});
  SubmitBudget(*deployment);
  const auto& instances = deployment->spec().instances_;
  const state::SteadyClock clock;
  const state::Millis start = clock.Now();
  std::vector<Cost> before;
  for (const InstanceSpec& instance : instances) {
    before.push_back(ProxyCost(*deployment, instance));
  }
  SendLookups(*deployment, kPhase);
  REQUIRE(deployment->SetBehaviour("lookup-1", R"({"silent": true})"));
  SendLookups(*deployment, kPhase);
  SetAllPeerLinks(*deployment, R"({"forward": {"delay_ms": 100},
                                   "backward": {"delay_ms": 200}})");
  SendLookups(*deployment, kPhase);
  double messages = 0;
  for (size_t i = 0; i < instances.size(); ++i) {
    const Cost seen = ProxyCost(*deployment, instances[i]);
    const Cost counted = DaemonCost(*deployment, instances[i]);
    // A bucket holds one second's worth at the start.
    const double seconds = (clock.Now() - start).value() / 1000 + 1;
    INFO(instances[i].name_
         << " in " << seconds << " s: " << seen.bytes_ << " bytes, counted "
         << counted.bytes_ << "; " << seen.messages_ << " messages, counted "
         << counted.messages_ << "; across regions " << seen.cross_region_bytes_
         << ", counted " << counted.cross_region_bytes_);
    CHECK(seen.bytes_ - before[i].bytes_ <= kBytesPerSecond * seconds);
    CHECK(seen.messages_ - before[i].messages_ <= kMessagesPerSecond * seconds);
    CHECK(seen.cross_region_bytes_ - before[i].cross_region_bytes_ <=
          kCrossRegionBytesPerSecond * seconds);
    CHECK(seen.bytes_ <= counted.bytes_);
    CHECK(seen.messages_ <= counted.messages_);
    CHECK(seen.cross_region_bytes_ <= counted.cross_region_bytes_);
    CHECK(counted.messages_ <= 1.2 * seen.messages_ + 4);
    CHECK(counted.bytes_ <= 2 * seen.bytes_ + 400);
    messages += seen.messages_;
  }
  CHECK(messages > 100);
}

}  // namespace
}  // namespace gooseberrygap::integration
