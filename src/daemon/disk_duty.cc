#include "daemon/disk_duty.h"

namespace gooseberrygap::daemon {

namespace {

// Batches. Far more than the control duty has outstanding, since it
// acknowledges nothing before it is durable.
constexpr size_t kRingCapacity = 16384;
constexpr state::Millis kPopTimeout(1000);

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

bool DiskDuty::Write(coordination::RaftBatch batch) {
  return ring_.TryPush(std::move(batch));
}

void DiskDuty::Run() {
  while (true) {
    std::optional<coordination::RaftBatch> batch = ring_.Pop(kPopTimeout);
    if (!batch.has_value()) {
      if (ring_.closed()) {
        return;
      }
      continue;
    }
    uint64_t sequence = 0;
    state::Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
    while (batch.has_value() && result) {
      sequence = batch->sequence_;
      const auto applied = Apply(*batch);
      if (!applied) {
        handler_(applied.error());
        return;
      }
      const std::optional<coordination::RaftBatch> next = ring_.TryPop();
      batch.reset();
      if (next.has_value()) {
        batch.emplace(*next);
      }
    }
    const auto synced = store_->Sync();
    if (!synced) {
      handler_(synced.error());
      return;
    }
    counters_->Add(state::Counter::kLogSyncs);
    handler_(sequence);
  }
}

state::Result<void> DiskDuty::Apply(const coordination::RaftBatch& batch) {
  if (batch.truncate_from_ > 0) {
    BOOST_OUTCOME_TRYV(store_->TruncateFrom(batch.truncate_from_));
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
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace gooseberrygap::daemon
