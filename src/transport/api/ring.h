#ifndef TRANSPORT_API_RING_H_
#define TRANSPORT_API_RING_H_

#include <deque>
#include <optional>
#include <utility>

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
  explicit Ring(size_t capacity) : capacity_(capacity) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  // Appends the item. Returns false, and leaves it out, when the ring is full
  // or closed; the producer counts the refusal.
  bool TryPush(T item) {
    absl::MutexLock lock(&mutex_);
    if (closed_ || items_.size() == capacity_) {
      return false;
    }
    items_.push_back(std::move(item));
    not_empty_.Signal();
    return true;
  }

  // Takes the oldest item, or nothing when none came within `timeout` or the
  // ring is closed and empty.
  std::optional<T> Pop(state::Millis timeout) {
    const absl::Time until = absl::Now() + absl::Milliseconds(timeout.value());
    absl::MutexLock lock(&mutex_);
    while (items_.empty()) {
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
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  mutable absl::Mutex mutex_;
  absl::CondVar not_empty_;
  const size_t capacity_;
  // Grows with what waits, so that a large bound costs no memory when idle.
  std::deque<T> items_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_RING_H_
