#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "coordination/tests/raft_cluster.h"

namespace gooseberrygap::coordination {
namespace {

// Message delays of a group in two regions, and a slow disk.
constexpr FaultOptions kTwoRegions = {.min_delay_ = 10,
                                      .max_delay_ = 14,
                                      .max_write_ = 10};
// A member learns of a commit with the next heartbeat at the latest, and that
// message takes its time.
constexpr int kMaxUnderstatement = 100 + 20;
// Daemons renew early, or look for another instance, above these.
constexpr double kSuspectStaleness = 300;

// Compares, at each millisecond, the staleness that the members report with the
// time since the first entry was committed that they lack.
class StalenessMonitor {
 public:
  explicit StalenessMonitor(RaftCluster* cluster) : cluster_(cluster) {}

  void Run(int millis) {
    for (int i = 0; i < millis; ++i) {
      cluster_->Run(1);
      Observe();
    }
  }
  // Advances the time until the condition holds; returns whether it does within
  // `limit` milliseconds.
  template <class Condition>
  bool RunUntil(const Condition& condition, int limit) {
    for (int i = 0; i < limit && !condition(); ++i) {
      Run(1);
    }
    return condition();
  }
  // Proposes a value to the leader, if there is one, every `interval`
  // milliseconds.
  void RunWithProposals(int millis, int interval) {
    for (int passed = 0; passed < millis; passed += interval) {
      if (const std::optional<size_t> leader = cluster_->Leader()) {
        cluster_->Propose(*leader);
      }
      Run(interval);
    }
  }
  // The most by which a member has understated its staleness, in milliseconds.
  double max_understatement() const { return max_understatement_; }
  // The greatest staleness that a member has reported since the last reset.
  double max_staleness() const { return max_staleness_; }
  void ResetMaxStaleness() { max_staleness_ = 0; }

 private:
  void Observe() {
    for (size_t i = 0; i < cluster_->size(); ++i) {
      if (cluster_->IsUp(i)) {
        committed_at_.resize(
            std::max<size_t>(committed_at_.size(),
                             cluster_->raft(i).commit_index() + 1),
            cluster_->now());
      }
    }
    for (size_t i = 0; i < cluster_->size(); ++i) {
      if (!cluster_->IsUp(i)) {
        continue;
      }
      const double reported = cluster_->StalenessOf(i).value();
      max_staleness_ = std::max(max_staleness_, reported);
      const uint64_t missing = cluster_->raft(i).commit_index() + 1;
      if (missing < committed_at_.size()) {
        const double actual = cluster_->now() - committed_at_[missing];
        max_understatement_ = std::max(max_understatement_, actual - reported);
      }
    }
  }

  RaftCluster* const cluster_;
  std::vector<int> committed_at_;  // By index.
  double max_understatement_ = 0;
  double max_staleness_ = 0;
};

// Returns the nodes other than the leader and `excluded`.
std::vector<size_t> OtherFollowers(const RaftCluster& cluster,
                                   size_t leader,
                                   size_t excluded) {
  std::vector<size_t> others;
  for (size_t i = 0; i < cluster.size(); ++i) {
    if (i != leader && i != excluded) {
      others.push_back(i);
    }
  }
  return others;
}

// Guards against an instance whose disk stopped at an election: it cannot reply
// to the new leader, which therefore never learns which entries it lacks, and
// its daemons would answer 404 for every route added since.
TEST_CASE("a member whose disk stopped at an election reports its staleness",
          "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  RaftCluster cluster(5, seed);
  cluster.Form();
  const size_t old_leader = cluster.WaitForLeader();
  StalenessMonitor monitor(&cluster);
  monitor.RunWithProposals(200, 20);
  const size_t stopped = (old_leader + 1) % 5;
  // The last entry before the election does not reach the member.
  cluster.SetIsolated(stopped, true);
  cluster.Propose(old_leader);
  monitor.Run(50);
  cluster.Crash(old_leader);
  cluster.SetIsolated(stopped, false);
  cluster.SetDiskHangs(stopped, true);
  REQUIRE(monitor.RunUntil([&] { return cluster.Leader().has_value(); }, 3000));
  const uint64_t known = cluster.raft(stopped).commit_index();
  monitor.RunWithProposals(3000, 50);
  REQUIRE(cluster.raft(*cluster.Leader()).commit_index() > known + 40);
  CHECK(cluster.raft(stopped).leader() ==
        cluster.IdentityOf(*cluster.Leader()));
  CHECK(cluster.raft(stopped).commit_index() == known);
  CHECK(cluster.StalenessOf(stopped).value() > 3000);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);

