#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

const std::vector<ControlAddress> kInstances = {{"c1", "addr1", "north"},
                                                {"c2", "addr2", "north"}};

// A control service with the time that it is at.
struct Control {
  explicit Control(const ControlAddress& self,
                   const std::vector<ControlAddress>& instances = kInstances,
                   uint64_t epoch = 100,
                   double start = 0)
      : service_(self, instances, epoch, &counters_, Millis(start)),
        now_(start) {}

  ControlStep Give(const ControlEvent& event) {
    return service_.Handle(event, now_);
  }
  ControlStep Message(const PeerMessage& message,
                      const std::string& connection = "conn") {
    return Give(ControlMessage{.connection_ = connection, .message_ = message});
  }
  void Lead() {
    Give(LogStatus{.formed_ = true,
                   .leads_ = true,
                   .has_quorum_ = true,
                   .leader_address_ = "addr1",
                   .leader_heard_ = now_});
  }
  // Ticks every 10 ms and returns all that this leads to.
  ControlStep Run(double milliseconds) {
    ControlStep all;
    for (double passed = 0; passed < milliseconds; passed += 10) {
      now_ = now_ + Millis(10);
      ControlStep step = Give(ControlTick{.wall_millis_ = 1000});
      Append(&all.commands_, step.commands_);
      for (const Proposal& proposal : step.proposals_) {
        all.proposals_.push_back(proposal);
      }
      for (const uint64_t read : step.read_ids_) {
        all.read_ids_.push_back(read);
      }
    }
    return all;
  }
  // Commits the proposals of a step, as the leader's log would.
  ControlStep Commit(const ControlStep& step) {
    ControlStep last;
    for (const Proposal& proposal : step.proposals_) {
      last = Give(
          EntryCommitted{.index_ = ++index_, .command_ = proposal.command_});
    }
    return last;
  }

  state::Counters counters_;
  ControlService service_;
  Millis now_;
  uint64_t index_ = 0;
};

template <class Message>
std::vector<Message> MessagesOf(const ControlStep& step) {
  std::vector<Message> messages;
  for (const Command& command : step.commands_) {
    const auto* reply = std::get_if<ReplyToPeer>(&command);
    const auto* send = std::get_if<SendToPeer>(&command);
    const PeerMessage& message = reply ? reply->message_ : send->message_;
    if (const auto* found = std::get_if<Message>(&message)) {
      messages.push_back(*found);
    }
  }
  return messages;
}

LeaseRenew Renew(const std::string& instance,
                 state::LeaseVersion version,
                 state::TargetState target_state = state::TargetState::kServing,
                 const std::vector<CrashReport>& crashes = {}) {
  return LeaseRenew{.instance_ = instance,
                    .record_ = state::TargetRecord{.target_ = "t-" + instance,
                                                   .service_ = "s",
                                                   .instance_ = instance,
                                                   .state_ = target_state,
                                                   .version_ = version},
                    .services_ = {"*"},
                    .crashes_ = crashes};
}

LeaseRenew RenewVouched(const std::string& instance) {
  return LeaseRenew{
      .instance_ = instance,
      .record_ = state::TargetRecord{.instance_ = instance, .version_ = {1, 1}},
      .requires_confirmed_ = true,
      .services_ = {"*"}};
}

ConfigSubmit Submit(uint64_t version,
                    const std::string& submission,
                    const std::string& service) {
  return ConfigSubmit{
      .call_id_ = 7,
      .submission_ = submission,
      .configuration_ =
          std::make_shared<const state::Configuration>(state::Configuration{
              .version_ = version,
              .services_ = {state::Service{.name_ = service}}})};
}

state::TargetState StateOf(const Control& control, const std::string& name) {
  for (const state::MembershipRecord& record : control.service_.Members()) {
    if (record.record_.instance_ == name) {
      return state::EffectiveRecord(record).state_;
    }
  }
  return state::TargetState::kStarting;
}

// Passes one instance's membership to another, with the acknowledgement.
void Exchange(Control* from, Control* to) {
  for (const auto& sync : MessagesOf<MembershipSync>(from->Run(400))) {
    for (const auto& ack :
         MessagesOf<MembershipSyncAck>(to->Message(sync, "other"))) {
      from->Message(ack, "other");
    }
  }
}

