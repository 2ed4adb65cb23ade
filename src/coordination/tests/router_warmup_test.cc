#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

// An ingress and eight targets of a service with a warm-up policy.
class ColdTargets {
 public:
  explicit ColdTargets(const std::string& strategy = "expected_time") {
    const state::Configuration configuration{
        .version_ = 1,
        .services_ = {{.name_ = "s",
                       .strategy_ = strategy,
                       .rules_ = {{.path_prefix_ = "/act"}},
                       .warmup_ = {.duration_ = Millis(20000),
                                   .requests_per_second_ = 13}}},
        .routes_ = {{.name_ = "read",
                     .host_ = "h",
                     .path_prefix_ = "/",
                     .request_class_ = state::RequestClass::kLookup,
                     .timeout_ = Millis(1000),
                     .latency_objective_ = Millis(500),
                     .max_attempts_ = 2,
                     .destinations_ = {{"s", 1}}}}};
    router_.UpdateConfiguration(configuration);
    ingress_.UpdateConfiguration(
        {.index_ = 1,
         .configuration_ =
             std::make_shared<const state::Configuration>(configuration)});
    router_.UpdateTargets(Records(1), Millis(0));
  }

  // Returns eight targets; the last two are in `domain` and started with this
  // incarnation.
  static std::vector<state::TargetRecord> Records(
      uint64_t incarnation,
      const std::string& domain = "d") {
    std::vector<state::TargetRecord> records;
    for (int i = 0; i < 8; ++i) {
      const std::string name = "t" + std::to_string(i);
      records.push_back(
          {.target_ = name,
           .service_ = "s",
           .instance_ = name,
           .guard_address_ = name,
           .region_ = "r",
           .failure_domain_ = i < 6 ? "d" : domain,
           .slots_ = 4,
           .state_ = state::TargetState::kServing,
           .version_ = {.incarnation_ = i < 6 ? 1 : incarnation}});
    }
    return records;
  }

  void Load(int target, double admissions) {
    router_.OnLoad("t" + std::to_string(target),
                   {.slots_ = 4,
                    .state_ = state::TargetState::kServing,
                    .service_time_percent_ = 100,
                    .service_time_ = Millis(100),
                    .admissions_per_second_ = admissions},
                   now_);
  }

  // Sends `calls` calls, of which the target t answers all while
  // `takes_work(t)`, and otherwise refuses them. Returns how many succeeded.
  template <class TakesWork>
  int Call(int calls, TakesWork takes_work) {
    int served = 0;
    for (int i = 0; i < calls; ++i) {
      now_ = now_ + Millis(10);
      Commands commands = ingress_.OnCall(
          CallReceived{.call_id_ = ++call_,
                       .host_ = "h",
                       .request_ = {.method_ = "GET", .path_ = "/x"},
                       .deadline_left_ = Millis(1000)},
          now_);
      for (size_t at = 0; at < commands.size(); ++at) {
        const auto* send = std::get_if<SendToPeer>(&commands[at]);
        const auto* answer = std::get_if<AnswerCall>(&commands[at]);
        if (answer != nullptr) {
          served += answer->answer_.outcome_ == Outcome::kComplete ? 1 : 0;
        }
        if (send == nullptr ||
            !std::holds_alternative<Attempt>(send->message_)) {
          continue;
        }
        const auto attempt = std::get<Attempt>(send->message_);
        const int target = attempt.target_.back() - '0';
        ++sent_[target];
        const bool takes = takes_work(target);
        Append(&commands,
               ingress_.OnAnswer(
                   AttemptAnswer{
                       .request_id_ = attempt.request_id_,
                       .attempt_ = attempt.attempt_,
                       .result_ = takes ? AttemptResult::kComplete
                                        : AttemptResult::kRefused,
                       .refusal_ = takes ? state::RefusalReason::kNone
                                         : state::RefusalReason::kWarmingUp,
                       .answer_ = {.status_ = 200},
                       .load_ = {.slots_ = 4,
                                 .state_ = state::TargetState::kServing,
                                 .service_time_percent_ = 100,
                                 .service_time_ = Millis(100),
                                 .admissions_per_second_ = takes ? 0.0 : 13.0},
                       .target_ = attempt.target_},
                   now_));
      }
    }
    return served;
  }

  // Returns how many probes `ticks` ticks, 2 ms apart, send to the last two
  // targets.
  int CountColdProbes(int ticks) {
    int probes = 0;
    for (int i = 0; i < ticks; ++i) {
      now_ = now_ + Millis(2);
      for (const Command& command : router_.Tick(now_)) {
        const auto* send = std::get_if<SendToPeer>(&command);
        probes += send != nullptr && send->address_ >= "t6" ? 1 : 0;
      }
    }
    return probes;
  }

  Millis now_ = Millis(60000);
  std::map<int, int> sent_;
  std::mt19937_64 random_;
  state::Counters counters_;
  Router router_{{.instance_ = "g", .region_ = "r", .failure_domain_ = "d"},
                 random_,
                 &counters_};
  RegisterClient register_client_{{"control"}, &counters_};
  Ingress ingress_{"g-1", &router_, &register_client_, &counters_};

 private:
  uint64_t call_ = 0;
};

// Guards against calls that fail by the refusals of cold targets while others
// have room, and against cold targets that get attempts only to refuse them.
TEST_CASE("calls avoid a quarter of cold targets", "[warmup]") {
  ColdTargets test(GENERATE("expected_time", "probed_latency"));
  const bool is_reported = GENERATE(false, true);
  test.router_.UpdateTargets(ColdTargets::Records(2), test.now_);
  for (int target = is_reported ? 0 : 6; target < 8; ++target) {
    test.Load(target, target < 6 ? 0 : 13);
  }
  const auto warm = [](int target) { return target < 6; };
  CHECK(test.Call(200, warm) == 200);
  CHECK(test.sent_[6] + test.sent_[7] == 0);
}

