#ifndef COORDINATION_INTERNAL_RAFT_READS_H_
#define COORDINATION_INTERNAL_RAFT_READS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/raft.h"

namespace gooseberrygap::coordination {

// A read that the leader has to confirm.
struct LeaderRead {
  const uint64_t read_id_ = 0;
  const std::string from_ = {};  // Identity; empty for an own read.
  const std::string connection_ = {};
  const uint64_t index_ = 0;  // Commit index when its round began.
  const uint64_t round_ = 0;
  const state::Millis expires_ = {};

  friend bool operator==(const LeaderRead&, const LeaderRead&) = default;
};

// Read indexes on their way: those that this member confirms as the leader,
// and its own that wait for the leader's answer or for entries. Not
// thread-safe.
class RaftReads {
 public:
  // `first_wire_id` must differ after a restart, so that an answer to an
  // earlier run is not taken for one to this run.
  explicit RaftReads(uint64_t first_wire_id) : next_wire_id_(first_wire_id) {}

  // Leader.

  // Adds a read that the next round will confirm.
  void Add(LeaderRead read) { waiting_.push_back(std::move(read)); }
  bool NeedsRound() const { return !waiting_.empty() && confirming_.empty(); }
  // All reads that wait are confirmed once a quorum has answered `round`.
  void OnRoundStarted(uint64_t round, uint64_t commit_index);
  // Returns the reads whose round a quorum has answered.
  std::vector<LeaderRead> TakeConfirmed(uint64_t quorum_round);
  // Returns all reads that have no answer; for use when leadership ends.
  std::vector<LeaderRead> TakeAll();
  std::vector<LeaderRead> TakeExpired(state::Millis now);

  // Follower.

  // Returns the id for the message to the leader.
  uint64_t Forward(uint64_t read_id, state::Millis expires);
  void OnLeaderAnswer(uint64_t wire_id, bool confirmed, uint64_t index);
  // Ends own reads that wait for a leader as not confirmed.
  void FailForwarded();

  // Ends an own read. A confirmed one is answered when the entries up to
  // `index` have been handed out.
  void End(uint64_t read_id, bool confirmed, uint64_t index);
  // Returns the own reads that can be answered.
  std::vector<ReadIndexResult> TakeAnswers(uint64_t handed_out,
                                           state::Millis now);

 private:
  struct Forwarded {
    const uint64_t read_id_ = 0;
    const state::Millis expires_ = {};
  };

  std::vector<LeaderRead> waiting_;
  std::vector<LeaderRead> confirming_;
  uint64_t next_wire_id_;
  std::map<uint64_t, Forwarded> forwarded_;
  std::vector<ReadIndexResult> finished_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_READS_H_
