#include "coordination/internal/raft_durability.h"

#include <algorithm>
#include <limits>
#include <variant>

namespace gooseberrygap::coordination {

namespace {

constexpr uint64_t kNoLimit = std::numeric_limits<uint64_t>::max();
// Far more than a disk that works has outstanding.
constexpr size_t kMaxPendingBatches = 1024;

// Returns whether a later reply makes an earlier one out of date: both are of
// the same kind and go to the same connection.
bool Supersedes(const ReplyToPeer& later, const Command& earlier) {
  const auto* reply = std::get_if<ReplyToPeer>(&earlier);
  if (reply == nullptr || reply->connection_ != later.connection_ ||
      reply->message_.index() != later.message_.index()) {
    return false;
  }
  const auto* vote = std::get_if<VoteReply>(&later.message_);
  return vote == nullptr ||
         vote->pre_vote_ == std::get<VoteReply>(reply->message_).pre_vote_;
}

}  // namespace

void RaftDurability::InvalidateAfter(uint64_t index) {
  durable_index_ = std::min(durable_index_, index);
  for (PendingBatch& pending : pending_batches_) {
    pending.last_index_ = std::min(pending.last_index_, index);
  }
}

void RaftDurability::OnTruncated(uint64_t index) {
  if (index > last_batched_index_) {
    return;
  }
  truncate_from_ =
      truncate_from_ == 0 ? index : std::min(truncate_from_, index);
  last_batched_index_ = index - 1;
  InvalidateAfter(index - 1);
}

void RaftDurability::OnRestored(
    std::shared_ptr<const state::LogSnapshot> snapshot,
    uint64_t agreed) {
  if (last_batched_index_ > snapshot->index_) {
    OnTruncated(snapshot->index_ + 1);
  }
  InvalidateAfter(agreed);
  last_batched_index_ = snapshot->index_;
  snapshot_ = std::move(snapshot);
}

void RaftDurability::OnSnapshotMade(
    std::shared_ptr<const state::LogSnapshot> snapshot) {
  // The snapshot covers entries that no batch has included yet.
  last_batched_index_ = std::max(last_batched_index_, snapshot->index_);
  snapshot_ = std::move(snapshot);
}

std::optional<RaftBatch> RaftDurability::TakeBatch(
    const RaftLog& log,
    const state::VoteRecord& vote) {
  const bool has_entries = log.last_index() > last_batched_index_;
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
      .entries_ = has_entries ? log.Slice(last_batched_index_ + 1,
                                          log.last_index(), kNoLimit, kNoLimit)
                              : std::vector<state::LogEntry>()};
  if (vote_changed_) {
    vote_sequence_ = next_sequence_;
  }
  vote_changed_ = false;
  truncate_from_ = 0;
  snapshot_.reset();
  last_batched_index_ = log.last_index();
  if (pending_batches_.size() == kMaxPendingBatches) {
    // A batch is durable only after those before it, so the new one can stand
    // for the last one as well.
    pending_batches_.pop_back();
  }
  pending_batches_.push_back(PendingBatch{.sequence_ = next_sequence_,
                                          .last_index_ = last_batched_index_});
  ++next_sequence_;
  return batch;
}

void RaftDurability::OnPersisted(uint64_t sequence) {
  persisted_sequence_ = std::max(persisted_sequence_, sequence);
  while (!pending_batches_.empty() &&
         pending_batches_.front().sequence_ <= persisted_sequence_) {
    durable_index_ = pending_batches_.front().last_index_;
    pending_batches_.pop_front();
  }
}

void RaftDurability::DeferUntilVoteDurable(Command command) {
  if (const auto* reply = std::get_if<ReplyToPeer>(&command)) {
    std::erase_if(deferred_, [reply](const auto& deferred) {
      return Supersedes(*reply, deferred.second);
    });
  }
  const uint64_t sequence = vote_changed_ ? next_sequence_ : vote_sequence_;
  deferred_.emplace_back(sequence, std::move(command));
}

Commands RaftDurability::TakeSendable() {
  Commands sendable;
  std::list<std::pair<uint64_t, Command>> waiting;
  for (auto& [sequence, command] : deferred_) {
    if (sequence <= persisted_sequence_) {
      sendable.push_back(std::move(command));
    } else {
      waiting.emplace_back(sequence, std::move(command));
    }
  }
  deferred_.swap(waiting);
  return sendable;
}

}  // namespace gooseberrygap::coordination
