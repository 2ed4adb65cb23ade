#ifndef TRANSPORT_INTERNAL_DELIVERIES_IN_PROGRESS_H_
#define TRANSPORT_INTERNAL_DELIVERIES_IN_PROGRESS_H_

#include <cstdint>
#include <map>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace gooseberrygap::transport {

// The deliveries that were accepted and have not ended, with the descriptor of
// the connection that carries each. All methods are thread-safe.
class DeliveriesInProgress {
 public:
  // Adds a queued delivery.
  void Add(uint64_t id);
  // Returns whether the delivery was cancelled before its end.
  bool IsCancelled(uint64_t id);
  // Names the descriptor that now carries the delivery. Returns false when it
  // was cancelled. Precondition: the caller keeps the descriptor open until
  // Detach or Remove.
  bool Attach(uint64_t id, int fd);
  // The descriptor no longer carries the delivery and may be closed.
  void Detach(uint64_t id);
  // Ends the delivery. Returns whether it had been cancelled.
  bool Remove(uint64_t id);
  // Shuts its connection down, or marks it when it has none yet. Returns false
  // when it has ended or was cancelled before.
  bool Cancel(uint64_t id);

 private:
  struct Progress {
    int fd_ = -1;
    bool cancelled_ = false;
  };

  absl::Mutex mutex_;
  std::map<uint64_t, Progress> progress_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_DELIVERIES_IN_PROGRESS_H_