// Guards against targets that have just come back and get calls as if warm.
TEST_CASE("a target with a new record counts as cold", "[warmup]") {
  ColdTargets test;
  test.router_.UpdateTargets(ColdTargets::Records(2), test.now_);
  test.Call(50, [](int) { return true; });
  CHECK(test.sent_[6] + test.sent_[7] == 0);
  CHECK(test.CountColdProbes(16) == 2);
  test.Load(6, 0);
  test.Call(50, [](int) { return true; });
  CHECK(test.sent_[6] > 0);
}

// Guards against a call that gives up after a few refusals of cold targets that
// its daemon did not know to be cold.
TEST_CASE("refusals of cold targets do not end a call", "[warmup]") {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ColdTargets test;
    test.random_.seed(seed);
    CHECK(test.Call(1, [](int target) { return target == 7; }) == 1);
  }
}

// Guards against an action that fails after a cold target's guard has released
// its start: the attempt number that the ingress knows is then outdated.
TEST_CASE("an action that a cold target released runs elsewhere", "[warmup]") {
  const auto reason = GENERATE(state::RefusalReason::kWarmingUp,
                               state::RefusalReason::kInternalQueueFull,
                               state::RefusalReason::kMisdirected);
  ColdTargets test;
  test.ingress_.SetActionsAllowed(true);
  const auto register_reply = [&test](const Commands& commands,
                                      uint64_t attempt) {
    REQUIRE(commands.size() == 1);
    const auto call =
        std::get<RegisterCall>(std::get<SendToPeer>(commands[0]).message_);
    CHECK(call.command_.operation_ == state::RegisterOperation::kBegin);
    const RegisterClient::Step step = test.register_client_.OnReply(
        RegisterReply{.call_id_ = call.call_id_,
                      .result_ = {.state_ = state::ActionState::kOpen,
                                  .attempt_ = attempt}},
        test.now_);
    REQUIRE(step.ends_.size() == 1);
    const Commands sent = test.ingress_.OnRegisterEnd(step.ends_[0], test.now_);
    REQUIRE(sent.size() == 1);
    return std::get<Attempt>(std::get<SendToPeer>(sent[0]).message_);
  };
  const Attempt first = register_reply(
      test.ingress_.OnCall(
          CallReceived{.call_id_ = 1,
                       .service_ = "s",
                       .request_ = {.method_ = "POST", .path_ = "/act"},
                       .idempotency_key_ = "k"},
          test.now_),
      1);
  const Attempt second = register_reply(
      test.ingress_.OnAnswer(AttemptAnswer{.request_id_ = first.request_id_,
                                           .attempt_ = first.attempt_,
                                           .result_ = AttemptResult::kRefused,
                                           .refusal_ = reason},
                             test.now_),
      2);
  CHECK(second.register_attempt_ == 2);
  CHECK(second.target_ != first.target_);
}

// Guards against a failure domain that returns from an evacuation and is
// flooded by daemons that take the load from before it for the present one.
TEST_CASE("targets that return from an evacuation count as cold", "[warmup]") {
  ColdTargets test;
  test.router_.UpdateTargets(ColdTargets::Records(1, "e"), test.now_);
  for (int target = 0; target < 8; ++target) {
    test.Load(target, 0);
  }
  test.Call(1, [](int) { return true; });
  CHECK(test.CountColdProbes(16) == 0);
  for (const bool evacuated : {true, false}) {
    test.router_.UpdateEvacuations(
        {.index_ = evacuated ? 1U : 2U,
         .domains_ = {{.failure_domain_ = "e", .evacuated_ = evacuated}}},
        test.now_);
  }
  CHECK(test.CountColdProbes(16) == 2);
}

// Guards against calls that are refused while the warm targets are full and the
// cold ones have room that other daemons do not use.
TEST_CASE("calls reach cold targets while the warm ones are full", "[warmup]") {
  ColdTargets test;
  for (int target = 0; target < 8; ++target) {
    test.router_.OnLoad("t" + std::to_string(target),
                        {.in_flight_ = target < 6 ? 4 : 0,
                         .queued_ = target < 6 ? 60 : 0,
                         .slots_ = 4,
                         .state_ = state::TargetState::kServing,
                         .service_time_percent_ = 100,
                         .service_time_ = Millis(100),
                         .admissions_per_second_ = target < 6 ? 0.0 : 13.0},
                        test.now_);
  }
  CHECK(test.Call(5, [](int target) { return target >= 6; }) == 5);
}

// Guards against probes of cold targets that take the whole load budget, in a
// fixed order, so that the last ones are never asked.
TEST_CASE("cold targets are probed in turn, one in a tick", "[warmup]") {
  ColdTargets test;
  for (int target = 0; target < 8; ++target) {
    test.Load(target, 13);
  }
  test.Call(1, [](int) { return true; });
  test.now_ = test.now_ + Millis(2);
  int probes = 0;
  for (const Command& command : test.router_.Tick(test.now_)) {
    const auto* send = std::get_if<SendToPeer>(&command);
    probes += send != nullptr ? 1 : 0;
  }
  CHECK(probes <= 2);
  CHECK(test.CountColdProbes(16) >= 2);
}

// Guards against a service whose targets are all cold and that gets no call.
TEST_CASE("calls reach a service whose targets are all cold", "[warmup]") {
  ColdTargets test;
  for (int target = 0; target < 8; ++target) {
    test.Load(target, 13);
  }
  CHECK(test.Call(20, [](int) { return true; }) == 20);
}

}  // namespace
}  // namespace gooseberrygap::coordination
