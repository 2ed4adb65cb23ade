#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::ControlMember;
using state::Millis;

constexpr Millis kLately(10);
constexpr Millis kLongAgo(5000);

MemberStatus Member(const std::string& name,
                    bool voter,
                    Millis silent_for,
                    const std::string& address = "") {
  return MemberStatus{
      .member_ = ControlMember{.identity_ = name,
                               .instance_ = name,
                               .address_ = address.empty() ? name + "-address"
                                                           : address,
                               .voter_ = voter},
      .match_index_ = 100,
      .last_contact_age_ = silent_for};
}

// The leader "a" and the given other members.
GroupView LeaderView(std::vector<MemberStatus> others) {
  std::vector<MemberStatus> members = {Member("a", true, Millis(0))};
  for (const MemberStatus& other : others) {
    members.push_back(other);
  }
  return GroupView{.self_ = members[0].member_,
                   .formed_ = true,
                   .leads_ = true,
                   .leader_address_ = "a-address",
                   .last_index_ = 100,
                   .members_ = members};
}

GroupView NewView(const std::string& name) {
  return GroupView{.self_ = ControlMember{.identity_ = name,
                                          .instance_ = name,
                                          .address_ = name + "-address"},
                   .knowledge_age_ = Millis(1e9)};
}

GroupMembership Make(bool first_start) {
  return GroupMembership({.seeds_ = {"a-address", "b-address"},
                          .first_start_ = first_start,
                          .voters_ = 5});
}

std::string RemovedBy(const GroupMembership::Step& step) {
  for (const RaftEvent& event : step.events_) {
    if (const auto* removal = std::get_if<RaftRemoveMember>(&event)) {
      return removal->identity_;
    }
  }
  return {};
}

std::string AddedBy(const GroupMembership::Step& step) {
  for (const RaftEvent& event : step.events_) {
    if (const auto* addition = std::get_if<RaftAddMember>(&event)) {
      return addition->member_.identity_;
    }
  }
  return {};
}

// Guards against two groups that form beside each other, and against an
// instance with a lost disk that forms a group of its own.
TEST_CASE("only the first seed forms the group, at the first start only",
          "[membership]") {
  GroupMembership first = Make(true);
  const GroupMembership::Step formed = first.Tick(NewView("a"), Millis(0));
  REQUIRE(formed.events_.size() == 1);
  CHECK(std::get<RaftForm>(formed.events_[0]).members_.size() == 1);
  CHECK(first.Tick(NewView("a"), Millis(1)).events_.empty());
  GroupMembership second = Make(true);
  CHECK(second.Tick(NewView("b"), Millis(0)).events_.empty());
  GroupMembership restarted = Make(false);
  CHECK(restarted.Tick(NewView("a"), Millis(0)).events_.empty());
}

// Guards against an instance that is not told of any other, or only of some
// that are down, and never finds the group.
TEST_CASE("an instance asks one seed after another to let it join",
          "[membership]") {
  GroupMembership membership = Make(false);
  std::set<std::string> asked;
  for (int i = 0; i < 4; ++i) {
    const auto step = membership.Tick(NewView("c"), Millis(1000.0 * i));
    REQUIRE(step.commands_.size() == 1);
    asked.insert(std::get<SendToPeer>(step.commands_[0]).address_);
  }
  CHECK(asked == std::set<std::string>{"a-address", "b-address"});
  membership.SetSeeds({"d-address"});
  const auto step = membership.Tick(NewView("c"), Millis(9000));
  CHECK(std::get<SendToPeer>(step.commands_[0]).address_ == "d-address");
}

// Guards against a voter that lost its disk and holds its place for ever, and
// against an old request to join that removes the living.
TEST_CASE("an identity whose address asks under another one is replaced",
          "[membership]") {
  GroupMembership membership = Make(false);
  const JoinRequest request{
      .identity_ = "b2", .instance_ = "b", .address_ = "b-address"};
  const GroupView lost = LeaderView({Member("b", true, Millis(400))});
  CHECK(RemovedBy(membership.OnJoin(request, lost, Millis(0))) == "b");
  const GroupView alive = LeaderView({Member("b", true, kLately)});
  const auto ignored = membership.OnJoin(request, alive, Millis(0));
  CHECK(ignored.events_.empty());
  const GroupView removed = LeaderView({});
  CHECK(AddedBy(membership.OnJoin(request, removed, Millis(0))) == "b2");
}

// Guards against a group that shrinks while its members are only away: what it
// accepts would then lie on fewer disks than may be lost.
TEST_CASE("a silent voter gives way only to a learner that is ready",
          "[membership]") {
  GroupMembership membership = Make(false);
  const std::vector<MemberStatus> voters = {
      Member("b", true, kLately), Member("c", true, kLately),
      Member("d", true, kLongAgo), Member("e", true, kLongAgo + kLately)};
  CHECK(RemovedBy(membership.Tick(LeaderView(voters), Millis(0))).empty());
  std::vector<MemberStatus> with_learner = voters;
  with_learner.push_back(Member("f", false, kLately));
  CHECK(RemovedBy(membership.Tick(LeaderView(with_learner), Millis(1000))) ==
        "e");
  std::vector<MemberStatus> with_silent_learner = voters;
  with_silent_learner.push_back(Member("f", false, kLongAgo));
  CHECK(
      RemovedBy(membership.Tick(LeaderView(with_silent_learner), Millis(2000)))
          .empty());
  const std::vector<MemberStatus> all_heard = {
      Member("b", true, kLately), Member("c", true, kLately),
      Member("d", true, kLately), Member("e", true, kLately),
      Member("f", false, kLately)};
  CHECK(
      RemovedBy(membership.Tick(LeaderView(all_heard), Millis(3000))).empty());
}

// Guards against a request that ends at a follower.
TEST_CASE("a follower passes a request to join on to the leader",
          "[membership]") {
  GroupMembership membership = Make(false);
  GroupView view = LeaderView({});
  const GroupView follower{.self_ = view.self_,
                           .formed_ = true,
                           .leader_address_ = "b-address",
                           .members_ = view.members_};
  const auto step =
      membership.OnJoin(JoinRequest{.identity_ = "f", .address_ = "f-address"},
                        follower, Millis(0));
  REQUIRE(step.commands_.size() == 1);
  CHECK(std::get<SendToPeer>(step.commands_[0]).address_ == "b-address");
}

}  // namespace
}  // namespace gooseberrygap::coordination
