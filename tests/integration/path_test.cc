#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"
#include "support/execution_log.h"
#include "support/metrics_page.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::Caller;
using test_support::CallOnce;

// Guards against a broken link anywhere on the path: caller, ingress, guard,
// target and back, for lookups and actions, through every daemon.
TEST_CASE("lookups and actions are served through every daemon", "[path]") {
  const auto deployment = StartDeployment({});
  int number = 0;
  for (const auto& instance : deployment->spec().instances_) {
    const auto& address = CallerAddress(*deployment, instance.name_);
    INFO(instance.name_);
    const CallAnswer lookup = CallOnce(address, Lookup("/samples/7"));
    INFO(lookup.failure_ << lookup.Header("Gooseberrygap-Reason"));
    CHECK(lookup.status_ == 200);
    CHECK(lookup.Outcome() == "complete");
    CHECK(lookup.body_ == test_support::ExpectedEcho("GET", "/samples/7", ""));

    const std::string key = absl::StrCat("batch-", number++);
    const CallAnswer action = CallOnce(address, Action(key, "grade A"));
    INFO(action.failure_ << action.Header("Gooseberrygap-Reason"));
    CHECK(action.status_ == 200);
    CHECK(action.Outcome() == "complete");
    CHECK(action.body_ ==
          test_support::ExpectedEcho("POST", "/certify", "grade A"));
    const CallAnswer resend = CallOnce(address, Action(key, "grade A"));
    CHECK(resend.body_ == action.body_);
    const CallAnswer reused = CallOnce(address, Action(key, "grade B"));
    CHECK(reused.status_ == 409);
    CHECK(reused.Outcome() == "not-run");
  }
  int begun = 0;
  for (const auto& instance : deployment->spec().instances_) {
    const auto log = test_support::ReadExecutionLog(
        test_support::ExecutionLogPath(deployment->folder(), instance.name_));
    CHECK(test_support::MostBegunOfOneKey(log) <= 1);
    for (int i = 0; i < number; ++i) {
      begun += test_support::CountBegun(log, absl::StrCat("batch-", i));
    }
  }
  CHECK(begun == number);
}

// Guards against requests that are run although they match no rule, and against
// refusals that do not tell why.
TEST_CASE("bad calls are refused with a reason", "[path]") {
  const auto deployment = StartDeployment({});
  const auto& address = CallerAddress(*deployment, "lookup-0");
  struct Row {
    const test_support::CallRequest request_;
    const int status_;
    const char* reason_;
  };
  const Row rows[] = {
      {{.path_ = "/no-such-service/x"}, 404, "no_service"},
      {{.method_ = "DELETE", .path_ = "/assay-query/x"}, 404, "no_rule"},
      {{.method_ = "POST", .path_ = "/certification/certify"},
       400,
       "key_missing"},
      {{.path_ = "/assay-query/x",
        .headers_ = {{.name_ = "Gooseberrygap-Deadline-Ms", .value_ = "soon"}}},
       400,
       "bad_request"},
      {{.path_ = "/assay-query/x",
        .headers_ = {{.name_ = "Gooseberrygap-Depth", .value_ = "17"}}},
       400,
       "too_deep"},
  };
  for (const Row& row : rows) {
    const CallAnswer answer = CallOnce(address, row.request_);
    INFO(row.reason_);
    CHECK(answer.status_ == row.status_);
    CHECK(answer.Outcome() == "not-run");
    CHECK(answer.Header("Gooseberrygap-Reason") == row.reason_);
    CHECK(deployment->SumCounter("gooseberrygap_refusal_total", row.reason_) >=
          1);
  }
}

// Guards against lookups that need the control group for each call.
TEST_CASE("lookups go on after the control process is killed", "[path]") {
  const auto deployment =
      StartDeployment({.lookup_targets_ = 4, .action_targets_ = 1});
  deployment->Kill("lookup-0");
  Caller caller(CallerAddress(*deployment, "lookup-1"));
  int complete = 0;
  constexpr int kCalls = 200;
  for (int i = 0; i < kCalls; ++i) {
    const CallAnswer answer = caller.Call(Lookup(absl::StrCat("/samples/", i)));
    complete += answer.Outcome() == "complete" ? 1 : 0;
  }
  CHECK(complete == kCalls);
  const CallAnswer action =
      CallOnce(CallerAddress(*deployment, "lookup-1"), Action("late"));
  CHECK(action.Outcome() == "not-run");
}

}  // namespace
}  // namespace gooseberrygap::integration
