#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "coordination/tests/raft_cluster.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

constexpr size_t kVoters = 5;
// A member that is back, and a successor that starts, count as lost for this
// time.
constexpr int kCatchUpMillis = 4000;
// Limit for what has no bound of its own.
constexpr int kPatienceMillis = 30000;
constexpr int kMembershipTickMillis = 50;

// A control group whose members replace each other, in simulated time. Not
// thread-safe.
class SelfManagedGroup {
 public:
  explicit SelfManagedGroup(unsigned seed)
      : cluster_(kVoters, seed, RaftOptions{.max_voters_ = kVoters}) {
    cluster_.Form();
    for (size_t i = 0; i < kVoters; ++i) {
      AddMembership();
    }
    cluster_.WaitForLeader();
  }

  RaftCluster& cluster() { return cluster_; }
  size_t leader() { return cluster_.WaitForLeader(); }
  // Returns a voter that does not lead.
  size_t Follower() { return (leader() + 1) % kVoters; }

  // Starts another member, which requests to join.
  size_t AddNode() {
    AddMembership();
    return cluster_.AddNode();
  }
  // Runs until the node is a member that has caught up.
  void AwaitMember(size_t node) {
    REQUIRE(
        RunUntil([this, node] { return HasCaughtUp(node); }, kPatienceMillis));
  }
  // Stops the node as a planned stop does: it leaves the group, and its process
  // ends when the group has taken note or `limit` has passed.
  void Stop(size_t node, int limit = kCatchUpMillis) {
    memberships_[node]->Leave();
    RunUntil([this, node] { return memberships_[node]->HasLeft(View(node)); },
             limit);
    cluster_.Crash(node);
  }
  void Start(size_t node) {
    memberships_[node] = std::make_unique<GroupMembership>(Options());
    cluster_.Restart(node);
  }
  void LoseDisk(size_t node) {
    memberships_[node] = std::make_unique<GroupMembership>(Options());
    cluster_.LoseDisk(node);
  }
  void Run(int millis) {
    for (int passed = 0; passed < millis; ++passed) {
      cluster_.Run(1);
      if (cluster_.now() % kMembershipTickMillis == 0) {
        Tick();
      }
    }
  }
  bool RunUntil(const std::function<bool()>& condition, int limit) {
    for (int passed = 0; passed < limit && !condition(); ++passed) {
      Run(1);
    }
    return condition();
  }
  // Returns whether an entry is committed within the limit.
  bool Accepts(int limit) {
    const uint64_t before = cluster_.history().last_index();
    return RunUntil(
        [this, before] {
          const std::optional<size_t> leader = cluster_.Leader();
          if (leader.has_value() && cluster_.now() % 100 == 0) {
            cluster_.Propose(*leader);
          }
          return cluster_.history().last_index() > before;
        },
        limit);
  }
  bool IsVoter(size_t node) {
    return cluster_.Voters(leader()).contains(cluster_.IdentityOf(node));
  }

 private:
  static GroupMembership::Options Options() {
    return {.seeds_ = {"0", "1", "2"}, .voters_ = kVoters};
  }
  void AddMembership() {
    memberships_.push_back(std::make_unique<GroupMembership>(Options()));
  }
  GroupView View(size_t node) {
    Raft& raft = cluster_.raft(node);
    const Millis now(cluster_.now());
    return GroupView{.self_ = cluster_.MemberOf(node),
                     .formed_ = raft.last_index() > 0,
                     .leads_ = raft.role() == RaftRole::kLeader,
                     .leader_address_ = raft.leader_address(),
                     .contact_age_ = raft.ContactAge(now),
                     .last_index_ = raft.last_index(),
                     .members_ = raft.Status(now),
                     .members_committed_ = raft.members_committed()};
  }
  bool HasCaughtUp(size_t node) {
    const auto statuses = View(leader()).members_;
    return std::any_of(
        statuses.begin(), statuses.end(), [&](const MemberStatus& status) {
          return status.member_.identity_ == cluster_.IdentityOf(node) &&
                 status.match_index_ > 0;
        });
  }
  void Tick() {
    for (size_t node = 0; node < cluster_.size(); ++node) {
      if (cluster_.IsUp(node)) {
        Apply(node,
              memberships_[node]->Tick(View(node), Millis(cluster_.now())));
      }
    }
  }
  void Apply(size_t node, const GroupMembership::Step& step) {
    if (!step.events_.empty()) {
      cluster_.HandleEvents(node, step.events_);
    }
    for (const Command& command : step.commands_) {
      const auto& send = std::get<SendToPeer>(command);
      Deliver(std::stoul(send.address_), send.message_);
    }
  }
  void Deliver(size_t node, const PeerMessage& message) {
    if (!cluster_.IsUp(node) || cluster_.IsIsolated(node)) {
      return;
    }
    GroupMembership& membership = *memberships_[node];
    if (const auto* join = std::get_if<JoinRequest>(&message)) {
      Apply(node, membership.OnJoin(*join, View(node), Millis(cluster_.now())));
    } else if (const auto* leave = std::get_if<LeaveRequest>(&message)) {
      Apply(node, membership.OnLeave(*leave, View(node)));
    } else {
      membership.OnLeft(std::get<LeaveReply>(message), View(node));
    }
  }

