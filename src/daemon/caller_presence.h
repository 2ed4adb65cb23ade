#ifndef DAEMON_CALLER_PRESENCE_H_
#define DAEMON_CALLER_PRESENCE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace gooseberrygap::daemon {

// Which callers of unanswered requests still have their connection open.
// Thread-safe.
class CallerPresence {
 public:
  // Follows the caller of a request. The returned function tells whether the
  // caller is still there, also after Close.
  std::function<bool()> Open(uint64_t request_id) {
    auto waits = std::make_shared<std::atomic<bool>>(true);
    absl::MutexLock lock(&mutex_);
    callers_[request_id] = waits;
    return [waits] { return waits->load(); };
  }

  // Ends the following of a request that has its answer.
  void Close(uint64_t request_id) {
    absl::MutexLock lock(&mutex_);
    callers_.erase(request_id);
  }

  // Requests that are not followed are ignored.
  void OnDisconnected(uint64_t request_id) {
    absl::MutexLock lock(&mutex_);
    const auto caller = callers_.find(request_id);
    if (caller != callers_.end()) {
      caller->second->store(false);
    }
  }

 private:
  absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, std::shared_ptr<std::atomic<bool>>> callers_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_CALLER_PRESENCE_H_
