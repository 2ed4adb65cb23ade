#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::RefusalReason;

// A guard with one slot.
struct TestGuard {
  TestGuard()
      : register_client_({"control"}, &counters_),
        guard_("g", 1, &register_client_, &counters_) {
    guard_.OnAnnounced(TargetAnnounced{.target_ = "t",
                                       .service_ = "s",
                                       .address_ = "t-address",
                                       .slots_ = 1,
                                       .state_ = state::TargetState::kServing},
                       Millis(0));
  }

  Commands Receive(const std::string& id,
                   std::optional<Millis> authorization_left,
                   double now) {
    return guard_.OnAttempt("c",
                            Attempt{.request_id_ = id,
                                    .attempt_ = 1,
                                    .service_ = "s",
                                    .target_ = "t",
                                    .deadline_left_ = Millis(60000),
                                    .objective_left_ = Millis(50000),
                                    .host_ = "h",
                                    .authorization_left_ = authorization_left},
                            Millis(now));
  }

  state::Counters counters_;
  RegisterClient register_client_;
  Guard guard_;
};

std::vector<DeliverToTarget> DeliveriesIn(const Commands& commands) {
  std::vector<DeliverToTarget> deliveries;
  for (const Command& command : commands) {
    if (const auto* delivery = std::get_if<DeliverToTarget>(&command)) {
      deliveries.push_back(*delivery);
    }
  }
  return deliveries;
}

RefusalReason RefusalIn(const Commands& commands) {
  for (const Command& command : commands) {
    if (const auto* reply = std::get_if<ReplyToPeer>(&command)) {
      const auto& answer = std::get<AttemptAnswer>(reply->message_);
      CHECK(answer.result_ == AttemptResult::kRefused);
      return answer.refusal_;
    }
  }
  return RefusalReason::kNone;
}

// Guards against work that starts under a key that may have been removed while
// it waited, also in a guard that was frozen and sees the free slot before its
// next tick.
TEST_CASE("queued work is refused once its authorization has ended",
          "[configuration]") {
  TestGuard test;
  const auto running = DeliveriesIn(test.Receive("first", {}, 0));
  REQUIRE(running.size() == 1);
  CHECK_FALSE(running[0].send_before_.has_value());
  CHECK(test.Receive("queued", Millis(1000), 10).empty());
  Commands commands;
  SECTION("by the next tick") {
    CHECK(test.guard_.Tick(Millis(1009)).empty());
    commands = test.guard_.Tick(Millis(1010));
  }
  SECTION("when a slot becomes free") {
    commands = test.guard_.OnDeliveryEnded(
        DeliveryEnded{.delivery_id_ = running[0].delivery_id_,
                      .end_ = DeliveryEnd::kCancelled},
        Millis(9000));
  }
  CHECK(DeliveriesIn(commands).empty());
  CHECK(RefusalIn(commands) == RefusalReason::kAuthorizationExpired);
  CHECK(RefusalIn(test.Receive("late", Millis(0), 9010)) ==
        RefusalReason::kAuthorizationExpired);
}

// Guards against a request that the target duty begins to send too late, and
// against the outcome "unknown" for one that it did not send.
TEST_CASE("a delivery states until when it may begin", "[not_run]") {
  TestGuard test;
  const auto deliveries = DeliveriesIn(test.Receive("r", Millis(700), 50));
  REQUIRE(deliveries.size() == 1);
  CHECK(deliveries[0].send_before_ == Millis(750));
  CHECK(RefusalIn(test.guard_.OnDeliveryEnded(
            DeliveryEnded{.delivery_id_ = deliveries[0].delivery_id_,
                          .end_ = DeliveryEnd::kTooLateToSend},
            Millis(800))) == RefusalReason::kAuthorizationExpired);
}

// Guards against an action that starts after its authorization has ended,
// because the register granted the start late.
TEST_CASE("a late grant of an unauthorized action is released",
          "[at_most_once]") {
  TestGuard test;
  const Commands started = test.guard_.OnAttempt(
      "c",
      Attempt{.request_id_ = "r",
              .attempt_ = 1,
              .service_ = "s",
              .target_ = "t",
              .deadline_left_ = Millis(10000),
              .request_class_ = state::RequestClass::kAction,
              .authorization_left_ = Millis(100),
              .key_ = "k",
              .digest_ = "r",
              .register_attempt_ = 1},
      Millis(0));
  REQUIRE(started.size() == 1);
  const auto call =
      std::get<RegisterCall>(std::get<SendToPeer>(started[0]).message_);
  const RegisterClient::Step step = test.register_client_.OnReply(
      RegisterReply{.call_id_ = call.call_id_,
                    .result_ = {.granted_ = true,
                                .state_ = state::ActionState::kStarted,
                                .attempt_ = 1}},
      Millis(100));
  REQUIRE(step.ends_.size() == 1);
  const Commands granted =
      test.guard_.OnRegisterEnd(step.ends_[0], Millis(100));
  CHECK(DeliveriesIn(granted).empty());
  REQUIRE(granted.size() == 1);
  CHECK(std::get<RegisterCall>(std::get<SendToPeer>(granted[0]).message_)
            .command_.operation_ == state::RegisterOperation::kRelease);
}

