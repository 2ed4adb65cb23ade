#ifndef COORDINATION_INTERNAL_EARLY_CALLS_H_
#define COORDINATION_INTERNAL_EARLY_CALLS_H_

#include <deque>
#include <optional>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Queues the calls received by a daemon that has just started until it has the
// configuration and the targets. Refusing them would make each restart under
// load fail calls. Not thread-safe.
class EarlyCalls {
 public:
  // Returns whether the call was queued.
  bool Add(const CallReceived& call, state::Millis now) {
    if (released_ || queued_.size() >= kMaxQueued) {
      return false;
    }
    queued_.push_back(QueuedCall{.call_ = call, .at_ = now});
    return true;
  }

  // Returns the queued calls, their deadlines reduced by the time in the queue,
  // once the daemon has the state it requires or has run for kMaxWait. No call
  // is queued after that.
  std::deque<CallReceived> Release(bool has_required_state, state::Millis now) {
    if (!started_at_.has_value()) {
      started_at_ = now;
    }
    std::deque<CallReceived> calls;
    released_ =
        released_ || has_required_state || now - *started_at_ >= kMaxWait;
    if (!released_) {
      return calls;
    }
    for (const QueuedCall& queued : queued_) {
      calls.push_back(AfterWait(queued.call_, now - queued.at_));
    }
    queued_.clear();
    return calls;
  }

  // Removes the call of a caller that has disconnected.
  void Remove(uint64_t call_id) {
    std::deque<QueuedCall> remaining;
    for (const QueuedCall& queued : queued_) {
      if (queued.call_.call_id_ != call_id) {
        remaining.push_back(queued);
      }
    }
    queued_.swap(remaining);
  }

  size_t size() const { return queued_.size(); }

 private:
  struct QueuedCall {
    const CallReceived call_ = {};
    const state::Millis at_ = {};
  };

  static constexpr size_t kMaxQueued = 1024;
  // Limits the time from the first tick until calls are handled. A control
  // instance that restarts needs an election, which takes up to 2 s, and a
  // lease with an instance that has the membership.
  static constexpr state::Millis kMaxWait = state::Millis(5000);

  std::deque<QueuedCall> queued_;
  std::optional<state::Millis> started_at_;
  bool released_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_EARLY_CALLS_H_