// Guards against operations that run outside the leader, and replies before
// the operation is in the log.
TEST_CASE("register calls are answered by the leader after the commit",
          "[at_most_once]") {
  Control control(kInstances[0]);
  const RegisterCall call{.call_id_ = 5,
                          .command_ = state::RegisterCommand{.key_ = "k"}};
  CHECK(MessagesOf<RegisterReply>(control.Message(call))[0].status_ ==
        RegisterStatus::kNoQuorum);
  control.Give(LogStatus{.formed_ = true, .leader_address_ = "addr2"});
  const auto refused = MessagesOf<RegisterReply>(control.Message(call));
  CHECK(refused[0].status_ == RegisterStatus::kNotLeader);
  CHECK(refused[0].leader_address_ == "addr2");

  control.Lead();
  const ControlStep proposed = control.Message(call);
  REQUIRE(proposed.proposals_.size() == 1);
  CHECK(proposed.commands_.empty());
  CHECK(control.Message(call).proposals_.empty());
  const auto replies = MessagesOf<RegisterReply>(control.Commit(proposed));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].call_id_ == 5);
  CHECK(replies[0].result_.attempt_ == 1);
}

// Guards against a call that is told to be not tried while it may be applied.
TEST_CASE("a call whose end is unknown gets no reply", "[at_most_once]") {
  Control control(kInstances[0]);
  control.Lead();
  const RegisterCall call{.call_id_ = 5};
  const ControlStep proposed = control.Message(call);
  CHECK(control
            .Give(ProposalEnded{.tag_ = proposed.proposals_[0].tag_,
                                .outcome_ = ProposalOutcome::kLost})
            .commands_.empty());
  CHECK(control.Message(call).proposals_.size() == 1);
}

// Guards against actions of a guard that has gone which stay `started`, so that
// resends wait in vain; and against blaming a guard for its present work.
TEST_CASE("a new incarnation or a crash abandons started actions",
          "[at_most_once]") {
  const bool crashes = GENERATE(false, true);
  Control control(kInstances[0]);
  control.Lead();
  control.Message(Renew("g", {5, 1}));
  for (const auto operation :
       {state::RegisterOperation::kBegin, state::RegisterOperation::kStart}) {
    control.Commit(control.Message(
        RegisterCall{.call_id_ = 1,
                     .command_ = state::RegisterCommand{.operation_ = operation,
                                                        .key_ = "k",
                                                        .attempt_ = 1,
                                                        .guard_ = "g",
                                                        .incarnation_ = 5}}));
  }
  control.Commit(control.Run(200));  // Contains the expiry of keys.
  CHECK(control.Run(200).proposals_.empty());
  std::vector<CrashReport> reports;
  if (crashes) {
    reports.push_back({"f", "crash1", true});
  }
  const state::LeaseVersion version{.incarnation_ = crashes ? 5UL : 6UL,
                                    .sequence_ = 1};
  const ControlStep renewed = control.Message(
      Renew("g", version, state::TargetState::kServing, reports));
  control.Commit(renewed);
  control.Commit(control.Run(200));
  const auto snapshot = control.service_.Snapshot();
  CHECK(snapshot.register_.entries_[0].entry_.state_ ==
        state::ActionState::kUnknown);
  CHECK(control.Run(500).proposals_.empty());
}

// Guards against started actions whose end callers await in vain, because the
// message with their abandon to the leader was lost.
TEST_CASE("a follower repeats an abandon until it is applied",
          "[at_most_once]") {
  Control control(kInstances[1]);
  control.Give(LogStatus{.formed_ = true, .leader_address_ = "addr1"});
  const std::vector<CrashReport> reports = {{"f", "crash1", true}};
  const auto first = MessagesOf<RegisterCall>(control.Message(
      Renew("g", {5, 1}, state::TargetState::kServing, reports)));
  REQUIRE(first.size() == 1);
  CHECK(first[0].command_.operation_ == state::RegisterOperation::kAbandon);
  const auto repeated = MessagesOf<RegisterCall>(control.Run(2000));
  REQUIRE(!repeated.empty());
  CHECK(repeated[0].command_ == first[0].command_);
  control.Give(EntryCommitted{
      .index_ = 1,
      .command_ = state::LogCommand{.change_ = repeated[0].command_}});
  CHECK(MessagesOf<RegisterCall>(control.Run(2000)).empty());
}

