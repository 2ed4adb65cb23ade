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
  Deployment() {
    StartControl();
    ReplayLog();
    StartDaemon();
  }

  // Starts the control instance, in place of the one that runs. Only its log is
  // kept, which it has not applied yet.
  void StartControl() {
    service_ = std::make_unique<ControlService>(
        ControlAddress{"c", kControl, "north"},
        std::vector<ControlAddress>{{"c", kControl, "north"}}, ++epoch_,
        &counters_, now_);
  }
  // Makes the control instance the leader, with all of its log applied.
  void ReplayLog() {
    HandleControl(LogStatus{.formed_ = true,
                            .leads_ = true,
                            .has_quorum_ = true,
                            .leader_address_ = kControl,
                            .last_up_to_date_ = now_});
    for (const EntryCommitted& entry : log_) {
      HandleControl(entry);
    }
  }
  // While the log takes nothing, no proposal is committed.
  void SetLogTakesEntries(bool takes) { log_takes_entries_ = takes; }

  // Returns whether the announcement is acknowledged, or nothing while its
  // sender waits.
  std::optional<bool> AnswerTo(const TargetWithdrawn& withdrawn) {
    answers_.clear();
    Handle(AnnouncementReceived{.call_id_ = 1, .announcement_ = withdrawn});
    return LastAnswer();
  }
  std::optional<bool> AnswerTo(const TargetAnnounced& announced) {
    answers_.clear();
    Handle(AnnouncementReceived{.call_id_ = 1, .announcement_ = announced});
    return LastAnswer();
  }
  std::optional<bool> LastAnswer() const {
    return answers_.empty() ? std::nullopt
                            : std::optional(answers_.back().acknowledged_);
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
  void Tick(Millis passed = Millis(10)) {
    now_ = now_ + passed;
    HandleControl(ControlTick{});
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
    const ControlStep step = service_->Handle(
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
      if (const auto* answer = std::get_if<AnswerAnnouncement>(&command)) {
        answers_.push_back(*answer);
      }
      const auto* sent = std::get_if<SendToPeer>(&command);
      if (sent != nullptr &&
          std::holds_alternative<LeaseRenew>(sent->message_)) {
        HandleControl(
            ControlMessage{.connection_ = "g", .message_ = sent->message_});
      }
    }
  }
  // Hands the event to the control instance, its replies to the daemon, and
  // what it proposes back to it as committed.
  void HandleControl(const ControlEvent& event) {
    const ControlStep step = service_->Handle(event, now_);
    for (const Command& command : step.commands_) {
      const auto* reply = std::get_if<ReplyToPeer>(&command);
      if (reply != nullptr && reply->connection_ == "g") {
        Exchange(node_->Handle(PeerMessageReceived{.address_ = kControl,
                                                   .message_ = reply->message_},
                               now_));
      }
    }
    for (const Proposal& proposal : step.proposals_) {
      if (log_takes_entries_) {
        log_.push_back(EntryCommitted{.index_ = log_.size() + 1,
                                      .command_ = proposal.command_});
        const EntryCommitted entry = log_.back();
        HandleControl(entry);
      }
    }
  }

  std::mt19937_64 random_;
  state::Counters counters_;
  std::unique_ptr<ControlService> service_;
  std::vector<EntryCommitted> log_;
  bool log_takes_entries_ = true;
  std::vector<AnswerAnnouncement> answers_;
  uint64_t epoch_ = 100;
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

// Guards against requests to a target whose withdrawal was acknowledged: all
// processes restart at once, and a heartbeat from before the withdrawal arrives
// late. Only the log of the control group outlives that.
TEST_CASE("a withdrawal survives a restart of all processes",
          "[target_withdrawal]") {
  const bool drains = GENERATE(false, true);
  Deployment deployment;
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 5, TargetState::kServing));
  const std::optional<bool> answer =
      drains ? deployment.AnswerTo(Heartbeat(kBorn, 6, TargetState::kDraining))
             : deployment.AnswerTo(
                   TargetWithdrawn{.target_ = "t", .incarnation_ = kBorn});
  REQUIRE(answer == true);

  deployment.StartControl();
  deployment.StartDaemon();
  SECTION("and the heartbeat comes when the log is applied") {
    deployment.ReplayLog();
    deployment.Handle(Ticked{});
    deployment.Handle(Heartbeat(kBorn, 4, TargetState::kServing));
  }
  SECTION("and the heartbeat comes before the log is applied") {
    deployment.Handle(Ticked{});
    deployment.Handle(Heartbeat(kBorn, 4, TargetState::kServing));
    deployment.Tick(Millis(100));
    CHECK_FALSE(deployment.ListsTarget());
    deployment.ReplayLog();
  }
  deployment.Tick(Millis(1000));
  deployment.Handle(Heartbeat(kBorn, 3, TargetState::kServing));
  CHECK_FALSE(deployment.ListsTarget());
  CHECK_FALSE(deployment.Delivers("after"));

  deployment.Handle(Heartbeat(kBorn + 1, 1, TargetState::kServing));
  CHECK(deployment.ListsTarget());
  CHECK(deployment.Delivers("new process"));
}

