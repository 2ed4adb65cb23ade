#ifndef TRANSPORT_API_RING_H_
#define TRANSPORT_API_RING_H_

#include <optional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "state/state.h"

namespace gooseberrygap::transport {

// A bounded queue that joins duty threads: any number of producers, one or more
// consumers that sleep while it is empty. All methods are thread-safe.
template <class T>
class Ring {
 public:
  // Precondition: `capacity` is positive.
  explicit Ring(size_t capacity) : slots_(capacity) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  // Appends the item. Returns false, and leaves it out, when the ring is full
  // or closed; the producer counts the refusal.
  bool TryPush(T item) {
    absl::MutexLock lock(&mutex_);
    if (closed_ || size_ == slots_.size()) {
      return false;
    }
    slots_[(head_ + size_) % slots_.size()].emplace(std::move(item));
    ++size_;
    not_empty_.Signal();
    return true;
  }

  // Takes the oldest item, or nothing when none came within `timeout` or the
  // ring is closed and empty.
  std::optional<T> Pop(state::Millis timeout) {
    const absl::Time until = absl::Now() + absl::Milliseconds(timeout.value());
    absl::MutexLock lock(&mutex_);
    while (size_ == 0) {
      if (closed_ || not_empty_.WaitWithDeadline(&mutex_, until)) {
        break;
      }
    }
    return TakeFront();
  }

  // Takes the oldest item if there is one.
  std::optional<T> TryPop() {
    absl::MutexLock lock(&mutex_);
    return TakeFront();
  }

  // Refuses further items and wakes all consumers.
  void Close() {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    not_empty_.SignalAll();
  }

  bool closed() const {
    absl::MutexLock lock(&mutex_);
    return closed_;
  }

 private:
  std::optional<T> TakeFront() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (size_ == 0) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(*slots_[head_]));
    slots_[head_].reset();
    head_ = (head_ + 1) % slots_.size();
    --size_;
    return item;
  }

  mutable absl::Mutex mutex_;
  absl::CondVar not_empty_;
  std::vector<std::optional<T>> slots_ ABSL_GUARDED_BY(mutex_);
  size_t head_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t size_ ABSL_GUARDED_BY(mutex_) = 0;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_RING_H_
