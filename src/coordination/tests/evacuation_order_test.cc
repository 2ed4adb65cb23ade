#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

constexpr Millis kNow(1000);

// A control instance that leads a group, with a log of its own.
class Leader {
 public:
  Leader() { SetStatus(true); }

  void SetStatus(bool leads) {
    service_.Handle(LogStatus{.formed_ = true,
                              .leads_ = leads,
                              .has_quorum_ = leads,
                              .leader_address_ = leads ? "addr1" : "addr2",
                              .last_up_to_date_ = kNow},
                    kNow);
  }
  ControlStep Submit(const EvacuationSubmit& submit) {
    return service_.Handle(
        ControlMessage{.connection_ = "conn", .message_ = submit}, kNow);
  }
  // Applies the only proposal of the step as the next entry.
  ControlStep Commit(const ControlStep& step) {
    REQUIRE(step.proposals_.size() == 1);
    return service_.Handle(
        EntryCommitted{.index_ = ++index_,
                       .command_ = step.proposals_[0].command_},
        kNow);
  }

  state::Counters counters_;
  ControlService service_{ControlAddress{"c1", "addr1", "north"},
                          {{"c1", "addr1", "north"}, {"c2", "addr2", "north"}},
                          100,
                          &counters_,
                          kNow};
  uint64_t index_ = 0;
};

EvacuationSubmit Order(uint64_t call_id, bool evacuates, uint64_t known_index) {
  return EvacuationSubmit{
      .call_id_ = call_id,
      .order_ = state::EvacuationOrder{.failure_domain_ = "zone-1",
                                       .evacuates_ = evacuates,
                                       .known_index_ = known_index}};
}

EvacuationReply ReplyOf(const ControlStep& step) {
  REQUIRE(step.commands_.size() == 1);
  const auto* reply = std::get_if<ReplyToPeer>(&step.commands_[0]);
  REQUIRE(reply != nullptr);
  CHECK(reply->connection_ == "conn");
  REQUIRE(std::holds_alternative<EvacuationReply>(reply->message_));
  return std::get<EvacuationReply>(reply->message_);
}

// Guards against an acknowledgement that is sent before the order is applied,
// and against orders that are never answered.
TEST_CASE("an evacuation order is acknowledged once it has been applied",
          "[evacuation]") {
  Leader leader;
  const ControlStep proposed = leader.Submit(Order(7, true, 0));
  CHECK(proposed.commands_.empty());
  CHECK(ReplyOf(leader.Commit(proposed)) ==
        EvacuationReply{.call_id_ = 7, .index_ = 1});
  CHECK(leader.service_.evacuations().domains_ ==
        std::vector<state::EvacuationState>{
            {.failure_domain_ = "zone-1", .evacuated_ = true, .index_ = 1}});
  CHECK(leader.counters_.gauges().Get(state::Gauge::kEvacuationOrderIndex) ==
        1);
  // A copy of the order, sent because the acknowledgement was lost.
  CHECK(ReplyOf(leader.Commit(leader.Submit(Order(8, true, 0)))) ==
        EvacuationReply{.call_id_ = 8, .index_ = 1});
}

// Guards against a delayed copy of an order that undoes a later one.
TEST_CASE("a delayed copy of an evacuation order conflicts with a later order",
          "[evacuation]") {
  Leader leader;
  leader.Commit(leader.Submit(Order(1, true, 0)));
  leader.Commit(leader.Submit(Order(2, false, 1)));
  CHECK(ReplyOf(leader.Commit(leader.Submit(Order(3, true, 0)))) ==
        EvacuationReply{.call_id_ = 3,
                        .status_ = EvacuationStatus::kConflict,
                        .index_ = 2});
  CHECK_FALSE(leader.service_.evacuations().domains_[0].evacuated_);
}

// Guards against a withdrawal that is delayed on a link, is not known to have
// failed, and takes effect after a new order has been acknowledged.
TEST_CASE("a delayed withdrawal does not undo an order that repeats the last",
          "[evacuation]") {
  Leader leader;
  leader.Commit(leader.Submit(Order(1, true, 0)));
  CHECK(ReplyOf(leader.Commit(leader.Submit(Order(2, true, 1)))) ==
        EvacuationReply{.call_id_ = 2, .index_ = 2});
  CHECK(ReplyOf(leader.Commit(leader.Submit(Order(3, false, 1)))) ==
        EvacuationReply{.call_id_ = 3,
                        .status_ = EvacuationStatus::kConflict,
                        .index_ = 2});
  CHECK(leader.service_.evacuations().domains_[0].evacuated_);
}

// Guards against a submitter that is told nothing by an instance that does not
// lead, or that takes a lost proposal for an acknowledged one.
TEST_CASE("an instance that does not lead names the leader to a submitter",
          "[evacuation]") {
  Leader leader;
  const ControlStep proposed = leader.Submit(Order(4, true, 0));
  leader.SetStatus(false);
  const EvacuationReply not_leader{.call_id_ = 4,
                                   .status_ = EvacuationStatus::kNotLeader,
                                   .leader_address_ = "addr2"};
  CHECK(ReplyOf(leader.Submit(Order(4, true, 0))) == not_leader);
  REQUIRE(proposed.proposals_.size() == 1);
  CHECK(ReplyOf(leader.service_.Handle(
            ProposalEnded{.tag_ = proposed.proposals_[0].tag_,
                          .outcome_ = ProposalOutcome::kRefused},
            kNow)) == not_leader);
}

// Guards against orders that are lost when an instance starts from a snapshot.
TEST_CASE("a snapshot keeps the evacuation orders", "[evacuation]") {
  Leader leader;
  leader.Commit(leader.Submit(Order(1, true, 0)));
  Leader restored;
  restored.service_.Handle(
      SnapshotRestored{.index_ = 1, .state_ = leader.service_.Snapshot()},
      kNow);
  CHECK(restored.service_.evacuations() == leader.service_.evacuations());
  CHECK(restored.counters_.gauges().Get(state::Gauge::kEvacuationOrderIndex) ==
        1);
}

}  // namespace
}  // namespace gooseberrygap::coordination