  cluster.SetDiskHangs(stopped, false);
  monitor.Run(500);
  CHECK(cluster.raft(stopped).commit_index() > known + 40);
  CHECK(cluster.StalenessOf(stopped).value() <= kMaxUnderstatement);
}

// Guards against a new leader that passes as up to date although it has not
// committed an entry of its own term: it may lack the commit of earlier ones.
TEST_CASE("a leader right after its election reports its staleness",
          "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  RaftCluster cluster(3, seed);
  cluster.Form();
  const size_t old_leader = cluster.WaitForLeader();
  StalenessMonitor monitor(&cluster);
  monitor.RunWithProposals(200, 20);
  // Committed, but no other member has learned of it when the leader crashes.
  const uint64_t last = cluster.Propose(old_leader);
  REQUIRE(monitor.RunUntil([&] { return cluster.history().IsCommitted(last); },
                           100));
  cluster.Crash(old_leader);
  const int crashed_at = cluster.now();
  REQUIRE(monitor.RunUntil([&] { return cluster.Leader().has_value(); }, 3000));
  const size_t leader = *cluster.Leader();
  const size_t other = OtherFollowers(cluster, leader, old_leader).front();
  cluster.SetDiskHangs(other, true);
  monitor.Run(400);
  REQUIRE(cluster.raft(leader).role() == RaftRole::kLeader);
  // Messages that the old leader has sent still arrive.
  const int last_received_at = crashed_at + FaultOptions().max_delay_;
  for (const size_t member : {leader, other}) {
    CHECK(cluster.StalenessOf(member).value() >=
          cluster.now() - last_received_at);
  }
  cluster.SetDiskHangs(other, false);
  monitor.Run(300);
  for (const size_t member : {leader, other}) {
    CHECK(cluster.StalenessOf(member).value() <= kMaxUnderstatement);
  }
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
}

// Guards against false alarms: daemons would leave an instance that works.
TEST_CASE("members that are up to date report little staleness",
          "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 6U));
  const int interval = GENERATE(1, 7, 50, 1000);
  CAPTURE(seed, interval);
  RaftCluster cluster(5, seed);
  cluster.Form();
  cluster.WaitForLeader();
  cluster.SetFaults(kTwoRegions);
  StalenessMonitor monitor(&cluster);
  monitor.Run(500);
  monitor.ResetMaxStaleness();
  monitor.RunWithProposals(3000, interval);
  CHECK(monitor.max_staleness() < kSuspectStaleness / 2);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
}

// Guards against a member that receives entries in small portions under
// constant changes, is always a few entries behind, and is therefore taken for
// one that is cut off.
TEST_CASE("a member that is always slightly behind is not stale",
          "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 6U));
  CAPTURE(seed);
  RaftCluster cluster(3, seed,
                      {.max_append_entries_ = 2, .max_in_flight_entries_ = 24});
  cluster.Form();
  cluster.WaitForLeader();
  cluster.SetFaults(
      {.drop_ = 0.01, .min_delay_ = 5, .max_delay_ = 15, .max_write_ = 10});
  StalenessMonitor monitor(&cluster);
  monitor.Run(500);
  monitor.ResetMaxStaleness();
  monitor.RunWithProposals(4000, 2);
  CHECK(monitor.max_staleness() < kSuspectStaleness * 2);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
}

// Guards against a member that stays stale after it has received what it
// missed.
TEST_CASE("a member that lacks an entry briefly is up to date again at once",
          "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  RaftCluster cluster(3, seed);
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  StalenessMonitor monitor(&cluster);
  monitor.RunWithProposals(500, 20);
  monitor.ResetMaxStaleness();
  const size_t member = (leader + 1) % 3;
  for (int i = 0; i < 20; ++i) {
    cluster.SetIsolated(member, true);
    cluster.Propose(leader);
    monitor.Run(20);
    cluster.SetIsolated(member, false);
    monitor.Run(230);
    CHECK(cluster.StalenessOf(member).value() <= kMaxUnderstatement);
  }
  CHECK(monitor.max_staleness() < kSuspectStaleness);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
}

// Guards against a restarted member that passes as up to date from the first
// message of its leader on, although it still receives the log.
TEST_CASE("a member that catches up reports its staleness", "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  RaftCluster cluster(3, seed,
                      {.max_append_entries_ = 4, .max_in_flight_entries_ = 4});
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  StalenessMonitor monitor(&cluster);
  monitor.RunWithProposals(200, 20);
  const size_t member = (leader + 1) % 3;
  cluster.Crash(member);
  monitor.RunWithProposals(5000, 20);
  cluster.SetFaults({.min_delay_ = 10, .max_delay_ = 12, .max_write_ = 10});
  cluster.Restart(member);
  monitor.RunWithProposals(2000, 50);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
  monitor.RunWithProposals(2000, 50);
  CHECK(cluster.StalenessOf(member).value() <= kMaxUnderstatement);
}

