#ifndef TRANSPORT_API_ANSWER_SLOT_H_
#define TRANSPORT_API_ANSWER_SLOT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "state/state.h"
#include "transport/api/steady_wait.h"

namespace gooseberrygap::transport {

// Holds one answer that another thread gives. Thread-safe.
template <class T>
class AnswerSlot {
 public:
  // Gives the answer; later ones are ignored.
  void Put(T answer) {
    const std::lock_guard lock(mutex_);
    if (!answer_.has_value()) {
      answer_.emplace(std::move(answer));
      given_.SignalAll();
    }
  }

  // Waits for the answer; nothing when none came within `timeout`.
  std::optional<T> Wait(state::Millis timeout) {
    std::unique_lock lock(mutex_);
    given_.Wait(&lock, timeout, [this] { return answer_.has_value(); });
    return answer_;
  }

 private:
  std::mutex mutex_;  // Guards `answer_`.
  SteadyCondition given_;
  std::optional<T> answer_;
};

// The slots of the requests that wait for an answer, by number. Thread-safe.
template <class T>
class AnswerSlots {
 public:
  struct OpenSlot {
    const uint64_t id_ = 0;
    const std::shared_ptr<AnswerSlot<T>> slot_ = {};
  };

  // Opens a slot under a new number. Close it after waiting.
  OpenSlot Open() {
    auto slot = std::make_shared<AnswerSlot<T>>();
    absl::MutexLock lock(&mutex_);
    const uint64_t id = next_id_++;
    slots_.emplace(id, slot);
    return OpenSlot{.id_ = id, .slot_ = slot};
  }

  // Gives the answer to the slot. Returns false when it is not open.
  bool Put(uint64_t id, T answer) {
    std::shared_ptr<AnswerSlot<T>> slot;
    {
      absl::MutexLock lock(&mutex_);
      const auto entry = slots_.find(id);
      if (entry == slots_.end()) {
        return false;
      }
      slot = entry->second;
    }
    slot->Put(std::move(answer));
    return true;
  }

  void Close(uint64_t id) {
    absl::MutexLock lock(&mutex_);
    slots_.erase(id);
  }

 private:
  absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, std::shared_ptr<AnswerSlot<T>>> slots_
      ABSL_GUARDED_BY(mutex_);
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_ANSWER_SLOT_H_
