#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "integration/control_pages.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {
namespace {

using test_support::Deployment;

const std::vector<std::string> kVoters = {"lookup-0", "lookup-1", "lookup-2"};

std::string ListOrders(const Deployment& deployment,
                       const std::string& instance) {
  const ToolRun run = RunTool(deployment, instance, {"evacuation", "list"});
  INFO(run.output_);
  CHECK(run.exit_code_ == 0);
  return run.output_;
}

// Guards against an operator's order that is never acknowledged, and against
// one that is acknowledged before it is durable.
TEST_CASE("an acknowledged evacuation outlasts the end of all instances",
          "[evacuation]") {
  const std::unique_ptr<Deployment> deployment =
      StartDeployment({.control_instances_ = 3});
  const ToolRun withdrawn =
      RunTool(*deployment, "lookup-1", {"evacuation", "stop", "domain-a"});
  INFO(withdrawn.output_);
  REQUIRE(withdrawn.exit_code_ == 0);
  const ToolRun ordered =
      RunTool(*deployment, "lookup-1", {"evacuation", "start", "domain-a"});
  INFO(ordered.output_);
  REQUIRE(ordered.exit_code_ == 0);
  for (const std::string& voter : kVoters) {
    deployment->Kill(voter);
  }
  for (const std::string& voter : kVoters) {
    Check(deployment->Start(voter));
  }
  WaitForLeader(*deployment, kVoters);
  CHECK_THAT(ListOrders(*deployment, "lookup-2"),
             Catch::Matchers::Contains("domain-a  evacuated"));
}

// Guards against an order that is lost or refused while its leader is frozen
// and another one is elected.
TEST_CASE("an evacuation is acknowledged while the leader is frozen",
          "[evacuation]") {
  const std::unique_ptr<Deployment> deployment =
      StartDeployment({.control_instances_ = 3});
  const std::string leader = WaitForLeader(*deployment, kVoters);
  const std::string& other = leader == kVoters[0] ? kVoters[1] : kVoters[0];
  deployment->Pause(leader);
  const ToolRun ordered =
      RunTool(*deployment, other, {"evacuation", "start", "domain-b"});
  deployment->Resume(leader);
  INFO(ordered.output_);
  REQUIRE(ordered.exit_code_ == 0);
  CHECK_THAT(ListOrders(*deployment, leader),
             Catch::Matchers::Contains("domain-b  evacuated"));
}

}  // namespace
}  // namespace gooseberrygap::integration
