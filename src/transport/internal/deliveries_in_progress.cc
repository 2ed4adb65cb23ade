#include "transport/internal/deliveries_in_progress.h"

#include <sys/socket.h>

namespace gooseberrygap::transport {

void DeliveriesInProgress::Add(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  progress_[id] = {};
}

bool DeliveriesInProgress::Attach(uint64_t id, int fd) {
  absl::MutexLock lock(&mutex_);
  Progress& progress = progress_[id];
  progress.fd_ = fd;
  return !progress.cancelled_;
}

void DeliveriesInProgress::Detach(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  progress_[id].fd_ = -1;
}

bool DeliveriesInProgress::Remove(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  const auto found = progress_.find(id);
  const bool cancelled = found != progress_.end() && found->second.cancelled_;
  if (found != progress_.end()) {
    progress_.erase(found);
  }
  return cancelled;
}

bool DeliveriesInProgress::IsCancelled(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  const auto found = progress_.find(id);
  return found != progress_.end() && found->second.cancelled_;
}

bool DeliveriesInProgress::Cancel(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  const auto found = progress_.find(id);
  if (found == progress_.end() || found->second.cancelled_) {
    return false;
  }
  found->second.cancelled_ = true;
  if (found->second.fd_ >= 0) {
    // Under the lock: afterwards the descriptor may belong to another socket.
    shutdown(found->second.fd_, SHUT_RDWR);
  }
  return true;
}

}  // namespace gooseberrygap::transport
