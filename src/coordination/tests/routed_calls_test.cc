#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Destination;
using state::Millis;
using state::RequestClass;

// An ingress with two services of two targets each, and routes to them.
class TestIngress {
 public:
  TestIngress()
      : router_({.instance_ = "g", .region_ = "r", .failure_domain_ = "d"},
                random_,
                &counters_),
        register_client_({"control"}, &counters_),
        ingress_("g-1", &router_, &register_client_, &counters_) {
    const state::Configuration configuration{
        .version_ = 1,
        .services_ = {{.name_ = "s", .strategy_ = "expected_time"},
                      {.name_ = "u", .strategy_ = "expected_time"}},
        .routes_ = {
            MakeRoute("read", "/read/", RequestClass::kLookup, {{"s", 1}}),
            MakeRoute("act", "/act/", RequestClass::kAction, {{"s", 1}}),
            MakeRoute("act-new", "/act/new/", RequestClass::kAction,
                      {{"u", 1}}),
            MakeRoute("split", "/split/", RequestClass::kLookup,
                      {{"s", 75}, {"u", 25}})}};
    router_.UpdateConfiguration(configuration);
    ingress_.UpdateConfiguration(
        {.index_ = 1,
         .configuration_ =
             std::make_shared<const state::Configuration>(configuration)});
    router_.UpdateTargets({Target("s1", "s"), Target("s2", "s"),
                           Target("u1", "u"), Target("u2", "u")},
                          Millis(0));
  }

  Commands Call(uint64_t id,
                const std::string& path,
                Millis deadline = Millis(2000)) {
    return ingress_.OnCall(
        CallReceived{.call_id_ = id,
                     .host_ = "h",
                     .request_ = {.method_ = "GET", .path_ = path},
                     .deadline_left_ = deadline},
        now_);
  }

  Commands Answer(const Attempt& attempt,
                  AttemptResult result,
                  state::RefusalReason refusal = state::RefusalReason::kNone) {
    return ingress_.OnAnswer(
        AttemptAnswer{
            .request_id_ = attempt.request_id_,
            .attempt_ = attempt.attempt_,
            .result_ = result,
            .refusal_ = refusal,
            .answer_ = {.status_ = 200},
            .load_ = {.slots_ = 4, .state_ = state::TargetState::kServing}},
        now_);
  }

  static state::Route MakeRoute(const std::string& name,
                                const std::string& prefix,
                                RequestClass request_class,
                                std::vector<Destination> destinations) {
    return state::Route{.name_ = name,
                        .host_ = "h",
                        .path_prefix_ = prefix,
                        .request_class_ = request_class,
                        .timeout_ = Millis(1000),
                        .latency_objective_ = Millis(500),
                        .max_attempts_ = 2,
                        .destinations_ = std::move(destinations)};
  }

  static state::TargetRecord Target(const std::string& name,
                                    const std::string& service) {
    return state::TargetRecord{.target_ = name,
                               .service_ = service,
                               .instance_ = name,
                               .guard_address_ = name + "-guard",
                               .region_ = "r",
                               .failure_domain_ = "d",
                               .slots_ = 4,
                               .state_ = state::TargetState::kServing};
  }

  Millis now_ = Millis(10);
  std::mt19937_64 random_;
  state::Counters counters_;
  Router router_;
  RegisterClient register_client_;
  Ingress ingress_;
};

// Returns the attempts among the commands.
std::vector<Attempt> AttemptsOf(const Commands& commands) {
  std::vector<Attempt> attempts;
  for (const Command& command : commands) {
    const auto* send = std::get_if<SendToPeer>(&command);
    if (send != nullptr && std::holds_alternative<Attempt>(send->message_)) {
      attempts.push_back(std::get<Attempt>(send->message_));
    }
  }
  return attempts;
}

const CallAnswer* AnswerOf(const Commands& commands) {
  for (const Command& command : commands) {
    if (const auto* answer = std::get_if<AnswerCall>(&command)) {
      return &answer->answer_;
    }
  }
  return nullptr;
}

// Guards against a call that runs at the service of a shorter prefix, and
// against a call that runs although no route matches it.
TEST_CASE("the longest prefix of the host decides", "[path]") {
  TestIngress test;
  CHECK(AttemptsOf(test.Call(1, "/act/new/x")).at(0).service_ == "u");
  CHECK(AttemptsOf(test.Call(2, "/act/newer")).at(0).service_ == "s");
  const Commands refused = test.Call(3, "/other/");
  REQUIRE(AnswerOf(refused) != nullptr);
  CHECK(AnswerOf(refused)->outcome_ == Outcome::kNotRun);
  CHECK(AnswerOf(refused)->reason_ == state::RefusalReason::kNoRoute);
}