// Guards against an acknowledgement that a restart takes back: the log does not
// have the withdrawal yet.
TEST_CASE("a withdrawal is acknowledged once the control group has stored it",
          "[target_withdrawal]") {
  Deployment deployment;
  deployment.Handle(Ticked{});
  CHECK(deployment.AnswerTo(Heartbeat(kBorn, 5, TargetState::kServing)) ==
        true);
  deployment.SetLogTakesEntries(false);
  const TargetWithdrawn leave{.target_ = "t", .incarnation_ = kBorn};
  CHECK(deployment.AnswerTo(leave) == std::nullopt);
  CHECK_FALSE(deployment.Delivers("after the leave"));
  SECTION("and it is stored in time") {
    deployment.SetLogTakesEntries(true);
    deployment.Tick(Millis(500));
    CHECK(deployment.LastAnswer() == true);
  }
  SECTION("and it is stored too late") {
    deployment.Tick(Millis(1000));
    CHECK(deployment.LastAnswer() == false);
    deployment.SetLogTakesEntries(true);
    deployment.Tick(Millis(500));
    CHECK(deployment.AnswerTo(leave) == true);
  }
}

// Guards against a leave that is never stored when it is the first message of
// the target after a restart of the daemon.
TEST_CASE("a leave right after the daemon's start is stored",
          "[target_withdrawal]") {
  Deployment deployment;
  CHECK(deployment.AnswerTo(TargetWithdrawn{
            .target_ = "t", .incarnation_ = kBorn}) == std::nullopt);
  deployment.Handle(Ticked{});
  deployment.Tick(Millis(300));
  CHECK(deployment.LastAnswer() == true);
}

// Guards against targets that stay without work after a restart of all
// processes, because their withdrawal is not known not to exist.
TEST_CASE("a sound target serves again after a restart of all processes",
          "[target_withdrawal]") {
  Deployment deployment;
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 5, TargetState::kServing));
  deployment.StartControl();
  deployment.StartDaemon();
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 6, TargetState::kServing));
  deployment.ReplayLog();
  deployment.Tick(Millis(1000));
  CHECK(deployment.ListsTarget());
  CHECK(deployment.Delivers("after"));
}

// Guards against requests to a target that has left, because a heartbeat of
// another writer lacks its incarnation, or the first one, with number 0, is
// late.
TEST_CASE("an incomplete or late heartbeat undoes no withdrawal",
          "[target_withdrawal]") {
  const bool drains = GENERATE(false, true);
  const bool restarts = GENERATE(false, true);
  const TargetAnnounced odd =
      GENERATE(Heartbeat(0, 0, TargetState::kServing),
               Heartbeat(0, 9, TargetState::kServing),
               Heartbeat(kBorn, 0, TargetState::kServing));
  Deployment deployment;
  deployment.Handle(Ticked{});
  deployment.Handle(Heartbeat(kBorn, 0, TargetState::kServing));
  deployment.Handle(Heartbeat(kBorn, 1, TargetState::kServing));
  REQUIRE(deployment.Delivers("before"));
  if (drains) {
    deployment.Handle(Heartbeat(kBorn, 2, TargetState::kDraining));
  } else {
    deployment.Handle(TargetWithdrawn{.target_ = "t", .incarnation_ = kBorn});
  }
  if (restarts) {
    deployment.StartDaemon();
    deployment.Handle(Ticked{});
  }
  deployment.Handle(odd);
  deployment.Tick(Millis(100));
  CHECK_FALSE(deployment.ListsTarget());
  CHECK_FALSE(deployment.Delivers("after"));
}

// Guards against a withdrawal that is lost between the control instance of the
// daemon and the leader.
TEST_CASE("a withdrawal is sent to the leader until it is stored",
          "[target_withdrawal]") {
  state::Counters counters;
  ControlService follower({"c", kControl, "north"}, {{"c", kControl, "north"}},
                          1, &counters, Millis(0));
  follower.Handle(LogStatus{.formed_ = true,
                            .leader_address_ = "leader",
                            .last_up_to_date_ = Millis(0)},
                  Millis(0));
  const state::TargetWithdrawal left{.target_ = "t", .incarnation_ = kBorn};
  const auto submits = [](const ControlStep& step) {
    return std::count_if(
        step.commands_.begin(), step.commands_.end(),
        [](const Command& command) {
          const auto* sent = std::get_if<SendToPeer>(&command);
          return sent != nullptr && sent->address_ == "leader" &&
                 std::holds_alternative<WithdrawalSubmit>(sent->message_);
        });
  };
  const LeaseRenew renew{
      .instance_ = "g",
      .record_ = {.instance_ = "g",
                  .version_ = {.incarnation_ = 1, .sequence_ = 1},
                  .withdrawal_ = left}};
  CHECK(submits(follower.Handle(
            ControlMessage{.connection_ = "g", .message_ = renew},
            Millis(1))) == 1);
  CHECK(submits(follower.Handle(ControlTick{}, Millis(150))) == 0);
  CHECK(submits(follower.Handle(ControlTick{}, Millis(400))) == 1);
  follower.Handle(
      EntryCommitted{
          .index_ = 1,
          .command_ =
              state::LogCommand{
                  .change_ = state::WithdrawTarget{.instance_ = "g",
                                                   .withdrawal_ = left}}},
      Millis(500));
  CHECK(submits(follower.Handle(ControlTick{}, Millis(900))) == 0);
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
