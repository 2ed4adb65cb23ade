#include <catch2/catch.hpp>

#include "coordination/tests/raft_cluster.h"

namespace gooseberrygap::coordination {
namespace {

// Delays of a group that is spread over two regions, and a slow disk.
constexpr FaultOptions kTwoRegions = {.min_delay_ = 10,
                                      .max_delay_ = 14,
                                      .max_write_ = 10};

bool IsCommitted(const RaftCluster& cluster, uint64_t tag) {
  const std::optional<ProposalEnd> end = cluster.EndOf(tag);
  return end && end->status_ == ProposalStatus::kCommitted;
}

// Proposes at whoever leads until a value is committed.
bool Commits(RaftCluster* cluster, int limit = 5000) {
  std::set<uint64_t> tags;
  size_t proposer = 0;
  const auto is_committed = [&] {
    const std::optional<size_t> leader = cluster->Leader();
    if (leader && (tags.empty() || proposer != *leader ||
                   cluster->EndOf(*tags.rbegin()))) {
      proposer = *leader;
      tags.insert(cluster->Propose(proposer));
    }
    for (const uint64_t tag : tags) {
      if (IsCommitted(*cluster, tag)) {
        return true;
      }
    }
    return false;
  };
  return cluster->RunUntil(is_committed, limit);
}

// Cuts, crashes or restarts a node, or repairs one. Mostly a majority is left;
// now and then it is lost for a while.
void InjectFault(RaftCluster* cluster) {
  const auto is_faulty = [&](size_t node) {
    return !cluster->IsUp(node) || cluster->IsCut(node);
  };
  size_t faulty = 0;
  for (size_t i = 0; i < cluster->size(); ++i) {
    faulty += is_faulty(i) ? 1 : 0;
  }
  const size_t node = cluster->random()() % cluster->size();
  const bool may_break =
      (faulty + 1) * 2 < cluster->size() || cluster->random()() % 8 == 0;
  if (is_faulty(node)) {
    cluster->Cut(node, false);
    if (!cluster->IsUp(node)) {
      cluster->Restart(node);
    }
  } else if (may_break && cluster->random()() % 2 == 0) {
    cluster->Cut(node, true);
  } else {
    cluster->Crash(node);
    if (!may_break || cluster->random()() % 2 == 0) {
      cluster->Restart(node);
    }
  }
}

void RepairAll(RaftCluster* cluster) {
  cluster->SetFaults({});
  for (size_t i = 0; i < cluster->size(); ++i) {
    cluster->Cut(i, false);
    if (!cluster->IsUp(i)) {
      cluster->Restart(i);
    }
  }
}

// Guards against lost, changed or doubled entries, two leaders in a term, a
// promise before it is durable and reads that go back, under message loss,
// duplicates, reordering, partitions and crashes.
TEST_CASE("the log keeps its promises under faults", "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 41U));
  CAPTURE(seed);
  RaftCluster cluster(seed % 2 == 0 ? 3 : 5, seed, {.tail_entries_ = 8});
  cluster.Form();
  cluster.WaitForLeader();
  cluster.SetFaults(
      {.drop_ = 0.05, .duplicate_ = 0.05, .max_delay_ = 40, .max_write_ = 30});
  for (int step = 0; step < 600; ++step) {
    cluster.Run(20);
    for (size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.IsUp(i) && cluster.raft(i).role() == RaftRole::kLeader) {
        cluster.Propose(i);
      }
    }
    const size_t reader = cluster.random()() % cluster.size();
    if (cluster.IsUp(reader)) {
      cluster.Read(reader);
    }
    if (cluster.random()() % 20 == 0) {
      InjectFault(&cluster);
    }
  }
  RepairAll(&cluster);
  CHECK(Commits(&cluster));
  CHECK(cluster.RunUntil([&] { return cluster.IsQuiet(); }, 2000));
  CHECK(cluster.Acknowledged() > 50);
  CHECK(cluster.Confirmed() > 20);
  cluster.CheckHistory();
}

// Guards against two majorities without a common member, against a member that
// lost its disk voting again, and against losing entries or the quorum when a
// second instance is lost right after the first was replaced.
TEST_CASE("members are replaced under faults", "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  RaftCluster cluster(3, seed, {.tail_entries_ = 8});
  cluster.Form();
  for (int round = 0; round < 3; ++round) {
    cluster.SetFaults({.drop_ = 0.03,
                       .duplicate_ = 0.03,
                       .max_delay_ = 30,
                       .max_write_ = 20});
    for (int i = 0; i < 20; ++i) {
      cluster.Propose(cluster.WaitForLeader());
      cluster.Run(20);
    }
    const size_t lost = cluster.random()() % 3;
    const std::string old_identity = cluster.IdentityOf(lost);
    cluster.LoseDisk(lost);
    const auto is_replaced = [&] {
      const std::optional<size_t> leader = cluster.Leader();
      if (!leader) {
        return false;
      }
      cluster.Add(*leader, lost);
      const std::set<std::string> voters = cluster.Voters(*leader);
      if (!voters.contains(cluster.IdentityOf(lost))) {
        return false;
      }
      const uint64_t tag = cluster.Remove(*leader, old_identity);
      return !voters.contains(old_identity) &&
             cluster.EndOf(tag)->status_ == ProposalStatus::kInvalidChange;
    };
    REQUIRE(cluster.RunUntil(is_replaced, 20000));
    const size_t second = (lost + 1 + seed % 2) % 3;
    cluster.Crash(second);
    REQUIRE(Commits(&cluster, 10000));
    cluster.Restart(second);
  }
  RepairAll(&cluster);
  CHECK(Commits(&cluster));
  CHECK(cluster.RunUntil([&] { return cluster.IsQuiet(); }, 2000));
  CHECK(cluster.Voters(0).size() == 3);
  cluster.CheckHistory();
}

// Guards against an election that takes longer than 2 s after the leader was
// lost, with the delays of two regions.
TEST_CASE("a lost leader is replaced within 2 s", "[configuration]") {
  const unsigned seed = GENERATE(range(1U, 101U));
  CAPTURE(seed);
  RaftCluster cluster(seed % 2 == 0 ? 3 : 5, seed);
  cluster.SetFaults(kTwoRegions);
  cluster.Form();
  const size_t old_leader = cluster.WaitForLeader();
  cluster.Run(500 + static_cast<int>(seed));
  cluster.Crash(old_leader);
  CHECK(cluster.RunUntil([&] { return cluster.Leader().has_value(); }, 2000));
}

// Guards against a member that was cut off raising its term and unseating a
// working leader when it returns.
TEST_CASE("a member that returns does not unseat the leader",
          "[configuration]") {
  RaftCluster cluster(3, 7);
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  const uint64_t term = cluster.raft(leader).term();
  const size_t away = (leader + 1) % 3;
  cluster.Run(100);
  for (int round = 0; round < 20; ++round) {
    cluster.Cut(away, true);
    cluster.Run(1500 + 37 * round);
    CHECK(cluster.raft(away).leader().empty());
    cluster.Cut(away, false);
    cluster.Run(300);
    CHECK(cluster.raft(away).leader() == cluster.IdentityOf(leader));
    REQUIRE(cluster.raft(leader).role() == RaftRole::kLeader);
    REQUIRE(cluster.raft(away).term() == term);
  }
}

// Guards against a cut-off leader that goes on to take proposals and to
// confirm reads.
TEST_CASE("a leader without a quorum steps down", "[configuration]") {
  RaftCluster cluster(3, 8);
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  REQUIRE(Commits(&cluster));
  cluster.Cut(leader, true);
  const uint64_t value = cluster.Propose(leader);
  const uint64_t read = cluster.Read(leader);
  cluster.Run(700);
  CHECK(cluster.raft(leader).role() != RaftRole::kLeader);
  CHECK(cluster.EndOf(cluster.Propose(leader))->status_ ==
        ProposalStatus::kNotLeader);
  CHECK_FALSE(cluster.AnswerOf(read)->confirmed_);
  CHECK_FALSE(cluster.AnswerOf(cluster.Read(leader))->confirmed_);
  REQUIRE(Commits(&cluster));
  CHECK_FALSE(cluster.EndOf(value));
  cluster.Cut(leader, false);
  cluster.Run(1000);
  CHECK(cluster.EndOf(value)->status_ == ProposalStatus::kLost);
  cluster.CheckHistory();
}

// Guards against a majority that counts a voter which lost its disk: it must
// not vote under its new identity, nor answer to the old one.
TEST_CASE("a lost data folder does not vote", "[configuration]") {
  RaftCluster cluster(3, 9);
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  REQUIRE(Commits(&cluster));
  cluster.Crash(leader);
  cluster.LoseDisk((leader + 1) % 3);
  cluster.Run(10000);
  CHECK_FALSE(cluster.Leader());
  CHECK(cluster.raft((leader + 1) % 3).last_index() == 0);
  cluster.Restart(leader);
  CHECK(Commits(&cluster));
}

// Guards against a vote of a member that is in no list, however it is asked.
TEST_CASE("a member outside the list does not vote", "[configuration]") {
  std::mt19937 random(1);
  Raft raft({}, {.identity_ = "new"}, random, state::Millis(0));
  for (const char* to : {"new", "old"}) {
    for (const bool pre_vote : {true, false}) {
      const Raft::Step step = raft.Handle(
          RaftMessageReceived{.message_ = VoteRequest{.from_ = "a",
                                                      .to_ = to,
                                                      .term_ = 5,
                                                      .pre_vote_ = pre_vote,
                                                      .last_index_ = 9,
                                                      .last_term_ = 4}},
          state::Millis(5000));
      CHECK(step.commands_.empty());
      CHECK_FALSE(step.batch_);
    }
  }
}

// Guards against a replaced member answering for its former identity, which
// would count one data folder as two votes.
TEST_CASE("a member answers only to its own identity", "[configuration]") {
  std::mt19937 random(1);
  Raft raft({},
            {.identity_ = "new",
             .entries_ = {{.index_ = 1,
                           .term_ = 1,
                           .kind_ = state::LogEntryKind::kMembers,
                           .members_ = {{.identity_ = "old"},
                                        {.identity_ = "new"}}}}},
            random, state::Millis(0));
  for (const char* to : {"old", "new"}) {
    const Raft::Step step = raft.Handle(
        RaftMessageReceived{.message_ = VoteRequest{.from_ = "a",
                                                    .to_ = to,
                                                    .term_ = 5,
                                                    .pre_vote_ = true,
                                                    .last_index_ = 9,
                                                    .last_term_ = 4}},
        state::Millis(5000));
    CHECK(step.commands_.empty() == (to == std::string("old")));
  }
}

// Guards against acknowledging an entry because an entry that it replaced was
// written in its place.
TEST_CASE("a replaced entry does not count as durable", "[configuration]") {
  std::mt19937 random(1);
  Raft raft({}, {.identity_ = "a"}, random, state::Millis(0));
  uint64_t acknowledged = 0;
  const auto give = [&](const RaftEvent& event) {
    const Raft::Step step = raft.Handle(event, state::Millis(0));
    for (const Command& command : step.commands_) {
      const auto* reply = std::get_if<ReplyToPeer>(&command);
      REQUIRE(reply != nullptr);
      acknowledged = std::get<AppendReply>(reply->message_).index_;
    }
    return step.batch_ ? step.batch_->sequence_ : 0;
  };
  const auto append = [&](uint64_t term, uint64_t previous, uint64_t last) {
    std::vector<state::LogEntry> entries;
    for (uint64_t index = previous + 1; index <= last; ++index) {
      entries.push_back({.index_ = index, .term_ = term});
    }
    return give(RaftMessageReceived{
        .message_ = AppendRequest{.from_ = "leader",
                                  .to_ = "a",
                                  .term_ = term,
                                  .previous_index_ = previous,
                                  .previous_term_ = previous == 0 ? 0U : 1U,
                                  .entries_ = entries}});
  };
  append(1, 0, 3);
  give(RaftPersisted{.sequence_ = append(2, 0, 0)});
  const uint64_t replacement = append(2, 1, 3);
  CHECK(acknowledged <= 1);
  give(RaftPersisted{.sequence_ = replacement});
  CHECK(acknowledged == 3);
}

// Guards against committing an entry of an earlier term because a majority has
// it: a member without it may still be elected and replace it.
TEST_CASE("an entry of an earlier term is not committed alone",
          "[configuration]") {
  std::mt19937 random(1);
  state::Millis now(0);
  const std::vector<state::ControlMember> members = {
      {.identity_ = "a"}, {.identity_ = "b"}, {.identity_ = "c"}};
  Raft raft({},
            {.identity_ = "a",
             .vote_ = {.term_ = 2},
             .entries_ = {{.index_ = 1,
                           .term_ = 1,
                           .kind_ = state::LogEntryKind::kMembers,
                           .members_ = members},
                          {.index_ = 2, .term_ = 2}}},
            random, now);
  const auto give = [&](const RaftEvent& event) {
    const Raft::Step step = raft.Handle(event, now);
    if (step.batch_) {
      raft.Handle(RaftPersisted{.sequence_ = step.batch_->sequence_}, now);
    }
  };
  const auto receive = [&](const PeerMessage& message) {
    give(RaftMessageReceived{.message_ = message});
  };
  now = state::Millis(1000);
  give(RaftTick{});
  for (const bool pre_vote : {true, false}) {
    receive(VoteReply{.from_ = "b",
                      .to_ = "a",
                      .term_ = 3,
                      .pre_vote_ = pre_vote,
                      .granted_ = true});
  }
  REQUIRE(raft.role() == RaftRole::kLeader);
  REQUIRE(raft.last_index() == 3);
  for (const uint64_t index : {2U, 3U}) {
    receive(AppendReply{.from_ = "b",
                        .to_ = "a",
                        .term_ = 3,
                        .success_ = true,
                        .index_ = index});
    CHECK(raft.commit_index() == (index == 3 ? 3 : 0));
  }
}

// Guards against a learner that counts before it has caught up, here by a
// snapshot, and against reads at a follower that miss committed entries.
TEST_CASE("a new member catches up by a snapshot", "[configuration]") {
  RaftCluster cluster(3, 10, {.tail_entries_ = 4});
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  for (int i = 0; i < 100; ++i) {
    cluster.Propose(leader);
    cluster.Run(2);
  }
  const size_t added = cluster.AddNode();
  const uint64_t tag = cluster.Add(leader, added);
  CHECK(cluster.Voters(leader).size() == 3);
  const auto has_joined = [&] {
    return cluster.Voters(added).contains(cluster.IdentityOf(added));
  };
  CHECK(cluster.RunUntil(has_joined, 1000));
  CHECK(IsCommitted(cluster, tag));
  CHECK(cluster.RunUntil([&] { return cluster.IsQuiet(); }, 1000));
  CHECK(cluster.raft(added).EntriesSinceSnapshot() < 60);
  const uint64_t value = cluster.Propose(leader);
  CHECK(cluster.RunUntil([&] { return IsCommitted(cluster, value); }, 50));
  const uint64_t read = cluster.Read(added);
  const auto is_answered = [&] { return cluster.AnswerOf(read).has_value(); };
  CHECK(cluster.RunUntil(is_answered, 50));
  CHECK(cluster.AnswerOf(read)->confirmed_);
}

// Guards against changes that overlap or make no sense, and against a leader
// that leads on after its removal.
TEST_CASE("membership changes are checked", "[configuration]") {
  RaftCluster cluster(3, 11);
  cluster.Form();
  const size_t leader = cluster.WaitForLeader();
  REQUIRE(Commits(&cluster));
  const auto status = [&](uint64_t tag) { return cluster.EndOf(tag)->status_; };
  CHECK(status(cluster.Add(leader, leader)) == ProposalStatus::kInvalidChange);
  CHECK(status(cluster.Remove(leader, "nobody")) ==
        ProposalStatus::kInvalidChange);
  CHECK(status(cluster.Remove((leader + 1) % 3, "nobody")) ==
        ProposalStatus::kNotLeader);
  const uint64_t removal = cluster.Remove(leader, cluster.IdentityOf(leader));
  CHECK(status(cluster.Add(leader, cluster.AddNode())) ==
        ProposalStatus::kChangePending);
  cluster.Run(100);
  CHECK(IsCommitted(cluster, removal));
  CHECK(cluster.raft(leader).role() == RaftRole::kFollower);
  cluster.Run(3000);
  CHECK(cluster.raft(leader).role() == RaftRole::kFollower);
  CHECK(cluster.Leader() != leader);
  CHECK(Commits(&cluster));
}

// Guards against forming a group over an existing log or without oneself, and
// against a member that acts before the group is formed.
TEST_CASE("a group is formed once", "[configuration]") {
  RaftCluster cluster(3, 12);
  cluster.Run(3000);
  CHECK_FALSE(cluster.Leader());
  CHECK(cluster.raft(0).term() == 0);
  cluster.Give(0, RaftForm{.tag_ = 900, .members_ = {cluster.MemberOf(1)}});
  CHECK(cluster.EndOf(900)->status_ == ProposalStatus::kInvalidChange);
  cluster.Form();
  cluster.WaitForLeader();
  cluster.Give(0, RaftForm{.tag_ = 901, .members_ = {cluster.MemberOf(0)}});
  CHECK(cluster.EndOf(901)->status_ == ProposalStatus::kAlreadyFormed);
  CHECK(Commits(&cluster));
}

}  // namespace
}  // namespace gooseberrygap::coordination