  RaftCluster cluster_;
  std::vector<std::unique_ptr<GroupMembership>> memberships_;
};

// Two voters lose their disks at this moment, and come back empty.
void LoseTwoDisks(SelfManagedGroup* group, size_t spared) {
  int lost = 0;
  for (size_t node = 0; node < kVoters && lost < 2; ++node) {
    if (node != spared) {
      group->LoseDisk(node);
      ++lost;
    }
  }
}

// Guards against a group that counts a machine that has gone for good among the
// disks that hold its entries: with two more lost, the configuration is gone.
TEST_CASE("a voter that has stopped as planned holds no place in the group",
          "[membership]") {
  const unsigned seed = GENERATE(range(1U, 9U));
  const bool leads = GENERATE(false, true);
  SelfManagedGroup group(seed);
  const size_t successor = group.AddNode();
  group.AwaitMember(successor);
  const size_t old = leads ? group.leader() : group.Follower();
  group.Stop(old);
  LoseTwoDisks(&group, old);
  INFO("seed " << seed << (leads ? ", the leader" : ", a follower"));
  CHECK(group.Accepts(kPatienceMillis));
}

// Guards against a successor that gets its place only after the time that shows
// a silent voter, which starts anew with each leader.
TEST_CASE("a learner that becomes ready takes the place of a stopped voter",
          "[membership]") {
  const unsigned seed = GENERATE(range(1U, 9U));
  SelfManagedGroup group(seed);
  group.Stop(group.Follower());
  group.cluster().Crash(group.leader());
  group.Run(1000);
  const size_t successor = group.AddNode();
  group.AwaitMember(successor);
  INFO("seed " << seed);
  CHECK(group.RunUntil([&] { return group.IsVoter(successor); }, 500));
}

// Guards against a member that is taken out by its own restart although no
// other has its place, and against one that stays marked for ever.
TEST_CASE("a planned restart without a successor keeps the voter",
          "[membership]") {
  const bool leads = GENERATE(false, true);
  SelfManagedGroup group(1);
  const size_t restarted = leads ? group.leader() : group.Follower();
  group.Stop(restarted);
  group.Run(2000);
  group.Start(restarted);
  const auto is_unmarked = [&] {
    const size_t leader = group.leader();
    for (const state::ControlMember& member :
         group.cluster().raft(leader).members()) {
      if (member.leaving_) {
        return false;
      }
    }
    return group.cluster().Voters(leader).size() == kVoters;
  };
  CHECK(group.RunUntil(is_unmarked, kCatchUpMillis));
}

// Guards against a second replacement that waits for the first one's voter to
// be missed.
TEST_CASE("two successors take the places of two voters that stop at once",
          "[membership]") {
  const unsigned seed = GENERATE(range(1U, 5U));
  SelfManagedGroup group(seed);
  const size_t first = group.AddNode();
  const size_t second = group.AddNode();
  group.AwaitMember(first);
  group.AwaitMember(second);
  const size_t old = group.Follower();
  const size_t other = (old + 1) % kVoters;
  group.Stop(old);
  group.Stop(other);
  INFO("seed " << seed);
  CHECK(group.IsVoter(first));
  CHECK(group.IsVoter(second));
  CHECK_FALSE(group.IsVoter(old));
  CHECK_FALSE(group.IsVoter(other));
}

// Guards against a rolling restart in which the group bears fewer losses than
// before, since a voter in a restart still counts although a spare is ready.
TEST_CASE("a rolling restart beside a spare keeps five running voters",
          "[membership]") {
  SelfManagedGroup group(3);
  const size_t spare = group.AddNode();
  group.AwaitMember(spare);
  for (size_t node = 0; node < kVoters; ++node) {
    group.Stop(node);
    REQUIRE(group.RunUntil(
        [&] {
          const std::optional<size_t> leader = group.cluster().Leader();
          return leader.has_value() &&
                 group.cluster().Voters(*leader).size() == kVoters;
        },
        kCatchUpMillis));
    CHECK_FALSE(group.IsVoter(node));
    group.Start(node);
    group.AwaitMember(node);
  }
}

}  // namespace
}  // namespace gooseberrygap::coordination