// A control instance and its daemons, with a log that answers reads late.
class TestControl {
 public:
  TestControl()
      : service_({"c", "c-address", "near"}, {}, 100, &counters_, Millis(0)) {
    service_.Handle(
        EntryCommitted{
            .index_ = 1,
            .command_ =
                state::LogCommand{
                    .change_ =
                        state::SubmittedConfiguration{
                            .submission_ = "first",
                            .configuration_ =
                                std::make_shared<const state::Configuration>(
                                    state::Configuration{.version_ = 1})}}},
        now_);
  }

  LeaseReply Renew(const std::string& daemon, uint64_t renewal) {
    const ControlStep step = service_.Handle(
        ControlMessage{
            .connection_ = daemon,
            .message_ =
                LeaseRenew{.instance_ = daemon,
                           .record_ = {.instance_ = daemon, .version_ = {1, 1}},
                           .configuration_index_ = 1,
                           .services_ = {"*"},
                           .renewal_ = renewal,
                           .requires_confirmed_keys_ = true}},
        now_);
    return LastReply(step);
  }
  // Ticks every 10 ms; answers each read after `delay`, if there is one.
  void Run(double milliseconds, std::optional<Millis> delay) {
    for (double passed = 0; passed < milliseconds; passed += 10) {
      now_ = now_ + Millis(10);
      const ControlStep step =
          service_.Handle(ControlTick{.wall_millis_ = 1}, now_);
      for (const uint64_t read : step.read_ids_) {
        reads_.emplace_back(read, now_);
      }
      read_count_ += step.read_ids_.size();
      while (delay.has_value() && !reads_.empty() &&
             now_ - reads_.front().second >= *delay) {
        service_.Handle(ReadIndexAnswered{.read_id_ = reads_.front().first,
                                          .confirmed_ = true,
                                          .index_ = read_index_},
                        now_);
        reads_.erase(reads_.begin());
      }
    }
  }
  static LeaseReply LastReply(const ControlStep& step) {
    REQUIRE(!step.commands_.empty());
    return std::get<LeaseReply>(
        std::get<ReplyToPeer>(step.commands_.back()).message_);
  }

  Millis now_ = Millis(0);
  state::Counters counters_;
  ControlService service_;
  size_t read_count_ = 0;
  uint64_t read_index_ = 1;

 private:
  std::vector<std::pair<uint64_t, Millis>> reads_;
};

// Guards against a control instance whose confirmations are so old that leases
// end in normal operation, and against a read for each daemon.
TEST_CASE("one read keeps the confirmation recent for all daemons",
          "[configuration]") {
  TestControl control;
  for (int second = 1; second <= 4; ++second) {
    for (const char* daemon : {"d1", "d2", "d3"}) {
      const LeaseReply reply =
          control.Renew(daemon, static_cast<uint64_t>(second));
      CHECK(reply.renewal_ == static_cast<uint64_t>(second));
      if (second > 1) {
        CHECK(reply.confirmed_index_ == 1);
        CHECK(reply.confirmed_age_ < Millis(500));
      }
    }
    control.Run(1000, Millis(130));
  }
  CHECK(control.read_count_ <= 17);
  // Nobody needs it any more.
  control.Run(4000, Millis(130));
  const size_t before = control.read_count_;
  control.Run(2000, Millis(130));
  CHECK(control.read_count_ == before);
}

// Guards against a lagging control instance that confirms its old configuration
// because the leader has answered, before it has applied what the answer names.
TEST_CASE("a lagging control instance confirms nothing", "[configuration]") {
  TestControl control;
  control.Renew("d1", 1);
  control.Run(1000, Millis(30));
  CHECK(control.Renew("d1", 2).confirmed_index_ == 1);
  control.read_index_ = 5;
  control.Run(1000, Millis(30));
  const LeaseReply late = control.Renew("d1", 3);
  CHECK(late.confirmed_index_ == 1);
  CHECK(late.confirmed_age_ >= Millis(1000));
  for (uint64_t index = 2; index <= 5; ++index) {
    control.service_.Handle(EntryCommitted{.index_ = index}, control.now_);
  }
  CHECK(control.Renew("d1", 4).confirmed_age_ < Millis(500));
}

}  // namespace
}  // namespace gooseberrygap::coordination
