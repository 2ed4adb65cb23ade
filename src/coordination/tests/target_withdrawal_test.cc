#include <catch2/catch.hpp>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::TargetState;

constexpr const char* kControl = "control-address";
constexpr uint64_t kBorn = 100;

TargetAnnounced Heartbeat(uint64_t incarnation,
                          uint64_t sequence,
                          TargetState target_state) {
  return TargetAnnounced{.target_ = "t",
                         .service_ = "s",
                         .address_ = "t-address",
                         .slots_ = 4,
                         .state_ = target_state,
                         .incarnation_ = incarnation,
                         .sequence_ = sequence};
}

// One control instance and the daemon of one target, which can restart.
class Deployment {
 public:
  Deployment()
      : service_({"c", kControl, "north"},
                 {{"c", kControl, "north"}},
                 /*epoch=*/100,
                 &counters_,
                 Millis(0)) {
    service_.Handle(LogStatus{.formed_ = true,
                              .leads_ = true,
                              .has_quorum_ = true,
                              .leader_address_ = kControl,
                              .last_up_to_date_ = now_},
                    now_);
    StartDaemon();
  }

  // Starts the daemon, in place of the one that runs. Nothing of its state is
  // kept.
  void StartDaemon() {
    ++incarnation_;
    node_ = std::make_unique<Node>(
        Node::Options{.self_ = {.instance_ = "g",
                                .guard_address_ = "g-address",
                                .region_ = "north",
                                .version_ = {.incarnation_ = incarnation_}},
                      .control_instances_ = {{"c", kControl, "north"}}},
        random_, &counters_);
  }

  // Hands the event to the daemon and exchanges the messages that follow.
  void Handle(const NodeEvent& event) {
    now_ = now_ + Millis(1);
    Exchange(node_->Handle(event, now_));
  }

  // Lets the daemon send the renewals that are due.
  void Tick() {
    now_ = now_ + Millis(10);
    Handle(Ticked{});
  }

  // Returns whether the daemon sends an attempt to its target.
  bool Delivers(const std::string& request_id) {
    const Commands commands = node_->Handle(
        PeerMessageReceived{
            .connection_ = "ingress",
            .message_ = Attempt{.request_id_ = request_id,
                                .attempt_ = 1,
                                .service_ = "s",
                                .target_ = "t",
                                .deadline_left_ = Millis(1000)}},
        now_);
    for (const Command& command : commands) {
      if (std::holds_alternative<DeliverToTarget>(command)) {
        return true;
      }
    }
    return false;
  }

  // Returns whether another daemon learns from the control group that the
  // target serves.
  bool ListsTarget() {
    const ControlStep step = service_.Handle(
        ControlMessage{
            .connection_ = "other",
            .message_ =
                LeaseRenew{
                    .instance_ = "other",
                    .record_ = {.instance_ = "other",
                                .version_ = {.incarnation_ = 1,
                                             .sequence_ = ++other_sequence_}},
                    .services_ = {"*"}}},
        now_);
    for (const Command& command : step.commands_) {
      const auto* reply = std::get_if<ReplyToPeer>(&command);
      if (reply == nullptr) {
        continue;
      }
      for (const state::TargetRecord& record :
           std::get<LeaseReply>(reply->message_).membership_) {
        if (record.target_ == "t" && record.state_ == TargetState::kServing) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  void Exchange(const Commands& commands) {
    for (const Command& command : commands) {
      const auto* sent = std::get_if<SendToPeer>(&command);
      if (sent == nullptr ||
          !std::holds_alternative<LeaseRenew>(sent->message_)) {
        continue;
      }
      const ControlStep step = service_.Handle(
          ControlMessage{.connection_ = "g", .message_ = sent->message_}, now_);
      for (const Command& answer : step.commands_) {
        const auto* reply = std::get_if<ReplyToPeer>(&answer);
        if (reply != nullptr) {
          Exchange(
              node_->Handle(PeerMessageReceived{.address_ = kControl,
                                                .message_ = reply->message_},
                            now_));
        }
      }
    }
  }

  std::mt19937_64 random_;
  state::Counters counters_;
  ControlService service_;
  Millis now_;
  uint64_t incarnation_ = 10;
  uint64_t other_sequence_ = 0;
  std::unique_ptr<Node> node_;
};

// Guards against requests to a target whose withdrawal was acknowledged: its
// daemon restarts, and a heartbeat from before the withdrawal arrives late.
TEST_CASE("a withdrawal survives a restart of the daemon",
          "[target_withdrawal]") {
  Deployment deployment;
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 5, TargetState::kServing));
  REQUIRE(deployment.ListsTarget());
  REQUIRE(deployment.Delivers("before"));
  deployment.Handle(TargetWithdrawn{.target_ = "t", .incarnation_ = kBorn});
  REQUIRE_FALSE(deployment.ListsTarget());

  deployment.StartDaemon();
  SECTION("and the heartbeat comes after the first lease reply") {
    deployment.Handle(Ticked{});
    deployment.Handle(Heartbeat(kBorn, 4, TargetState::kServing));
  }
  SECTION("and the heartbeat comes before the first lease reply") {
    deployment.Handle(Heartbeat(kBorn, 4, TargetState::kServing));
    CHECK_FALSE(deployment.ListsTarget());
    deployment.Tick();
  }
  deployment.Tick();
  CHECK_FALSE(deployment.ListsTarget());
  CHECK_FALSE(deployment.Delivers("after"));

  // A new process under the same name serves.
  deployment.Handle(Heartbeat(kBorn + 1, 1, TargetState::kServing));
  CHECK(deployment.ListsTarget());
  CHECK(deployment.Delivers("new process"));
}

// Guards against the same for a target that has announced that it drains.
TEST_CASE("a drain survives a restart of the daemon", "[target_withdrawal]") {
  Deployment deployment;
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 5, TargetState::kServing));
  deployment.Handle(Heartbeat(kBorn, 6, TargetState::kDraining));
  REQUIRE_FALSE(deployment.ListsTarget());

  deployment.StartDaemon();
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 4, TargetState::kServing));
  CHECK_FALSE(deployment.ListsTarget());
  CHECK_FALSE(deployment.Delivers("after"));
}

// Guards against a target that stays without work because its daemon, and not
// the target itself, was stopped as planned.
TEST_CASE("a planned restart of the daemon withdraws no target",
          "[membership]") {
  Deployment deployment;
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 5, TargetState::kServing));
  deployment.Handle(DrainRequested{});
  deployment.Handle(TargetWithdrawn{});
  REQUIRE_FALSE(deployment.ListsTarget());

  deployment.StartDaemon();
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 6, TargetState::kServing));
  CHECK(deployment.ListsTarget());
  CHECK(deployment.Delivers("after"));
}

}  // namespace
}  // namespace gooseberrygap::coordination
