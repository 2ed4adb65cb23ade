#ifndef COORDINATION_INTERNAL_RAFT_DURABILITY_H_
#define COORDINATION_INTERNAL_RAFT_DURABILITY_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/api/raft.h"
#include "coordination/internal/raft_log.h"

namespace gooseberrygap::coordination {

// Collects what must become durable into batches, and knows what is. Commands
// that promise the term or the vote wait here until these are durable. Not
// thread-safe.
class RaftDurability {
 public:
  explicit RaftDurability(uint64_t last_index)
      : handed_out_(last_index), durable_index_(last_index) {}

  // Notes a change, for the next batch.
  void VoteChanged() { vote_changed_ = true; }
  void Truncated(uint64_t index);
  // The log was replaced by `snapshot`; entries up to `agreed` were the same.
  void Restored(std::shared_ptr<const state::LogSnapshot> snapshot,
                uint64_t agreed);
  void SnapshotMade(std::shared_ptr<const state::LogSnapshot> snapshot);

  // Returns what has changed since the last batch, if anything.
  std::optional<RaftBatch> TakeBatch(const RaftLog& log,
                                     const state::VoteRecord& vote);
  void OnPersisted(uint64_t sequence);

  // Entries of the log up to this index are durable.
  uint64_t durable_index() const { return durable_index_; }
  // Returns whether the current term and vote are durable.
  bool IsVoteDurable() const {
    return !vote_changed_ && vote_sequence_ <= persisted_;
  }

  // Hands the command out once the current term and vote are durable.
  void Hold(Command command);
  // Drops what waits; for use when the term has changed.
  void DropHeld() { held_.clear(); }
  Commands TakeReleased();

 private:
  struct Written {
    uint64_t sequence_ = 0;
    uint64_t last_index_ = 0;  // Of the log after the batch.
  };

  // Entries behind `index` that were written are no longer those of the log.
  void ForgetBehind(uint64_t index);

  uint64_t next_sequence_ = 1;
  uint64_t persisted_ = 0;
  uint64_t vote_sequence_ = 0;  // Of the batch with the last vote.
  bool vote_changed_ = false;
  uint64_t handed_out_ = 0;  // Last index given to the disk.
  uint64_t truncate_from_ = 0;
  std::shared_ptr<const state::LogSnapshot> snapshot_;
  uint64_t durable_index_ = 0;
  std::deque<Written> written_;
  std::vector<std::pair<uint64_t, Command>> held_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_DURABILITY_H_