// Guards against a daemon that crashes on a route without destinations, which
// an older build may have accepted.
TEST_CASE("a route without destinations is refused", "[not_run]") {
  TestIngress test;
  test.ingress_.UpdateConfiguration(
      {.index_ = 2,
       .configuration_ =
           std::make_shared<const state::Configuration>(state::Configuration{
               .version_ = 2,
               .routes_ = {
                   {.name_ = "empty", .host_ = "h", .path_prefix_ = "/e/"}}})});
  const Commands refused = test.Call(1, "/e/x");
  REQUIRE(AnswerOf(refused) != nullptr);
  CHECK(AnswerOf(refused)->outcome_ == Outcome::kNotRun);
  CHECK(AnswerOf(refused)->reason_ == state::RefusalReason::kNoService);
}

// Guards against a split that has the right proportions only after many calls.
TEST_CASE("each destination of a split gets its share at once", "[path]") {
  TestIngress test;
  std::map<std::string, int> calls;
  for (uint64_t id = 1; id <= 40; ++id) {
    ++calls[AttemptsOf(test.Call(id, "/split/")).at(0).service_];
  }
  CHECK(calls["s"] == 30);
  CHECK(calls["u"] == 10);
}

// Guards against an action that runs twice: its first attempt may have run.
TEST_CASE("an action without a key is sent again only after a refusal",
          "[at_most_once]") {
  TestIngress test;
  const Attempt first = AttemptsOf(test.Call(1, "/act/x")).at(0);
  CHECK(first.unkeyed_);
  const Commands after_refusal = test.Answer(first, AttemptResult::kRefused,
                                             state::RefusalReason::kOverloaded);
  const Attempt second = AttemptsOf(after_refusal).at(0);
  CHECK(second.target_ != first.target_);
  const Commands after_crash = test.Answer(
      second, AttemptResult::kUnknown, state::RefusalReason::kTargetCrashed);
  CHECK(AttemptsOf(after_crash).empty());
  test.now_ = Millis(900);
  const Commands after_timeout = test.ingress_.Tick(test.now_);
  REQUIRE(AnswerOf(after_timeout) != nullptr);
  CHECK(AnswerOf(after_timeout)->outcome_ == Outcome::kUnknown);
}

// Guards against the outcome "not run" for a call that has an open attempt.
TEST_CASE("an action without an answer is unknown at the route's timeout",
          "[not_run]") {
  TestIngress test;
  test.Call(1, "/act/x");
  test.now_ = Millis(1010);
  const Commands commands = test.ingress_.Tick(test.now_);
  REQUIRE(AnswerOf(commands) != nullptr);
  CHECK(AnswerOf(commands)->outcome_ == Outcome::kUnknown);
}

// Guards against a lookup that runs on more targets than its route allows:
// hedges count as attempts, refusals do not.
TEST_CASE("a lookup reaches no more targets than its route allows", "[path]") {
  TestIngress test;
  const Attempt first = AttemptsOf(test.Call(1, "/read/x")).at(0);
  const Attempt second =
      AttemptsOf(test.Answer(first, AttemptResult::kRefused,
                             state::RefusalReason::kOverloaded))
          .at(0);
  const Attempt third =
      AttemptsOf(test.Answer(second, AttemptResult::kIncompleteAnswer,
                             state::RefusalReason::kTargetTimeout))
          .at(0);
  CHECK(AttemptsOf(test.Answer(third, AttemptResult::kIncompleteAnswer,
                               state::RefusalReason::kTargetTimeout))
            .empty());
}

// Guards against a lookup that waits for a machine that its neighbours slow
// down, while another target could still answer in time.
TEST_CASE("a lookup on a target that turns slow is sent to another one too",
          "[load_cost]") {
  TestIngress test;
  const Attempt first = AttemptsOf(test.Call(1, "/read/x")).at(0);
  test.now_ = Millis(60);
  const Commands commands =
      test.ingress_.OnTargetSlow(first.target_, test.now_);
  REQUIRE(AttemptsOf(commands).size() == 1);
  CHECK(AttemptsOf(commands)[0].target_ != first.target_);
  const Attempt action = AttemptsOf(test.Call(2, "/act/x")).at(0);
  CHECK(test.ingress_.OnTargetSlow(action.target_, test.now_).empty());
  const Attempt late = AttemptsOf(test.Call(3, "/read/x")).at(0);
  test.now_ = Millis(700);
  CHECK(test.ingress_.OnTargetSlow(late.target_, test.now_).empty());
}

