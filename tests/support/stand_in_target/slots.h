#ifndef SUPPORT_STAND_IN_TARGET_SLOTS_H_
#define SUPPORT_STAND_IN_TARGET_SLOTS_H_

#include <deque>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "state/state.h"
#include "support/connection_server.h"

namespace gooseberrygap::test_support {

// How a wait on a caller's connection ended.
enum class WaitEnd { kTimeout, kClosed, kWoken };

// Sleeps until `until`, until the other end of `socket` closes, or until the
// event is signalled. Thread-safe.
WaitEnd WaitOnSocket(int socket,
                     const WakeEvent& event,
                     state::Millis until,
                     const state::Clock& clock);

struct TargetLoad {
  const int in_flight_ = 0;
  const int queued_ = 0;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

// The slots of the target and the first-in first-out queue for them.
// Thread-safe.
class Slots {
 public:
  // `clock` must outlive this object.
  Slots(int count, const state::Clock* clock);

  // Takes a slot, waiting until `until` at the latest. kWoken means that the
  // caller holds a slot and must call Release.
  WaitEnd Acquire(int socket, state::Millis until);
  void Release();

  // Returns the load as it was `lag` ago.
  TargetLoad LoadBefore(state::Millis lag) const;

  // Returns when no request has held or awaited a slot for `quiet`, counted
  // from the call at the earliest.
  void WaitUntilQuiet(state::Millis quiet);

 private:
  struct Waiter {
    WakeEvent event_;
    bool granted_ = false;
  };
  struct Sample {
    const state::Millis time_ = {};
    const TargetLoad load_ = {};
  };

  void Record() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ReleaseLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const int count_;
  const state::Clock* const clock_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  int in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<Waiter*> waiters_ ABSL_GUARDED_BY(mutex_);
  std::deque<Sample> history_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_STAND_IN_TARGET_SLOTS_H_
