#include "daemon/batch_backlog.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gooseberrygap::daemon {
namespace {

using coordination::RaftBatch;

// About ten minutes of a control instance with a batch every 10 ms.
constexpr uint64_t kBatches = 60000;
// Entries after which the log takes a snapshot.
constexpr uint64_t kSnapshotEvery = 50;
// Of all batches that wait, and of their entries.
constexpr size_t kMaxWaiting = 256;

// Adds batches with one entry each, and a snapshot of all earlier entries now
// and then.
void AddBatches(BatchBacklog* backlog) {
  for (uint64_t sequence = 1; sequence <= kBatches; ++sequence) {
    const uint64_t snapshot_index = sequence - 1;
    const bool has_snapshot =
        snapshot_index > 0 && snapshot_index % kSnapshotEvery == 0;
    backlog->Add(RaftBatch{
        .sequence_ = sequence,
        .snapshot_ = has_snapshot ? std::optional(state::LogSnapshot{
                                        .index_ = snapshot_index, .term_ = 1})
                                  : std::nullopt,
        .entries_ = {state::LogEntry{.index_ = sequence, .term_ = 1}}});
  }
}

// Guards against memory that grows for as long as a disk hangs.
TEST_CASE("what waits for a disk that hangs is bounded by the log", "[disk]") {
  BatchBacklog backlog;
  AddBatches(&backlog);
  CHECK(backlog.size() <= kMaxWaiting);
  size_t entries = 0;
  uint64_t last_sequence = 0;
  backlog.Drain([&](const RaftBatch& batch) {
    entries += batch.entries_.size();
    CHECK(batch.sequence_ > last_sequence);
    last_sequence = batch.sequence_;
    return true;
  });
  CHECK(entries <= kMaxWaiting);
  CHECK(last_sequence == kBatches);
  CHECK(backlog.size() == 0);
}

// Guards against a batch that is lost because the ring was full.
TEST_CASE("a batch that is not taken is offered again", "[disk]") {
  BatchBacklog backlog;
  backlog.Add(RaftBatch{.sequence_ = 1});
  backlog.Add(RaftBatch{.sequence_ = 2});
  std::vector<uint64_t> offered;
  backlog.Drain([&offered](const RaftBatch& batch) {
    offered.push_back(batch.sequence_);
    return batch.sequence_ == 1;
  });
  backlog.Drain([&offered](const RaftBatch& batch) {
    offered.push_back(batch.sequence_);
    return true;
  });
  CHECK(offered == std::vector<uint64_t>{1, 2, 2});
}

}  // namespace
}  // namespace gooseberrygap::daemon
