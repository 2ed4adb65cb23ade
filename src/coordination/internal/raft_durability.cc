#include "coordination/internal/raft_durability.h"

#include <algorithm>
#include <limits>

namespace gooseberrygap::coordination {

namespace {

constexpr uint64_t kNoLimit = std::numeric_limits<uint64_t>::max();

}  // namespace

void RaftDurability::ForgetBehind(uint64_t index) {
  durable_index_ = std::min(durable_index_, index);
  for (Written& written : written_) {
    written.last_index_ = std::min(written.last_index_, index);
  }
}

void RaftDurability::Truncated(uint64_t index) {
  if (index > handed_out_) {
    return;
  }
  truncate_from_ =
      truncate_from_ == 0 ? index : std::min(truncate_from_, index);
  handed_out_ = index - 1;
  ForgetBehind(index - 1);
}

void RaftDurability::Restored(
    std::shared_ptr<const state::LogSnapshot> snapshot,
    uint64_t agreed) {
  if (handed_out_ > snapshot->index_) {
    Truncated(snapshot->index_ + 1);
  }
  ForgetBehind(agreed);
  handed_out_ = snapshot->index_;
  snapshot_ = std::move(snapshot);
}

void RaftDurability::SnapshotMade(
    std::shared_ptr<const state::LogSnapshot> snapshot) {
  // The snapshot stands for entries that were not yet written.
  handed_out_ = std::max(handed_out_, snapshot->index_);
  snapshot_ = std::move(snapshot);
}

std::optional<RaftBatch> RaftDurability::TakeBatch(
    const RaftLog& log,
    const state::VoteRecord& vote) {
  const bool has_entries = log.last_index() > handed_out_;
  if (!vote_changed_ && truncate_from_ == 0 && snapshot_ == nullptr &&
      !has_entries) {
    return std::nullopt;
  }
  RaftBatch batch{
      .sequence_ = next_sequence_,
      .truncate_from_ = truncate_from_,
      .snapshot_ = snapshot_ == nullptr
                       ? std::optional<state::LogSnapshot>()
                       : std::optional<state::LogSnapshot>(*snapshot_),
      .vote_ = vote_changed_ ? std::optional<state::VoteRecord>(vote)
                             : std::optional<state::VoteRecord>(),
      .entries_ = has_entries ? log.Slice(handed_out_ + 1, log.last_index(),
                                          kNoLimit, kNoLimit)
                              : std::vector<state::LogEntry>()};
  if (vote_changed_) {
    vote_sequence_ = next_sequence_;
  }
  vote_changed_ = false;
  truncate_from_ = 0;
  snapshot_.reset();
  handed_out_ = log.last_index();
  written_.push_back(
      Written{.sequence_ = next_sequence_, .last_index_ = handed_out_});
  ++next_sequence_;
  return batch;
}

void RaftDurability::OnPersisted(uint64_t sequence) {
  persisted_ = std::max(persisted_, sequence);
  while (!written_.empty() && written_.front().sequence_ <= persisted_) {
    durable_index_ = written_.front().last_index_;
    written_.pop_front();
  }
}

void RaftDurability::Hold(Command command) {
  const uint64_t sequence = vote_changed_ ? next_sequence_ : vote_sequence_;
  held_.emplace_back(sequence, std::move(command));
}

Commands RaftDurability::TakeReleased() {
  Commands released;
  std::vector<std::pair<uint64_t, Command>> waiting;
  for (auto& [sequence, command] : held_) {
    if (sequence <= persisted_) {
      released.push_back(std::move(command));
    } else {
      waiting.emplace_back(sequence, std::move(command));
    }
  }
  held_.swap(waiting);
  return released;
}

}  // namespace gooseberrygap::coordination
