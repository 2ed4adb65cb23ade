#ifndef COORDINATION_INTERNAL_RAFT_DURABILITY_H_
#define COORDINATION_INTERNAL_RAFT_DURABILITY_H_

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "coordination/api/raft.h"
#include "coordination/internal/raft_log.h"

namespace gooseberrygap::coordination {

// Collects changes to the stored state into batches and tracks which of them
// are durable. Commands that depend on the term or the vote are deferred until
// both are durable. Not thread-safe.
class RaftDurability {
 public:
  explicit RaftDurability(uint64_t last_index)
      : last_batched_index_(last_index), durable_index_(last_index) {}

  // These record a change for the next batch.

  void OnVoteChanged() { vote_changed_ = true; }
  void OnTruncated(uint64_t index);
  // The log was replaced by `snapshot`. Stored entries up to `agreed` agree
  // with the snapshot's log; later ones may not.
  void OnRestored(std::shared_ptr<const state::LogSnapshot> snapshot,
                  uint64_t agreed);
  void OnSnapshotMade(std::shared_ptr<const state::LogSnapshot> snapshot);

  // Returns the changes since the last batch, if any.
  std::optional<RaftBatch> TakeBatch(const RaftLog& log,
                                     const state::VoteRecord& vote);
  // All batches up to and including `sequence` are durable.
  void OnPersisted(uint64_t sequence);

  // The entries of the log up to this index are durable.
  uint64_t durable_index() const { return durable_index_; }
  // Returns whether the current term and vote are durable.
  bool IsVoteDurable() const {
    return !vote_changed_ && vote_sequence_ <= persisted_sequence_;
  }

  // Defers the command until the current term and vote are durable. A reply
  // replaces a deferred one of the same kind to the same connection.
  void DeferUntilVoteDurable(Command command);
  // Drops all deferred commands; for use when the term has changed.
  void DropDeferred() { deferred_.clear(); }
  // Number of batches that are tracked one by one.
  size_t pending_batches() const { return pending_batches_.size(); }
  // Returns the deferred commands whose term and vote are durable.
  Commands TakeSendable();

 private:
  // A batch that is not yet durable. The last one can stand for several.
  struct PendingBatch {
    uint64_t sequence_ = 0;
    uint64_t last_index_ = 0;  // Last index of the log once it is written.
  };

  // Excludes the stored entries after `index`, which the log no longer
  // contains, from the durable ones.
  void InvalidateAfter(uint64_t index);

  uint64_t next_sequence_ = 1;
  uint64_t persisted_sequence_ = 0;
  uint64_t vote_sequence_ = 0;  // Sequence of the batch with the last vote.
  bool vote_changed_ = false;
  uint64_t last_batched_index_ = 0;  // Last index included in a batch.
  uint64_t truncate_from_ = 0;
  std::shared_ptr<const state::LogSnapshot> snapshot_;
  uint64_t durable_index_ = 0;
  std::deque<PendingBatch> pending_batches_;
  // Deferred commands with the sequence of the batch that they wait for. A
  // list, since commands cannot be assigned.
  std::list<std::pair<uint64_t, Command>> deferred_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_DURABILITY_H_