// Guards against a daemon that starts with a configuration that was replaced:
// a read index from before its request proves nothing.
TEST_CASE("the first configuration is vouched by a later read index",
          "[configuration]") {
  Control control(kInstances[0]);
  control.Lead();
  control.Commit(control.Message(Submit(1, "s1", "a")));
  const ControlStep first = control.Message(RenewVouched("d1"), "conn1");
  REQUIRE(first.read_ids_.size() == 1);
  CHECK(MessagesOf<LeaseReply>(first)[0].configuration_ == nullptr);
  CHECK(control.Message(RenewVouched("d2"), "conn2").read_ids_.empty());

  // The read index names an entry that is not applied yet.
  const ControlStep read = control.Give(ReadIndexAnswered{
      .read_id_ = first.read_ids_[0], .confirmed_ = true, .index_ = 2});
  CHECK(MessagesOf<LeaseReply>(read).empty());
  CHECK(read.read_ids_.size() == 1);
  const auto vouched = MessagesOf<LeaseReply>(
      control.Commit(control.Message(Submit(2, "s2", "b"))));
  REQUIRE(vouched.size() == 1);
  CHECK(vouched[0].configuration_confirmed_);
  CHECK(vouched[0].configuration_index_ == 2);

  // Not confirmed: nothing is vouched, and the read is tried again.
  const ControlStep failed =
      control.Give(ReadIndexAnswered{.read_id_ = read.read_ids_[0]});
  CHECK(MessagesOf<LeaseReply>(failed).empty());
  CHECK(control.Run(300).read_ids_.size() == 1);
}

// Guards against two operators who are both told that their document won, and
// against daemons that learn of it only with their next renewal.
TEST_CASE("a commit is pushed and a conflict names the winner",
          "[configuration]") {
  Control control(kInstances[0]);
  control.Lead();
  control.Message(Renew("d1", {1, 1}), "conn1");
  const ControlStep one = control.Message(Submit(1, "s1", "a"));
  const ControlStep two = control.Message(Submit(1, "s2", "b"));
  CHECK(MessagesOf<ConfigSubmitReply>(control.Commit(one))[0].status_ ==
        SubmitStatus::kAccepted);
  const auto lost = MessagesOf<ConfigSubmitReply>(control.Commit(two));
  CHECK(lost[0].status_ == SubmitStatus::kConflict);
  CHECK(lost[0].winner_submission_ == "s1");
  const auto pushed = MessagesOf<LeaseReply>(control.Run(50));
  REQUIRE(pushed.size() == 1);
  CHECK(pushed[0].configuration_index_ == 1);
  CHECK(pushed[0].configuration_->services_[0].name_ == "a");
}

// Guards against targets that are gone and stay listed, and against daemons
// that are told late or lose a change because one push was lost.
TEST_CASE("changes and expiries are pushed from what the daemon has",
          "[membership]") {
  Control control(kInstances[0], {kInstances[0]});
  control.Message(Renew("d1", {1, 1}), "conn1");
  control.Message(Renew("d2", {1, 1}), "conn2");
  control.Run(1300);
  LeaseRenew renew = Renew("d1", {1, 1});
  const auto whole = MessagesOf<LeaseReply>(control.Message(renew, "conn1"));
  CHECK(whole[0].membership_full_);
  CHECK(whole[0].membership_.size() == 2);
  const LeaseRenew known{.instance_ = "d1",
                         .record_ = renew.record_,
                         .membership_epoch_ = whole[0].membership_epoch_,
                         .membership_version_ = whole[0].membership_version_,
                         .services_ = {"s"}};
  control.Message(known, "conn1");

  control.Message(Renew("d2", {1, 2}, state::TargetState::kDraining));
  CHECK(MessagesOf<LeaseReply>(control.Run(50))[0].membership_[0].state_ ==
        state::TargetState::kDraining);
  control.Message(Renew("d3", {1, 1}));
  const auto later = MessagesOf<LeaseReply>(control.Run(50));
  CHECK(later[0].membership_.size() == 2);

  control.Message(known, "conn1");
  control.Run(1500);
  control.Message(known, "conn1");
  control.Run(1700);
  CHECK(StateOf(control, "d1") == state::TargetState::kServing);
  CHECK(StateOf(control, "d2") == state::TargetState::kLeft);
  // A renewal under the expired version is refused, a newer one wins.
  CHECK_FALSE(
      MessagesOf<LeaseReply>(control.Message(Renew("d2", {1, 2})))[0].granted_);
  CHECK(
      MessagesOf<LeaseReply>(control.Message(Renew("d2", {1, 3})))[0].granted_);
}

