#ifndef COORDINATION_INTERNAL_CALL_QUEUE_H_
#define COORDINATION_INTERNAL_CALL_QUEUE_H_

#include <cstddef>
#include <deque>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Calls that wait, in the order in which they came, up to a limit. Not
// thread-safe.
class CallQueue {
 public:
  explicit CallQueue(size_t max_calls) : max_calls_(max_calls) {}

  // Returns whether the call was added.
  bool Add(const CallReceived& call, state::Millis now) {
    if (calls_.size() >= max_calls_) {
      return false;
    }
    calls_.push_back(WaitingCall{.call_ = call, .since_ = now});
    return true;
  }

  // Removes the call of a caller that has disconnected.
  void Remove(uint64_t call_id) {
    std::deque<WaitingCall> remaining;
    for (const WaitingCall& waiting : calls_) {
      if (waiting.call_.call_id_ != call_id) {
        remaining.push_back(waiting);
      }
    }
    calls_.swap(remaining);
  }

  // Returns how long the first call has waited. Precondition: size() > 0.
  state::Millis FirstWaited(state::Millis now) const {
    return now - calls_.front().since_;
  }

  // Removes the first call and returns it with the time left of its deadline.
  // Precondition: size() > 0.
  CallReceived TakeFirst(state::Millis now) {
    const WaitingCall first = calls_.front();
    calls_.pop_front();
    return AfterWait(first.call_, now - first.since_);
  }

  size_t size() const { return calls_.size(); }

 private:
  struct WaitingCall {
    const CallReceived call_ = {};
    const state::Millis since_ = {};
  };

  const size_t max_calls_;
  std::deque<WaitingCall> calls_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CALL_QUEUE_H_
