#include <catch2/catch.hpp>

#include "coordination/tests/lease_deployment.h"

namespace gooseberrygap::coordination {
namespace {

// Guards against membership changes that each push repeats until the daemon's
// next renewal: links and daemons then pay for a change many times.
TEST_CASE("each membership change is sent to a daemon once", "[membership]") {
  LeaseDeployment deployment;
  deployment.Run(4000);
  REQUIRE(deployment.IsUpToDate());
  deployment.delay_ = GENERATE(1, 80);
  deployment.records_ = 0;
  for (int i = 1; i <= 40; ++i) {
    deployment.Announce("e" + std::to_string(i % 4), i, i);
    deployment.Run(50);
  }
  deployment.Run(100 + deployment.delay_);
  for (int i = 37; i <= 40; ++i) {
    CHECK(deployment.SlotsOf("e" + std::to_string(i % 4)) == i);
  }
  CHECK(deployment.records_ == 40);
}

// Guards against a target that a daemon does not learn of, or that it takes for
// unchanged, because what it was sent counts as received.
TEST_CASE("a lost membership change is sent again", "[membership]") {
  const int lost = GENERATE(1, 2, 5);
  const bool goes_on = GENERATE(false, true);
  CAPTURE(lost, goes_on);
  LeaseDeployment deployment;
  // No reply to a renewal is among the lost ones: its loss ends the lease.
  deployment.Run(4300);
  REQUIRE(deployment.IsUpToDate());
  deployment.memberships_to_lose_ = lost;
  for (int i = 1; i <= lost; ++i) {
    deployment.Announce("lost", i, i);
    deployment.Run(50);
  }
  for (int i = 1; i <= 20; ++i) {
    if (goes_on) {
      deployment.Announce("other", i, i);
    }
    deployment.Run(50);
  }
  // The reply to the next renewal shows the loss, and the one after brings it.
  deployment.Run(200);
  CHECK(deployment.SlotsOf("lost") == lost);
  CHECK(deployment.SlotsOf("other") == (goes_on ? 20 : -1));
}

}  // namespace
}  // namespace gooseberrygap::coordination
