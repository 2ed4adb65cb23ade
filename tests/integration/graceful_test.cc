#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "integration/fixture.h"
#include "integration/steady_load.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::CallOnce;
using test_support::Deployment;

constexpr int kRolls = 3;
// Two targets of each service in each region: the calls of a region whose only
// target restarts would exceed the budget of the link between regions.
constexpr int kLookupTargets = 4;
constexpr int kActionTargets = 4;

// Returns how many executions have begun at all targets.
int CountAllBegun(const Deployment& deployment) {
  int begun = 0;
  for (const auto& execution : ReadAllExecutions(deployment)) {
    begun += execution.event_ == "begin" ? 1 : 0;
  }
  return begun;
}

void StopAndStart(Deployment* deployment, const std::string& name) {
  const state::Result<int> exit_code = deployment->Stop(name);
  INFO(name);
  REQUIRE(exit_code);
  CHECK(exit_code.value() == 0);
  REQUIRE(deployment->Start(name));
  REQUIRE(deployment->WaitForConfiguration(1));
  REQUIRE(deployment->WaitForTargets(kLookupService, kLookupTargets));
  REQUIRE(deployment->WaitForTargets(kActionService, kActionTargets));
}

// Guards against a planned stop that cuts, loses or repeats a request: of a
// target, a daemon or a control instance, including the leader.
TEST_CASE("a rolling restart under load fails no call", "[graceful]") {
  const auto deployment = StartDeployment({.lookup_targets_ = kLookupTargets,
                                           .action_targets_ = kActionTargets,
                                           .control_instances_ = 3});
  SteadyLoad load(*deployment, 12);
  for (int roll = 0; roll < kRolls; ++roll) {
    for (const auto& instance : deployment->spec().instances_) {
      StopAndStart(deployment.get(),
                   test_support::TargetNameOf(instance.name_));
      StopAndStart(deployment.get(), instance.name_);
    }
  }
  const LoadResult result = load.Stop();
  WARN("lookups " << result.lookups_ << ", actions " << result.actions_
                  << ", sent again " << result.resent_ << ", moved "
                  << result.moved_ << ", failed " << result.failures_.size());
  INFO(absl::StrJoin(result.failures_, "\n"));
  CHECK(result.failures_.empty());
  CHECK(result.complete_keys_.size() == static_cast<size_t>(result.actions_));
  CheckRunOnce(*deployment, result.complete_keys_);
}

// Guards against a stop of the whole system, or a second signal, that cuts
// requests which run at a target.
TEST_CASE("SIGTERM to all processes, twice, cuts nothing in flight",
          "[graceful]") {
  constexpr int kLookups = 12;
  constexpr int kActions = 8;
  const auto deployment =
      StartDeployment({.lookup_targets_ = kLookupTargets,
                       .action_targets_ = kActionTargets,
                       .control_instances_ = 3,
                       .service_time_ = state::Millis(1500)});
  std::atomic<int> complete = 0;
  std::vector<std::string> failures(kLookups + kActions);
  std::vector<std::thread> threads;
  const auto& instances = deployment->spec().instances_;
  for (size_t i = 0; i < failures.size(); ++i) {
    const auto address =
        CallerAddress(*deployment, instances[i % instances.size()].name_);
    threads.emplace_back([&, i, address] {
      const std::string name = absl::StrCat("slow-", i);
      const CallAnswer answer =
          CallOnce(address, i < kActions ? Action(name)
                                         : Lookup(absl::StrCat("/", name)));
      if (answer.status_ == 200 && answer.Outcome() == "complete") {
        ++complete;
      } else {
        failures[i] =
            absl::StrCat(name, " ", answer.status_, answer.Outcome(), " ",
                         answer.Header("Gooseberrygap-Reason"), answer.failure_,
                         " after ", answer.latency_.value(), " ms\n");
      }
    });
  }
  const auto begun = test_support::WaitUntil("all requests at targets", [&] {
    return CountAllBegun(*deployment) >= kLookups + kActions;
  });
  std::vector<std::string> names;
  for (const auto& instance : instances) {
    names.push_back(instance.name_);
    names.push_back(test_support::TargetNameOf(instance.name_));
  }
  for (int signals = 0; signals < 2; ++signals) {
    for (const std::string& name : names) {
      deployment->Find(name)->Signal(SIGTERM);
    }
  }
  for (const std::string& name : names) {
    INFO(name);
    const auto exit_code =
        deployment->Find(name)->Wait(test_support::kPatience);
    CHECK(exit_code.value_or(-1) == 0);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  INFO(absl::StrJoin(failures, ""));
  CHECK(begun);
  CHECK(complete == kLookups + kActions);
  CHECK(test_support::MostBegunOfOneKey(ReadAllExecutions(*deployment)) <= 1);
}

// Guards against a stop that lasts until its register call expires, 30 s later:
// the control group has stopped before the daemon has reported an action's end.
TEST_CASE("a daemon stops when the register is out of reach", "[graceful]") {
  constexpr state::Millis kServiceTime(1500);
  constexpr state::Millis kLongestStop(10 * 1000);
  const auto deployment =
      StartDeployment({.control_instances_ = 1, .service_time_ = kServiceTime});
  const auto& instances = deployment->spec().instances_;
  const std::string control = instances.front().name_;
  const std::string daemon = "action-0";
  REQUIRE(control != daemon);
  std::string outcome;
  std::thread caller([&] {
    outcome =
        CallOnce(CallerAddress(*deployment, daemon), Action("last")).Outcome();
  });
  const auto begun = test_support::WaitUntil("the action at its target", [&] {
    return CountAllBegun(*deployment) > 0;
  });
  deployment->Kill(control);
  std::string guard;
  for (const auto& instance : instances) {
    const auto& log = test_support::ReadExecutionLog(
        test_support::ExecutionLogPath(deployment->folder(), instance.name_));
    guard = log.empty() ? guard : instance.name_;
  }
  const state::Result<int> exit_code = deployment->Stop(guard, kLongestStop);
  caller.join();
  CHECK(begun);
  INFO(guard);
  REQUIRE(exit_code);
  CHECK(exit_code.value() == 0);
  CHECK(outcome == "complete");
}

}  // namespace
}  // namespace gooseberrygap::integration
