#include <algorithm>
#include <optional>
#include <vector>

#include "coordination/api/raft.h"

namespace gooseberrygap::coordination {

namespace {

// Returns the lower one of two indexes from which entries are truncated; 0
// means that none are.
uint64_t LowerTruncation(uint64_t left, uint64_t right) {
  if (left == 0 || right == 0) {
    return std::max(left, right);
  }
  return std::min(left, right);
}

}  // namespace

RaftBatch MergeBatches(absl::Span<const RaftBatch> batches) {
  uint64_t truncate_from = 0;
  std::optional<state::LogSnapshot> snapshot;
  std::optional<state::VoteRecord> vote;
  std::vector<state::LogEntry> entries;
  for (const RaftBatch& batch : batches) {
    truncate_from = LowerTruncation(truncate_from, batch.truncate_from_);
    while (batch.truncate_from_ > 0 && !entries.empty() &&
           entries.back().index_ >= batch.truncate_from_) {
      entries.pop_back();
    }
    if (batch.snapshot_.has_value()) {
      snapshot.emplace(*batch.snapshot_);
    }
    if (batch.vote_.has_value()) {
      vote.emplace(*batch.vote_);
    }
    for (const state::LogEntry& entry : batch.entries_) {
      entries.push_back(entry);
    }
  }
  // Entries that the snapshot covers would leave a gap before those that follow
  // it.
  std::vector<state::LogEntry> kept;
  for (const state::LogEntry& entry : entries) {
    if (!snapshot.has_value() || entry.index_ > snapshot->index_) {
      kept.push_back(entry);
    }
  }
  return RaftBatch{.sequence_ = batches.back().sequence_,
                   .truncate_from_ = truncate_from,
                   .snapshot_ = std::move(snapshot),
                   .vote_ = std::move(vote),
                   .entries_ = std::move(kept)};
}

}  // namespace gooseberrygap::coordination
