#ifndef COORDINATION_INTERNAL_RAFT_READS_H_
#define COORDINATION_INTERNAL_RAFT_READS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/raft.h"

namespace gooseberrygap::coordination {

// A read index request that the leader has to confirm.
struct LeaderRead {
  const uint64_t read_id_ = 0;
  const std::string from_ = {};  // Identity; empty for a local read.
  const std::string connection_ = {};
  const uint64_t index_ = 0;  // Commit index when its round started.
  const uint64_t round_ = 0;  // The round that confirms it.
  const state::Millis expires_ = {};

  friend bool operator==(const LeaderRead&, const LeaderRead&) = default;
};

// Pending read index requests: those that this member confirms as the leader,
// and local ones that wait for the leader's reply or for entries. Not
// thread-safe.
class RaftReads {
 public:
  // `first_wire_id` must differ after a restart, so that a reply to a request
  // from before the restart is not matched with a new request.
  explicit RaftReads(uint64_t first_wire_id) : next_wire_id_(first_wire_id) {}

  // Leader.

  // Adds a read, to be confirmed by the next round.
  void Add(LeaderRead read) { awaiting_round_.push_back(std::move(read)); }
  // Returns whether reads wait for a round while none is being confirmed.
  bool NeedsRound() const {
    return !awaiting_round_.empty() && awaiting_quorum_.empty();
  }
  // Assigns `round` to the reads that wait for one: they are confirmed once a
  // quorum has replied to it.
  void OnRoundStarted(uint64_t round, uint64_t commit_index);
  // Removes and returns the reads whose round a quorum has replied to.
  std::vector<LeaderRead> TakeConfirmed(uint64_t quorum_round);
  // Removes and returns all unconfirmed reads; for use when leadership ends.
  std::vector<LeaderRead> TakeAll();
  // Removes and returns the unconfirmed reads that have expired.
  std::vector<LeaderRead> TakeExpired(state::Millis now);

  // Follower.

  // Registers a local read; returns the id for the request to the leader.
  uint64_t Forward(uint64_t read_id, state::Millis expires);
  // Finishes the read with that id; a reply with an unknown id is ignored.
  void OnLeaderReply(uint64_t wire_id, bool confirmed, uint64_t index);
  // Finishes the reads that wait for the leader's reply as not confirmed.
  void FailForwarded();

  // Finishes a local read. The result of a confirmed one becomes available when
  // the entries up to `index` have been passed to the owner.
  void Finish(uint64_t read_id, bool confirmed, uint64_t index);
  // Removes and returns the available results of local reads, expired ones
  // included. `delivered_index` is the last index passed to the owner.
  std::vector<ReadIndexResult> TakeResults(uint64_t delivered_index,
                                           state::Millis now);

 private:
  struct ForwardedRead {
    const uint64_t read_id_ = 0;
    const state::Millis expires_ = {};
  };

  std::vector<LeaderRead> awaiting_round_;
  std::vector<LeaderRead> awaiting_quorum_;
  uint64_t next_wire_id_;
  std::map<uint64_t, ForwardedRead> forwarded_;
  std::vector<ReadIndexResult> finished_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_READS_H_
