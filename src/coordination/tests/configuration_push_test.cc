#include <catch2/catch.hpp>

#include "coordination/tests/lease_deployment.h"

namespace gooseberrygap::coordination {
namespace {

// Longest time from the commit of a configuration until it is in force, in ms.
constexpr double kApplyTime = 2000;

// Guards against changes in quick succession that are made from what the daemon
// had at its last renewal: it cannot use the second one, and gets the whole
// document again and again (review/9).
TEST_CASE("changes in quick succession reach a daemon as usable deltas",
          "[configuration]") {
  const double gap = GENERATE(30, 100, 330);
  const double delay = GENERATE(1, 80, 200);
  CAPTURE(gap, delay);
  LeaseDeployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  const uint64_t documents = deployment.Documents();
  deployment.delay_ = delay;
  for (int i = 0; i < 20; ++i) {
    deployment.Change();
    deployment.Run(gap);
  }
  deployment.Run(100 + delay);
  CHECK(deployment.IsUpToDate());
  CHECK(deployment.Unusable() == 0);
  CHECK(deployment.Documents() == documents);
}

// Guards against a daemon that stays behind because what it was sent counts as
// received, and against the whole document for one lost delta.
TEST_CASE("a lost push is followed by a delta from the daemon's configuration",
          "[configuration]") {
  const int lost = GENERATE(1, 2, 3);
  const int later = GENERATE(0, 1, 4);
  CAPTURE(lost, later);
  LeaseDeployment deployment;
  deployment.Run(3300);
  REQUIRE(deployment.IsUpToDate());
  const uint64_t documents = deployment.Documents();
  deployment.configurations_to_lose_ = lost;
  for (int i = 0; i < lost; ++i) {
    deployment.Change();
    deployment.Run(50);
  }
  CHECK_FALSE(deployment.IsUpToDate());
  for (int i = 0; i < later; ++i) {
    deployment.Change();
    deployment.Run(50);
  }
  deployment.Run(kApplyTime - 50 * (later + 1));
  CHECK(deployment.IsUpToDate());
  CHECK(deployment.Documents() == documents);
}

// Guards against a daemon that stays behind for as long as changes go on, since
// there is always a later one on the way.
TEST_CASE("a lost push is made up for while changes go on", "[configuration]") {
  LeaseDeployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  deployment.delay_ = 80;
  for (int i = 0; i < 100; ++i) {
    deployment.configurations_to_lose_ = i % 25 == 10 ? 1 : 0;
    const uint64_t before = deployment.Index();
    deployment.Change();
    deployment.Run(30);
    if (i % 25 == 24) {
      // 450 ms after the loss: the next push, a renewal and its reply.
      CHECK(deployment.Applied() + 10 >= before);
    }
  }
  CHECK(deployment.Documents() == 1);
}

// Guards against a control instance that relies on what it, or the process
// before it, sent on a connection that the daemon has left.
TEST_CASE("a daemon gets the changes after a move and after a restart",
          "[configuration]") {
  const bool restarts = GENERATE(false, true);
  LeaseDeployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  for (int round = 0; round < 4; ++round) {
    CAPTURE(round);
    const std::string left = deployment.current_;
    deployment.silent_ = {left};
    deployment.Change();
    if (restarts) {
      deployment.Run(100);
      deployment.Restart(left);
    }
    deployment.Run(kApplyTime + 500);
    CHECK(deployment.current_ != left);
    CHECK(deployment.IsUpToDate());
    deployment.silent_.clear();
    deployment.Change();
    deployment.Run(100);
    CHECK(deployment.IsUpToDate());
  }
}

// Guards against a whole document with each message while one is on the way.
TEST_CASE("a daemon that is far behind gets the whole document once",
          "[configuration]") {
  LeaseDeployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  deployment.delay_ = 100;
  const uint64_t documents = deployment.Documents();
  deployment.silent_ = {"addr1", "addr2"};
  for (int i = 0; i < 60; ++i) {
    deployment.Change();
    deployment.Run(30);
  }
  deployment.silent_.clear();
  for (int i = 0; i < 10; ++i) {
    deployment.Change();
    deployment.Run(200);
  }
  deployment.Run(kApplyTime);
  CHECK(deployment.IsUpToDate());
  CHECK(deployment.Documents() - documents <= 1);
}

}  // namespace
}  // namespace gooseberrygap::coordination