// Guards against a control instance that returns from a partition, or was
// paused, and takes back what is newer or ends leases that it could not hear.
TEST_CASE("a returning control instance overrules nothing newer",
          "[membership]") {
  Control first(kInstances[0]);
  Control second(kInstances[1], kInstances, 200);
  first.Message(Renew("d1", {1, 1}));
  first.Message(Renew("d2", {1, 1}));
  Exchange(&first, &second);
  CHECK(StateOf(second, "d1") == state::TargetState::kServing);

  // d1 moves while the first instance is cut off; both judge by themselves.
  second.Message(Renew("d1", {1, 2}));
  first.Run(4000);
  for (int i = 0; i < 6; ++i) {
    second.Run(1000);
    second.Message(Renew("d1", {1, 2}));
  }
  CHECK(StateOf(first, "d1") == state::TargetState::kLeft);
  CHECK(StateOf(second, "d2") == state::TargetState::kLeft);

  first.Message(Renew("d2", {1, 2}));
  Exchange(&first, &second);
  Exchange(&second, &first);
  second.Run(1000);
  CHECK(StateOf(first, "d1") == state::TargetState::kServing);
  CHECK(StateOf(second, "d1") == state::TargetState::kServing);
  CHECK(StateOf(second, "d2") == state::TargetState::kServing);

  first.now_ = first.now_ + Millis(60000);
  first.Give(ControlTick{});
  CHECK(StateOf(first, "d2") == state::TargetState::kServing);
}

// Guards against an instance that has just started and makes daemons forget
// the targets that it has not heard of yet.
TEST_CASE("a started instance tells membership when it knows it",
          "[membership]") {
  Control first(kInstances[0]);
  first.Message(Renew("d1", {1, 1}));
  Control second(kInstances[1], kInstances, 200);
  second.Run(1500);
  const auto early =
      MessagesOf<LeaseReply>(second.Message(Renew("d2", {1, 1})));
  CHECK(early[0].membership_epoch_ == 0);
  Exchange(&first, &second);
  const auto later =
      MessagesOf<LeaseReply>(second.Message(Renew("d2", {1, 1})));
  CHECK(later[0].membership_full_);
  CHECK(later[0].membership_.size() == 2);
}

// Guards against a request that crashes every target, and against requests
// that only happened to be in flight with it.
TEST_CASE("only the request that was alone is convicted", "[poison]") {
  Control first(kInstances[0]);
  Control second(kInstances[1], kInstances, 200);
  const auto serving = state::TargetState::kServing;
  first.Message(Renew("d1", {1, 1}, serving,
                      {{"bad", "x1", false}, {"other", "x1", false}}));
  const auto suspects = MessagesOf<LeaseReply>(first.Run(50));
  REQUIRE(suspects.size() == 1);
  REQUIRE(suspects[0].refused_fingerprints_.size() == 2);
  CHECK_FALSE(suspects[0].refused_fingerprints_[0].convicted_);

  // The same crash reported again, and a crash that both share.
  first.Message(Renew("d1", {1, 1}, serving, {{"bad", "x1", true}}));
  first.Message(Renew("d1", {1, 1}, serving,
                      {{"bad", "x2", false}, {"other", "x2", false}}));
  CHECK_FALSE(MessagesOf<LeaseReply>(first.Run(50))[0]
                  .refused_fingerprints_[0]
                  .convicted_);
  Exchange(&first, &second);

  // At another control instance: "bad" was alone this time.
  const auto verdict = MessagesOf<LeaseReply>(
      second.Message(Renew("d2", {1, 1}, serving, {{"bad", "x3", true}})));
  REQUIRE(verdict[0].refused_fingerprints_.size() == 1);
  CHECK(verdict[0].refused_fingerprints_[0].fingerprint_ == "bad");
  CHECK(verdict[0].refused_fingerprints_[0].convicted_);
  Exchange(&second, &first);
  const auto spread = MessagesOf<LeaseReply>(first.Run(50));
  REQUIRE(spread.size() == 1);
  REQUIRE(spread[0].refused_fingerprints_.size() == 1);
  CHECK(spread[0].refused_fingerprints_[0].convicted_);
}

// Guards against replicas that differ after a snapshot.
TEST_CASE("a restored service continues from the snapshot", "[configuration]") {
  Control first(kInstances[0]);
  first.Lead();
  first.Commit(first.Message(Submit(1, "s1", "a")));
  Control second(kInstances[1], kInstances, 200);
  second.Give(
      SnapshotRestored{.index_ = 1, .state_ = first.service_.Snapshot()});
  CHECK(second.service_.applied_index() == 1);
  CHECK(second.service_.configuration().index_ == 1);
  CHECK(second.service_.Snapshot() == first.service_.Snapshot());
}

}  // namespace
}  // namespace gooseberrygap::coordination
