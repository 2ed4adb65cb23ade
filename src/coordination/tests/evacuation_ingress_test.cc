#include <algorithm>

#include "coordination/tests/evacuation_daemon.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::RefusalReason;

constexpr const char* kRead = "/read/x";
constexpr const char* kAct = "/act/x";

// A daemon with a target of the service in each of the domains "b" and "c".
EvacuationDaemon TwoDomains() {
  return EvacuationDaemon({EvacuationDaemon::Target("tb", "b"),
                           EvacuationDaemon::Target("tc", "c")});
}

// Guards against calls that are sent to an evacuated failure domain, and
// against a withdrawal without effect.
TEST_CASE("a first attempt goes to no evacuated failure domain", "[path]") {
  EvacuationDaemon test = TwoDomains();
  test.Order(7, "b", true);
  for (const char* path : {kRead, kAct}) {
    for (int i = 0; i < 8; ++i) {
      CHECK(AllOf<Attempt>(test.Call(path)).at(0).target_ == "tc");
    }
  }
  test.Reply({.index_ = 9, .domains_ = {{"b", false, 8}, {"c", true, 9}}});
  CHECK(AllOf<Attempt>(test.Call(kRead)).at(0).target_ == "tb");
}

// Guards against a second attempt that goes to a failure domain that was
// evacuated after the first was sent.
TEST_CASE("retries and hedges go to no evacuated failure domain", "[path]") {
  EvacuationDaemon test = TwoDomains();
  const bool evacuates = GENERATE(false, true);
  // Sends a first attempt. From then on, the target in the other failure domain
  // is evacuated or not.
  std::string other;
  const auto send_first = [&](const char* path) {
    Attempt first = AllOf<Attempt>(test.Call(path)).at(0);
    other = first.target_ == "tb" ? "tc" : "tb";
    test.Order(7, other.substr(1), evacuates);
    return first;
  };
  Commands next;
  SECTION("retry after a refusal") {
    next = test.Answer(send_first(kRead), AttemptResult::kRefused,
                       RefusalReason::kTargetReplaced);
  }
  SECTION("retry of an action after a refusal") {
    next = test.Answer(send_first(kAct), AttemptResult::kRefused,
                       RefusalReason::kTargetReplaced);
  }
  SECTION("retry after a failure") {
    next = test.Answer(send_first(kRead), AttemptResult::kIncompleteAnswer,
                       RefusalReason::kTargetTimeout);
  }
  SECTION("hedge") {
    for (int i = 0; i < 20; ++i) {
      test.Answer(AllOf<Attempt>(test.Call(kRead)).at(0),
                  AttemptResult::kComplete);
    }
    send_first(kRead);
    test.now_ = test.now_ + Millis(50);
    next = test.node_.Handle(Ticked{}, test.now_);
  }
  SECTION("second copy beside a slow target") {
    const std::string target = send_first(kRead).target_;
    next = test.Receive(
        target + "-guard", "",
        LoadNotice{.target_ = target,
                   .load_ = {.slots_ = 4,
                             .state_ = state::TargetState::kServing,
                             .service_time_percent_ = 700}});
  }
  SECTION("retry after the link was lost") {
    send_first(kRead);
    for (int i = 0; i < 50; ++i) {
      test.now_ = test.now_ + Millis(10);
      Append(&next, test.node_.Handle(Ticked{}, test.now_));
    }
  }
  const auto attempts = AllOf<Attempt>(next);
  const bool goes_to_other = std::any_of(
      attempts.begin(), attempts.end(),
      [&other](const Attempt& attempt) { return attempt.target_ == other; });
  CHECK(goes_to_other == !evacuates);
}

// Guards against a call that is held, or refused for another reason, when an
// evacuation leaves it no target.
TEST_CASE("a call without a target outside evacuated domains is refused",
          "[not_run]") {
  EvacuationDaemon test = TwoDomains();
  test.Reply({.index_ = 8, .domains_ = {{"b", true, 7}, {"c", true, 8}}});
  Commands refused;
  SECTION("lookup") {
    refused = test.Call(kRead);
  }
  SECTION("action without a key") {
    refused = test.Call(kAct);
  }
  SECTION("action with a key") {
    refused = test.AnswerRegister(
        test.CallWithKey(),
        {.state_ = state::ActionState::kOpen, .attempt_ = 1});
  }
  CHECK(AllOf<Attempt>(refused).empty());
  const auto answers = AllOf<AnswerCall>(refused);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer_.outcome_ == Outcome::kNotRun);
  CHECK(answers[0].answer_.reason_ == RefusalReason::kEvacuated);
}

// Guards against an evacuation that operators cannot see in metrics and logs.
TEST_CASE("an evacuation is shown by gauges and log lines", "[path]") {
  EvacuationDaemon test;
  const auto gauge = [&test](const std::string& name) {
    for (const state::GaugeSample& sample : test.counters_.gauges().Samples()) {
      if (sample.name_ == "gooseberrygap_evacuation_" + name) {
        return sample.value_;
      }
    }
    return -1.0;
  };
  const auto line = [](const Commands& commands) {
    for (const WriteLog& log : AllOf<WriteLog>(commands)) {
      if (log.event_.event_.rfind("evacuation_", 0) == 0) {
        return log.event_.event_ + " " +
               std::get<std::string>(log.event_.fields_.at(0).value_);
      }
    }
    return std::string();
  };
  CHECK(line(test.Order(7, "a", true)) == "evacuation_in_force a");
  CHECK(line(test.Order(7, "a", true)).empty());
  CHECK(gauge("own_domain") == 1);
  CHECK(gauge("index") == 7);
  CHECK(gauge("domains") == 1);
  CHECK(line(test.Order(9, "a", false)) == "evacuation_ended a");
  CHECK(gauge("own_domain") == 0);
  CHECK(gauge("index") == 9);
  CHECK(gauge("domains") == 0);
}

}  // namespace
}  // namespace gooseberrygap::coordination
