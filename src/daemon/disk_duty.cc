#include "daemon/disk_duty.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"

namespace gooseberrygap::daemon {

namespace {

// Batches. Those that come while the disk is slower are merged by the backlog.
constexpr size_t kRingCapacity = 256;
constexpr state::Millis kPopTimeout(1000);
// Time between a failed write and the next one. The log waits for the disk no
// longer than a few of its heartbeats after the disk takes bytes again.
constexpr state::Millis kRetryInterval(100);

}  // namespace

DiskDuty::DiskDuty(std::unique_ptr<state::LogStore> store,
                   Handler handler,
                   state::Counters* counters)
    : store_(std::move(store)),
      handler_(std::move(handler)),
      counters_(counters),
      ring_(kRingCapacity),
      thread_("disk", [this] { Run(); }) {}

DiskDuty::~DiskDuty() {
  ring_.Close();
  thread_.Join();
}

void DiskDuty::Write(const coordination::RaftBatch& batch) {
  backlog_.Add(batch);
  Flush();
}

void DiskDuty::Flush() {
  backlog_.Drain([this](const coordination::RaftBatch& batch) {
    return ring_.TryPush(batch);
  });
}

state::Millis DiskDuty::WriteTime() const {
  const double began_ms = write_began_ms_.load();
  return began_ms > 0 ? clock_.Now() - state::Millis(began_ms)
                      : state::Millis(0);
}

void DiskDuty::Run() {
  while (!ring_.closed()) {
    TakeQueued();
    if (!unsynced_.empty() && (!failed_ || clock_.Now() >= retry_at_)) {
      WriteUnsynced();
    }
  }
  TakeQueued();
  if (!unsynced_.empty()) {
    WriteUnsynced();
  }
}

void DiskDuty::TakeQueued() {
  const state::Millis wait =
      failed_ ? std::max(state::Millis(0), retry_at_ - clock_.Now())
              : kPopTimeout;
  std::optional<coordination::RaftBatch> batch = ring_.Pop(wait);
  while (batch.has_value()) {
    unsynced_.push_back(*batch);
    const std::optional<coordination::RaftBatch> next = ring_.TryPop();
    batch.reset();
    if (next.has_value()) {
      batch.emplace(*next);
    }
  }
}

void DiskDuty::WriteUnsynced() {
  write_began_ms_.store(clock_.Now().value());
  const absl::Cleanup end = [this] { write_began_ms_.store(0); };
  const std::vector<coordination::RaftBatch> batches(unsynced_.begin(),
                                                     unsynced_.end());
  const coordination::RaftBatch batch = coordination::MergeBatches(batches);
  unsynced_.clear();
  const state::Result<void> result = Apply(batch);
  if (result) {
    failed_ = false;
    handler_(batch.sequence_);
    return;
  }
  unsynced_.push_back(batch);
  counters_->Add(state::Counter::kLogWritesFailed);
  retry_at_ = clock_.Now() + kRetryInterval;
  if (!std::exchange(failed_, true)) {
    handler_(result.error());
  }
}

state::Result<void> DiskDuty::Recover(const coordination::RaftBatch& batch) {
  BOOST_OUTCOME_TRYV(store_->Recover());
  // The entries of the batch may be there already, from a write that failed
  // later.
  return batch.entries_.empty()
             ? state::Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success())
             : store_->TruncateFrom(batch.entries_.front().index_);
}

state::Result<void> DiskDuty::Apply(const coordination::RaftBatch& batch) {
  if (failed_) {
    BOOST_OUTCOME_TRYV(Recover(batch));
  }
  if (batch.truncate_from_ > 0) {
    // A snapshot of the batch may be there already, without the entries that it
    // covers.
    const uint64_t lowest = failed_ ? store_->first_index() : 0;
    BOOST_OUTCOME_TRYV(
        store_->TruncateFrom(std::max(batch.truncate_from_, lowest)));
  }
  if (batch.snapshot_.has_value()) {
    BOOST_OUTCOME_TRYV(store_->SaveSnapshot(*batch.snapshot_));
    counters_->Add(state::Counter::kSnapshotsSaved);
  }
  if (batch.vote_.has_value()) {
    BOOST_OUTCOME_TRYV(store_->SaveVote(*batch.vote_));
  }
  if (!batch.entries_.empty()) {
    counters_->Add(state::Counter::kLogAppends, batch.entries_.size());
    BOOST_OUTCOME_TRYV(store_->Append(batch.entries_));
  }
  BOOST_OUTCOME_TRYV(store_->Sync());
  counters_->Add(state::Counter::kLogSyncs);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace gooseberrygap::daemon
