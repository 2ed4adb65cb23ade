#include "coordination/tests/evacuation_daemon.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::RefusalReason;

// Returns the reason of the only answer among the commands, which must be a
// refusal, or kNone when there is no answer.
RefusalReason RefusalIn(const Commands& commands) {
  const auto answers = AllOf<AttemptAnswer>(commands);
  if (answers.empty()) {
    return RefusalReason::kNone;
  }
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result_ == AttemptResult::kRefused);
  return answers[0].refusal_;
}

const state::RegisterResult kGranted = {.granted_ = true,
                                        .state_ = state::ActionState::kStarted,
                                        .attempt_ = 1};

// Guards against a target that gets requests of daemons that have not received
// the order, or as soon as another failure domain has an order.
TEST_CASE("a guard refuses attempts while its failure domain is evacuated",
          "[path]") {
  EvacuationDaemon test;
  test.Order(7, "b", true);
  CHECK(AllOf<DeliverToTarget>(test.Attempted("other domain")).size() == 1);
  test.Order(8, "a", true);
  const Commands refused = test.Attempted("evacuated");
  CHECK(RefusalIn(refused) == RefusalReason::kEvacuated);
  CHECK(AllOf<DeliverToTarget>(refused).empty());
  CHECK(test.counters_.Get(RefusalReason::kEvacuated) == 1);
}

// Guards against an order that comes into force only for later attempts, and
// against one that ends or delays requests that run.
TEST_CASE("an evacuation refuses queued attempts and lets running ones end",
          "[not_run]") {
  EvacuationDaemon test;
  const auto running = AllOf<DeliverToTarget>(test.Attempted("running"));
  REQUIRE(running.size() == 1);
  REQUIRE(test.Attempted("queued").empty());
  const Commands evacuated = test.Order(7, "a", true);
  CHECK(RefusalIn(evacuated) == RefusalReason::kEvacuated);
  CHECK(AllOf<CancelDelivery>(evacuated).empty());
  const Commands ended =
      test.node_.Handle(DeliveryEnded{.delivery_id_ = running[0].delivery_id_,
                                      .end_ = DeliveryEnd::kAnswered,
                                      .answer_ = {.status_ = 200}},
                        test.now_);
  const auto answers = AllOf<AttemptAnswer>(ended);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result_ == AttemptResult::kComplete);
  CHECK(AllOf<DeliverToTarget>(ended).empty());
}

// Guards against an action that is delivered because its start was requested
// before the order, and against an ingress that continues before the register
// has processed the release.
TEST_CASE("an evacuation releases an action whose start is granted later",
          "[at_most_once]") {
  EvacuationDaemon test;
  const Commands started = test.Attempted("action", /*with_key=*/true);
  test.Order(7, "a", true);
  const Commands granted = test.AnswerRegister(started, kGranted);
  CHECK(AllOf<DeliverToTarget>(granted).empty());
  CHECK(AllOf<AttemptAnswer>(granted).empty());
  const auto calls = AllOf<RegisterCall>(granted);
  REQUIRE(calls.size() == 1);
  REQUIRE(calls[0].command_.operation_ == state::RegisterOperation::kRelease);
  const Commands released = test.AnswerRegister(
      granted, {.granted_ = true, .state_ = state::ActionState::kOpen});
  // The reason by which the ingress raises its attempt number.
  CHECK(RefusalIn(released) == RefusalReason::kConnectFailed);
}

// Guards against an attempt that is delivered, or left without an answer,
// because its link was replaced while it waited or while it was on the way.
TEST_CASE("an evacuation refuses attempts on a link that was replaced",
          "[silent_link]") {
  EvacuationDaemon test;
  test.Attempted("running");
  test.Attempted("queued");
  const auto resume = [&test](const std::string& id) {
    return test.Receive(
        "", "new link",
        ResumeAttempt{.request_id_ = id, .attempt_ = 1, .incarnation_ = 5});
  };
  SECTION("resumed before the order") {
    resume("queued");
    const Commands evacuated = test.Order(7, "a", true);
    CHECK(RefusalIn(evacuated) == RefusalReason::kEvacuated);
    CHECK(AllOf<ReplyToPeer>(evacuated).at(0).connection_ == "new link");
  }
  SECTION("resumed after the order") {
    test.Order(7, "a", true);
    CHECK(RefusalIn(resume("queued")) == RefusalReason::kEvacuated);
  }
  SECTION("received after the order") {
    test.Order(7, "a", true);
    CHECK(RefusalIn(resume("late")) == RefusalReason::kLinkLost);
    CHECK(test.Attempted("late").empty());
  }
}

// Guards against an evacuation that a delayed reply of another control instance
// ends or repeats, and against a withdrawal without effect.
TEST_CASE("an older list of evacuations does not replace a newer one",
          "[configuration]") {
  EvacuationDaemon test;
  test.Order(7, "a", true);
  test.Reply({});
  test.Order(6, "a", false);
  CHECK(RefusalIn(test.Attempted("1")) == RefusalReason::kEvacuated);
  test.Order(8, "a", false);
  test.Order(7, "a", true);
  CHECK(AllOf<DeliverToTarget>(test.Attempted("2")).size() == 1);
}

// Guards against a daemon that ignores an order while it has no lease, and
// against one that ends an evacuation when it loses the control group.
TEST_CASE("an evacuation does not depend on the lease", "[configuration]") {
  EvacuationDaemon test;
  test.Reply({.index_ = 7, .domains_ = {{"a", true, 7}}}, /*granted=*/false);
  test.now_ = Millis(60000);
  test.node_.Handle(Ticked{}, test.now_);
  test.node_.Handle(TargetAnnounced{.target_ = "own",
                                    .service_ = "o",
                                    .address_ = "own-address",
                                    .slots_ = 1,
                                    .state_ = state::TargetState::kServing},
                    test.now_);
  CHECK(RefusalIn(test.Attempted("1")) == RefusalReason::kEvacuated);
}

}  // namespace
}  // namespace gooseberrygap::coordination