// Guards against a member that passes as up to date because old messages of its
// leader reach it one after another.
TEST_CASE("a member that handles its leader's messages late reports their age",
          "[configuration]") {
  constexpr int kLag = 2000;
  const unsigned seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  RaftCluster cluster(3, seed);
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  StalenessMonitor monitor(&cluster);
  monitor.RunWithProposals(200, 20);
  const size_t member = (leader + 1) % 3;
  cluster.SetInboundDelay(member, kLag);
  monitor.RunWithProposals(3 * kLag, 50);
  CHECK(cluster.Leader() == leader);
  CHECK(cluster.StalenessOf(member).value() >= kLag);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
  cluster.SetInboundDelay(member, 0);
  monitor.Run(300);
  CHECK(cluster.StalenessOf(member).value() <= kMaxUnderstatement);
  CHECK(monitor.max_understatement() <= kMaxUnderstatement);
}

// Guards against followers that pass as stale for a heartbeat longer than the
// election takes, although nothing is missing any more.
TEST_CASE("followers are up to date soon after an election",
          "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  RaftCluster cluster(5, seed);
  cluster.Form();
  cluster.WaitForLeader();
  cluster.SetFaults(kTwoRegions);
  StalenessMonitor monitor(&cluster);
  monitor.RunWithProposals(1000, 50);
  const size_t old_leader = *cluster.Leader();
  cluster.Crash(old_leader);
  REQUIRE(monitor.RunUntil([&] { return cluster.Leader().has_value(); }, 3000));
  // A round trip with a write, and the message with the commit index.
  constexpr int kAnnouncement = 14 + 10 + 14 + 14 + 10;
  monitor.Run(kAnnouncement);
  for (size_t i = 0; i < cluster.size(); ++i) {
    if (i != old_leader) {
      CAPTURE(i);
      CHECK(cluster.StalenessOf(i).value() <= kMaxUnderstatement);
    }
  }
}

// Guards against a leader that counts its authority from the receipt of a
// reply: the sender may have followed another leader since it replied.
TEST_CASE("a leader's contact counts from the beginning of the round",
          "[configuration]") {
  constexpr int kOneWay = 60;
  RaftCluster cluster(3, 7);
  cluster.SetFaults({.min_delay_ = kOneWay, .max_delay_ = kOneWay});
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  cluster.Run(1000);
  for (int i = 0; i < 500; ++i) {
    cluster.Run(1);
    const state::Millis now(cluster.now());
    CHECK(cluster.raft(leader).ContactAge(now) >= state::Millis(2 * kOneWay));
  }
}

}  // namespace
}  // namespace gooseberrygap::coordination