// Guards against an action that is given up while its target works on it,
// because the link to the guard was silent for a moment: the daemon was paused
// or slow.
TEST_CASE("an action outlives the link on which it was sent", "[not_run]") {
  TestIngress test;
  const Attempt sent = AttemptsOf(test.Call(1, "/act/x")).at(0);
  test.now_ = Millis(410);
  const Commands lost =
      test.ingress_.OnLinkLost(sent.target_ + "-guard", test.now_);
  CHECK(AnswerOf(lost) == nullptr);
  CHECK(AttemptsOf(lost).empty());
  test.now_ = Millis(600);
  const Commands answered = test.Answer(sent, AttemptResult::kComplete);
  REQUIRE(AnswerOf(answered) != nullptr);
  CHECK(AnswerOf(answered)->outcome_ == Outcome::kComplete);
}

// Guards against a caller that is held until its deadline although the guard's
// instance has failed: no link to it carries anything.
TEST_CASE("an action is given up when its guard stays silent", "[not_run]") {
  TestIngress test;
  const Attempt sent = AttemptsOf(test.Call(1, "/act/x")).at(0);
  const std::string guard = sent.target_ + "-guard";
  CHECK(AnswerOf(test.ingress_.OnLinkLost(guard, Millis(410))) == nullptr);
  CHECK(AnswerOf(test.ingress_.OnLinkLost(guard, Millis(810))) == nullptr);
  const Commands last = test.ingress_.OnLinkLost(guard, Millis(1210));
  REQUIRE(AnswerOf(last) != nullptr);
  CHECK(AnswerOf(last)->outcome_ == Outcome::kUnknown);
  CHECK(AnswerOf(last)->reason_ == state::RefusalReason::kLinkLost);
}

// Guards against a lookup that is given up at a silent link although it may not
// be sent elsewhere: its last target may still answer.
TEST_CASE("a lookup without another target outlives its link", "[not_run]") {
  TestIngress test;
  const Attempt first = AttemptsOf(test.Call(1, "/read/x")).at(0);
  const Attempt second =
      AttemptsOf(test.ingress_.OnLinkLost(first.target_ + "-guard", test.now_))
          .at(0);
  const Commands lost =
      test.ingress_.OnLinkLost(second.target_ + "-guard", test.now_);
  CHECK(AnswerOf(lost) == nullptr);
  CHECK(AnswerOf(test.Answer(second, AttemptResult::kComplete)) != nullptr);
}

// Guards against targets that continue to work for a disconnected caller.
TEST_CASE("a caller's disconnection cancels its attempts", "[path]") {
  TestIngress test;
  const Attempt attempt = AttemptsOf(test.Call(1, "/read/x")).at(0);
  const Commands commands = test.ingress_.OnCallerDisconnected(1, test.now_);
  REQUIRE(commands.size() == 1);
  const auto& cancel =
      std::get<Cancel>(std::get<SendToPeer>(commands[0]).message_);
  CHECK(cancel.request_id_ == attempt.request_id_);
  CHECK(test.ingress_.calls_in_progress() == 0);
  CHECK(test.ingress_.OnCallerDisconnected(1, test.now_).empty());
}

// Guards against callers that retry at once at a daemon that has just started,
// and are refused again.
TEST_CASE("a refused caller gets a retry delay", "[not_run]") {
  std::mt19937_64 random;
  state::Counters counters;
  Router router({.instance_ = "g"}, random, &counters);
  RegisterClient register_client({"control"}, &counters);
  Ingress ingress("g-1", &router, &register_client, &counters);
  const Commands commands = ingress.OnCall(
      CallReceived{.call_id_ = 1, .host_ = "h", .request_ = {.path_ = "/"}},
      Millis(0));
  REQUIRE(AnswerOf(commands) != nullptr);
  CHECK(AnswerOf(commands)->reason_ == state::RefusalReason::kNoConfiguration);
  CHECK(AnswerOf(commands)->retry_after_ >= Millis(100));
}

// Guards against a daemon that wakes constantly while calls wait for their
// answers, and against a deadline that is detected late.
TEST_CASE("an ingress is due when its earliest call is due", "[path]") {
  TestIngress test;
  CHECK_FALSE(test.ingress_.NextDue().has_value());
  test.Call(1, "/read/1", Millis(700));
  CHECK(test.ingress_.NextDue() == test.now_ + Millis(700));
  test.Call(2, "/act/2", Millis(300));
  CHECK(test.ingress_.NextDue() == test.now_ + Millis(300));
  test.now_ = test.now_ + Millis(300);
  CHECK(AnswerOf(test.ingress_.Tick(test.now_)) != nullptr);
  CHECK(test.ingress_.NextDue() == test.now_ + Millis(400));
  test.now_ = test.now_ + Millis(400);
  test.ingress_.Tick(test.now_);
  CHECK_FALSE(test.ingress_.NextDue().has_value());
}

}  // namespace
}  // namespace gooseberrygap::coordination
