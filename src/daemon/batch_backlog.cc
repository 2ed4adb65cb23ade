#include "daemon/batch_backlog.h"

#include <vector>

namespace gooseberrygap::daemon {

namespace {

// Merging copies the list of all entries that wait, so it is not done for each
// batch.
constexpr size_t kMaxBatches = 64;

}  // namespace

void BatchBacklog::Add(const coordination::RaftBatch& batch) {
  batches_.push_back(batch);
  if (batches_.size() <= kMaxBatches) {
    return;
  }
  const std::vector<coordination::RaftBatch> waiting(batches_.begin(),
                                                     batches_.end());
  batches_.clear();
  batches_.push_back(coordination::MergeBatches(waiting));
}

void BatchBacklog::Drain(
    absl::FunctionRef<bool(const coordination::RaftBatch& batch)> take) {
  while (!batches_.empty() && take(batches_.front())) {
    batches_.pop_front();
  }
}

}  // namespace gooseberrygap::daemon
