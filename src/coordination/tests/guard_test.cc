#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

Attempt LookupAttempt(const std::string& request_id, bool run_alone) {
  return Attempt{.request_id_ = request_id,
                 .attempt_ = 1,
                 .service_ = "s",
                 .target_ = "t",
                 .deadline_left_ = Millis(1000),
                 .run_alone_ = run_alone,
                 .digest_ = request_id};
}

Attempt ActionAttempt(const std::string& request_id, bool run_alone) {
  return Attempt{.request_id_ = request_id,
                 .attempt_ = 1,
                 .service_ = "s",
                 .target_ = "t",
                 .deadline_left_ = Millis(1000),
                 .request_class_ = state::RequestClass::kAction,
                 .run_alone_ = run_alone,
                 .key_ = "k",
                 .digest_ = request_id,
                 .register_attempt_ = 1};
}

// A guard whose target serves with four slots.
struct TestGuard {
  TestGuard()
      : register_client_({"control"}, &counters_),
        guard_("g", 1, &register_client_, &counters_) {
    guard_.OnAnnounced(TargetAnnounced{.target_ = "t",
                                       .service_ = "s",
                                       .address_ = "t-address",
                                       .slots_ = 4,
                                       .state_ = state::TargetState::kServing},
                       Millis(0));
  }

  state::Counters counters_;
  RegisterClient register_client_;
  Guard guard_;
};

// Returns the id of the only delivery among the commands, or 0.
uint64_t DeliveryOf(const Commands& commands) {
  for (const Command& command : commands) {
    if (const auto* delivery = std::get_if<DeliverToTarget>(&command)) {
      return delivery->delivery_id_;
    }
  }
  return 0;
}

// Guards against a guard that starts nothing any more after a request that ran
// alone was cancelled.
TEST_CASE("work goes on after a cancelled request that ran alone", "[poison]") {
  TestGuard test;
  const uint64_t alone = DeliveryOf(
      test.guard_.OnAttempt("c", LookupAttempt("suspect", true), Millis(1)));
  REQUIRE(alone != 0);
  test.guard_.OnCancel(Cancel{.request_id_ = "suspect", .attempt_ = 1},
                       Millis(2));
  test.guard_.OnDeliveryEnded(
      DeliveryEnded{.delivery_id_ = alone, .end_ = DeliveryEnd::kCancelled},
      Millis(3));
  CHECK(DeliveryOf(test.guard_.OnAttempt("c", LookupAttempt("other", false),
                                         Millis(4))) != 0);
}

// Guards against the same after an action that was to run alone and whose start
// the register refused.
TEST_CASE("work goes on after a refused start that was to run alone",
          "[poison]") {
  TestGuard test;
  const Commands started =
      test.guard_.OnAttempt("c", ActionAttempt("suspect", true), Millis(1));
  REQUIRE(started.size() == 1);
  const auto call =
      std::get<RegisterCall>(std::get<SendToPeer>(started[0]).message_);
  const RegisterClient::Step step = test.register_client_.OnReply(
      RegisterReply{.call_id_ = call.call_id_,
                    .result_ = {.refusal_ = state::RefusalReason::kStaleAttempt,
                                .state_ = state::ActionState::kOpen,
                                .attempt_ = 2}},
      Millis(2));
  REQUIRE(step.ends_.size() == 1);
  test.guard_.OnRegisterEnd(step.ends_[0], Millis(2));
  CHECK(DeliveryOf(test.guard_.OnAttempt("c", LookupAttempt("other", false),
                                         Millis(3))) != 0);
}

// Guards against other work beside a request that runs alone.
TEST_CASE("nothing starts beside a request that runs alone", "[poison]") {
  TestGuard test;
  const uint64_t alone = DeliveryOf(
      test.guard_.OnAttempt("c", LookupAttempt("suspect", true), Millis(1)));
  REQUIRE(alone != 0);
  CHECK(DeliveryOf(test.guard_.OnAttempt("c", LookupAttempt("other", false),
                                         Millis(2))) == 0);
}

}  // namespace
}  // namespace gooseberrygap::coordination
