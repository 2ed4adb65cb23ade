#ifndef DAEMON_BATCH_BACKLOG_H_
#define DAEMON_BATCH_BACKLOG_H_

#include <cstddef>
#include <deque>

#include "absl/functional/function_ref.h"
#include "coordination/coordination.h"

namespace gooseberrygap::daemon {

// Batches of the replicated log that wait for room in the ring of the disk
// duty. They are merged from time to time, so that while the disk hangs the
// backlog holds at most what the log itself holds. Not thread-safe.
class BatchBacklog {
 public:
  // Precondition: the batch follows the one that was added last.
  void Add(const coordination::RaftBatch& batch);

  // Passes the batches in order to `take`, and removes them, until it refuses
  // one.
  void Drain(
      absl::FunctionRef<bool(const coordination::RaftBatch& batch)> take);

  size_t size() const { return batches_.size(); }

 private:
  // A deque, since batches cannot be assigned.
  std::deque<coordination::RaftBatch> batches_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_BATCH_BACKLOG_H_
