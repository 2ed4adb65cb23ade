#ifndef TRANSPORT_API_RING_H_
#define TRANSPORT_API_RING_H_

#include <deque>
#include <optional>
#include <utility>

#include "state/state.h"
#include "transport/api/steady_wait.h"

namespace gooseberrygap::transport {

// A bounded queue that joins duty threads: any number of producers, one or more
// consumers that sleep while it is empty. All methods are thread-safe.
template <class T>
class Ring {
 public:
  // `reserve` is the room for items beyond the capacity that must not be lost,
  // and whose number something else bounds. Precondition: `capacity` is
  // positive.
  explicit Ring(size_t capacity, size_t reserve = 0)
      : capacity_(capacity), reserve_(reserve) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  // Appends the item. Returns false, and leaves it out, when the ring is full
  // or closed; the producer counts the refusal.
  bool TryPush(T item) { return PushBelow(capacity_, std::move(item)); }

  // Like TryPush, but the item may also take room of the reserve.
  bool TryPushReserved(T item) {
    return PushBelow(capacity_ + reserve_, std::move(item));
  }

  // Takes the oldest item, or nothing when none came within `timeout` or the
  // ring is closed and empty.
  std::optional<T> Pop(state::Millis timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.Wait(&lock, timeout,
                    [this] { return closed_ || !items_.empty(); });
    return TakeFront();
  }

  // Takes the oldest item if there is one.
  std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return TakeFront();
  }

  // Refuses further items and wakes all consumers.
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    not_empty_.SignalAll();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  bool PushBelow(size_t limit, T item) {
    const std::lock_guard lock(mutex_);
    if (closed_ || items_.size() >= limit) {
      return false;
    }
    items_.push_back(std::move(item));
    not_empty_.SignalOne();
    return true;
  }

  // Precondition: `mutex_` is held.
  std::optional<T> TakeFront() {
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  mutable std::mutex mutex_;  // Guards `items_` and `closed_`.
  SteadyCondition not_empty_;
  const size_t capacity_;
  const size_t reserve_;
  // Grows with what waits, so that a large bound costs no memory when idle.
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_RING_H_
