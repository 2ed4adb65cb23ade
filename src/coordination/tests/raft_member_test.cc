#include <catch2/catch.hpp>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

// Guards against a vote by a member that is in no member list, whichever
// identity and kind of vote the request names.
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

// Guards against acknowledging an entry as durable because a replaced entry was
// written at the same index.
TEST_CASE("a replaced entry does not count as durable", "[configuration]") {
  std::mt19937 random(1);
  Raft raft({}, {.identity_ = "a"}, random, state::Millis(0));
  uint64_t acknowledged = 0;
  const auto handle = [&](const RaftEvent& event) {
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
    return handle(RaftMessageReceived{
        .message_ = AppendRequest{.from_ = "leader",
                                  .to_ = "a",
                                  .term_ = term,
                                  .previous_index_ = previous,
                                  .previous_term_ = previous == 0 ? 0U : 1U,
                                  .entries_ = entries}});
  };
  append(1, 0, 3);
  handle(RaftPersisted{.sequence_ = append(2, 0, 0)});
  const uint64_t replacement = append(2, 1, 3);
  CHECK(acknowledged <= 1);
  handle(RaftPersisted{.sequence_ = replacement});
  CHECK(acknowledged == 3);
}

// Guards against committing an entry of an earlier term because a majority
// stores it: a member without the entry may still be elected and replace it.
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
  const auto handle = [&](const RaftEvent& event) {
    const Raft::Step step = raft.Handle(event, now);
    if (step.batch_) {
      raft.Handle(RaftPersisted{.sequence_ = step.batch_->sequence_}, now);
    }
  };
  const auto receive = [&](const PeerMessage& message) {
    handle(RaftMessageReceived{.message_ = message});
  };
  now = state::Millis(1000);
  handle(RaftTick{});
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

// Guards against replies that pile up while the disk hangs and are all sent
// when it works again: each of them but the last is out of date.
TEST_CASE("a disk that hangs defers one reply of a kind to a connection",
          "[configuration]") {
  std::mt19937 random(1);
  const std::vector<state::ControlMember> members = {
      {.identity_ = "a"}, {.identity_ = "b"}, {.identity_ = "c"}};
  Raft raft({},
            {.identity_ = "a",
             .entries_ = {{.index_ = 1,
                           .term_ = 1,
                           .kind_ = state::LogEntryKind::kMembers,
                           .members_ = members}}},
            random, state::Millis(0));
  uint64_t last_batch = 0;
  size_t sent = 0;
  const auto handle = [&](const RaftEvent& event, state::Millis now) {
    Raft::Step step = raft.Handle(event, now);
    last_batch = step.batch_ ? step.batch_->sequence_ : last_batch;
    sent += step.commands_.size();
    return step;
  };
  const auto receive = [&](const std::string& from, PeerMessage message,
                           state::Millis now) {
    handle(RaftMessageReceived{.connection_ = from,
                               .message_ = std::move(message)},
           now);
  };
  // A minute of requests for votes, then one of heartbeats.
  constexpr uint64_t kRounds = 600;
  for (uint64_t round = 1; round <= kRounds; ++round) {
    for (const char* from : {"b", "c"}) {
      for (const bool pre_vote : {false, true}) {
        receive(from,
                VoteRequest{.from_ = from,
                            .to_ = "a",
                            .term_ = 5,
                            .pre_vote_ = pre_vote,
                            .last_index_ = 1,
                            .last_term_ = 1},
                state::Millis(1));
      }
    }
  }
  for (uint64_t round = 1; round <= kRounds; ++round) {
    receive("b",
            AppendRequest{.from_ = "b",
                          .to_ = "a",
                          .term_ = 5,
                          .previous_index_ = 1,
                          .previous_term_ = 1,
                          .round_ = round},
            state::Millis(100.0 * static_cast<double>(round)));
  }
  REQUIRE(sent == 0);
  const Raft::Step step =
      handle(RaftPersisted{.sequence_ = last_batch}, state::Millis(60000));
  // To b and to c one reply for each kind of vote, and to b one for heartbeats.
  CHECK(step.commands_.size() == 5);
  const auto* reply = std::get_if<ReplyToPeer>(&step.commands_.back());
  REQUIRE(reply != nullptr);
  const auto* appended = std::get_if<AppendReply>(&reply->message_);
  REQUIRE(appended != nullptr);
  CHECK(appended->round_ == kRounds);
}

// Guards against a list of batches that grows for as long as the disk hangs,
// and against a member that does not work when the disk does again.
TEST_CASE("entries count as durable after a disk that hung for long",
          "[configuration]") {
  std::mt19937 random(1);
  Raft raft({}, {.identity_ = "a"}, random, state::Millis(0));
  // More batches than a member keeps apart.
  constexpr uint64_t kEntries = 5000;
  std::vector<uint64_t> sequences = {0};
  uint64_t acknowledged = 0;
  const auto handle = [&](const RaftEvent& event) {
    const Raft::Step step = raft.Handle(event, state::Millis(0));
    if (step.batch_) {
      sequences.push_back(step.batch_->sequence_);
    }
    for (const Command& command : step.commands_) {
      const auto& reply = std::get<ReplyToPeer>(command);
      const auto& appended = std::get<AppendReply>(reply.message_);
      CHECK(appended.index_ >= acknowledged);
      acknowledged = appended.index_;
    }
  };
  for (uint64_t index = 1; index <= kEntries; ++index) {
    handle(
        RaftMessageReceived{.message_ = AppendRequest{
                                .from_ = "leader",
                                .to_ = "a",
                                .term_ = 1,
                                .previous_index_ = index - 1,
                                .previous_term_ = index == 1 ? 0U : 1U,
                                .entries_ = {{.index_ = index, .term_ = 1}}}});
  }
  REQUIRE(sequences.size() == kEntries + 1);
  for (uint64_t written = 1; written <= kEntries; written += 7) {
    handle(RaftPersisted{.sequence_ = sequences[written]});
    CHECK(acknowledged <= written);
  }
  handle(RaftPersisted{.sequence_ = sequences.back()});
  CHECK(acknowledged == kEntries);
}

}  // namespace
}  // namespace gooseberrygap::coordination
