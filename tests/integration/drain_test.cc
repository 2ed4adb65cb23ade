#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "integration/fixture.h"
#include "integration/steady_load.h"
#include "support/metrics_page.h"

namespace gooseberrygap::integration {
namespace {

using test_support::Deployment;

constexpr absl::Duration kNoNewWorkWithin = absl::Seconds(3);
constexpr absl::Duration kWatched = absl::Seconds(1);

int CountBegunAt(const Deployment& deployment, const std::string& instance) {
  int begun = 0;
  for (const auto& execution : test_support::ReadExecutionLog(
           test_support::ExecutionLogPath(deployment.folder(), instance))) {
    begun += execution.event_ == "begin" ? 1 : 0;
  }
  return begun;
}

double AttemptsReceived(const Deployment& deployment,
                        const std::string& instance) {
  return test_support::SumMetrics(
      test_support::ReadMetrics(deployment.AddressesOf(instance).http_),
      "gooseberrygap_attempt_received_total");
}

void Leave(Deployment* deployment,
           const std::string& instance,
           const std::string& how) {
  if (how == "announcement") {
    REQUIRE(deployment->SetBehaviour(instance, R"({"state":"draining"})"));
  } else if (how == "POST /-/drain") {
    const auto answer =
        test_support::CallOnce(deployment->AddressesOf(instance).http_,
                               {.method_ = "POST", .path_ = "/-/drain"});
    REQUIRE(answer.status_ == 200);
  } else {
    deployment->Find(test_support::TargetNameOf(instance))->Signal(SIGTERM);
  }
}

// Guards against a leaving target that gets new work from its guard, or from
// other daemons after 3 s, and against work in flight that is cut.
TEST_CASE("a leaving target gets no new work", "[drain]") {
  const std::string how =
      GENERATE("announcement", "POST /-/drain", "SIGTERM to the target");
  const bool control_down = GENERATE(false, true);
  INFO(how << ", control instances " << (control_down ? "down" : "up"));
  const auto deployment = StartDeployment(
      {.lookup_targets_ = 4, .service_time_ = state::Millis(20)});
  // The only control instance is the first.
  if (control_down) {
    deployment->Kill("lookup-0");
  }
  const std::string leaving = "lookup-2";
  SteadyLoad load(*deployment, 8);
  REQUIRE(test_support::WaitUntil("work at the target", [&] {
    return CountBegunAt(*deployment, leaving) > 20;
  }));
  Leave(deployment.get(), leaving, how);
  const absl::Time left_at = absl::Now();
  REQUIRE(test_support::WaitUntil("the daemon knows", [&] {
    const auto status = test_support::CallOnce(
        deployment->AddressesOf(leaving).http_, {.path_ = "/-/status"});
    return status.status_ == 200 &&
           nlohmann::json::parse(status.body_)["target"]["state"] != "serving";
  }));
  // An attempt admitted before may still begin.
  absl::SleepFor(absl::Milliseconds(200));
  const int begun = CountBegunAt(*deployment, leaving);
  absl::SleepFor(left_at + kNoNewWorkWithin - absl::Now());
  const double received = AttemptsReceived(*deployment, leaving);
  absl::SleepFor(kWatched);
  CHECK(AttemptsReceived(*deployment, leaving) == received);
  CHECK(CountBegunAt(*deployment, leaving) == begun);
  const LoadResult result = load.Stop();
  int lookups_failed = 0;
  for (const std::string& failure : result.failures_) {
    lookups_failed += failure.rfind("lookup", 0) == 0 ? 1 : 0;
  }
  INFO(absl::StrJoin(result.failures_, "\n").substr(0, 500));
  CHECK(lookups_failed == 0);
  CHECK((control_down || result.failures_.empty()));
  CheckRunOnce(*deployment, result.complete_keys_);
}

}  // namespace
}  // namespace gooseberrygap::integration
