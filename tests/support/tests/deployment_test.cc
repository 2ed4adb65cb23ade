#include <signal.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "support/deployment.h"
#include "support/loopback.h"
#include "support/metrics_page.h"

namespace gooseberrygap::test_support {
namespace {

using nlohmann::json;
using state::Millis;

DeploymentSpec TwoRegions() {
  return DeploymentSpec{
      .instances_ = {{.name_ = "a",
                      .region_ = "north",
                      .failure_domain_ = "n1",
                      .control_ = true,
                      .target_ = TargetSpec{.service_ = "assay"}},
                     {.name_ = "b",
                      .region_ = "south",
                      .failure_domain_ = "s1"}},
      .network_ = {.between_regions_ = Millis(12),
                   .bits_per_second_between_regions_ = 30e6},
      .settings_patch_ = R"({"http":{"workers":4}})"};
}

json SettingsOf(const Deployment& deployment, const std::string& instance) {
  std::ifstream file(SettingsPath(deployment.folder(), instance));
  return json::parse(file, nullptr, false);
}

// Guards against settings that send daemons to wrong addresses.
TEST_CASE("a deployment writes the settings of each daemon") {
  const auto deployment = Deployment::Create(TwoRegions());
  REQUIRE(deployment.has_value());
  const json a = SettingsOf(*deployment.value(), "a");
  const json b = SettingsOf(*deployment.value(), "b");
  const InstanceAddresses& addresses = deployment.value()->AddressesOf("a");
  CHECK(a["instance"] == "a");
  CHECK(a["region"] == "north");
  CHECK(a["failure_domain"] == "n1");
  CHECK(a["http"]["listen"] == ToString(addresses.http_));
  CHECK(a["http"]["workers"] == 4);
  CHECK(a["peer"]["advertise"] == ToString(addresses.peer_));
  CHECK(a["control"]["data_dir"].is_string());
  CHECK_FALSE(b.contains("control"));
  REQUIRE(b["control_instances"].size() == 1);
  CHECK(b["control_instances"][0]["instance"] == "a");
  CHECK(b["control_instances"][0]["address"] == ToString(addresses.peer_));
  CHECK(b["control_instances"][0]["region"] == "north");
}

// Guards against a restarted process that moves to another address, and against
// lost exit codes.
TEST_CASE("a deployment starts, pauses, stops and restarts by name") {
  const auto created = Deployment::Create(TwoRegions());
  REQUIRE(created.has_value());
  Deployment& deployment = *created.value();
  const std::string target = TargetNameOf("a");
  const Address address = deployment.AddressesOf("a").target_;
  REQUIRE(deployment.Start(target).has_value());
  CHECK(CallOnce(address, {.path_ = "/x"}).status_ == 200);

  deployment.Pause(target);
  CHECK(CallOnce(address, {.path_ = "/x", .timeout_ = Millis(100)}).status_ ==
        0);
  deployment.Resume(target);
  CHECK(CallOnce(address, {.path_ = "/x"}).status_ == 200);

  REQUIRE(deployment.Restart(target).has_value());
  CHECK(CallOnce(address, {.path_ = "/x"}).status_ == 200);
  REQUIRE(deployment.SetBehaviour("a", R"({"fail_share":1})").has_value());
  CHECK(CallOnce(address, {.path_ = "/x"}).status_ == 500);

  const auto exit_codes = deployment.StopAll();
  REQUIRE(exit_codes.has_value());
  CHECK(exit_codes.value().at(target) == 0);
  CHECK(deployment.Find(target) == nullptr);
  CHECK_FALSE(IsListening(address));
}

// Guards against a test that waits in vain for a program that has ended.
TEST_CASE("a process that ends at its start is an error that names its log") {
  const auto created = Deployment::Create(
      {.instances_ = {{.name_ = "a",
                       .target_ = TargetSpec{.service_ = "s",
                                             .arguments_ = {"--state=x"}}}}});
  REQUIRE(created.has_value());
  const auto started = created.value()->Start(TargetNameOf("a"));
  REQUIRE_FALSE(started.has_value());
  CHECK(started.error().kind_ == state::ErrorKind::kUnreachable);
  CHECK(started.error().message_.find("a.target.log") != std::string::npos);
  CHECK_FALSE(created.value()->Start("nobody").has_value());
}

// Guards against processes that survive an aborted test.
TEST_CASE("children end when their test process is killed") {
  const TemporaryFolder folder;
  const std::string pid_path = folder.path() + "/pid";
  // This child plays the aborted test. It only starts a process and waits.
  const pid_t test = fork();
  if (test == 0) {
    const auto child =
        Process::Start({.program_ = "/bin/sleep", .arguments_ = {"60"}});
    std::ofstream(pid_path)
        << (child.has_value() ? child.value()->pid() : 0) << std::endl;
    pause();
    _exit(0);
  }
  pid_t child = 0;
  REQUIRE(WaitUntil("child", [&] {
            std::ifstream(pid_path) >> child;
            return child != 0;
          }).has_value());
  REQUIRE(kill(child, 0) == 0);
  kill(test, SIGKILL);
  // An orphan that nobody reaps stays as a zombie, state Z.
  CHECK(WaitUntil("end of the child", [&] {
          std::ifstream file("/proc/" + std::to_string(child) + "/stat");
          std::string number;
          std::string name;
          std::string run_state;
          file >> number >> name >> run_state;
          return !file || run_state == "Z" || run_state == "X";
        }).has_value());
}

// Guards against sums that mix up counters whose names or labels are similar.
TEST_CASE("a metrics page is summed by name and label") {
  const std::vector<MetricSample> samples = ParseMetrics(
      "# HELP x_total Help.\n# TYPE x_total counter\n"
      "x_total{reason=\"overloaded\"} 2\nx_total{reason=\"deadline\"} 3\n"
      "y_total 7\nbroken\n");
  CHECK(samples.size() == 3);
  CHECK(SumMetrics(samples, "x_total") == 5);
  CHECK(SumMetrics(samples, "x_total", "reason=\"deadline\"") == 3);
  CHECK(SumMetrics(samples, "y_total") == 7);
  CHECK(SumMetrics(samples, "x") == 0);
}

// Guards against links that a fault aimed at one pair of daemons would miss.
TEST_CASE("links between regions are delayed and share the bandwidth") {
  const DeploymentSpec spec = TwoRegions();
  const DeploymentSpec proxied = {
      .instances_ = spec.instances_,
      .proxied_ = {.peer_ = true, .control_ = true, .target_ = true},
      .network_ = spec.network_};
  const AddressPlan addresses = PlanAddresses(proxied);
  const json links = json::parse(PrintLinks(proxied, addresses));
  // Three peer links to each of a and b, three control links to a, one target.
  CHECK(links.size() == 10);
  int found = 0;
  for (const json& link : links) {
    if (link["name"] != "peer:b>a") {
      continue;
    }
    ++found;
    CHECK(link["listen"] == ToString(addresses.at("a").peer_for_peers_));
    CHECK(link["to"] == ToString(addresses.at("a").peer_));
    CHECK(link["source"] == addresses.at("b").peer_.host_);
    CHECK(link["forward"]["delay_ms"] == 12);
    CHECK(link["forward"]["group"] == "south>north");
    CHECK(link["backward"]["group"] == "north>south");
  }
  CHECK(found == 1);
  CHECK(json::parse(PrintGroups(proxied)).size() == 2);
}

}  // namespace
}  // namespace gooseberrygap::test_support
