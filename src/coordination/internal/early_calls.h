#ifndef COORDINATION_INTERNAL_EARLY_CALLS_H_
#define COORDINATION_INTERNAL_EARLY_CALLS_H_

#include <optional>
#include <vector>

#include "coordination/internal/call_queue.h"

namespace gooseberrygap::coordination {

// Queues the calls received by a daemon that has just started until it has the
// configuration and the targets. Refusing them would make each restart under
// load fail calls. Not thread-safe.
class EarlyCalls {
 public:
  // Returns whether the call was queued.
  bool Add(const CallReceived& call, state::Millis now) {
    return !released_ && queued_.Add(call, now);
  }

  // Returns the queued calls, their deadlines reduced by the time in the queue,
  // once the daemon has the state it requires or has run for kMaxWait. No call
  // is queued after that.
  std::vector<CallReceived> Release(bool has_required_state,
                                    state::Millis now) {
    if (!started_at_.has_value()) {
      started_at_ = now;
    }
    std::vector<CallReceived> calls;
    released_ =
        released_ || has_required_state || now - *started_at_ >= kMaxWait;
    while (released_ && queued_.size() > 0) {
      calls.push_back(queued_.TakeFirst(now));
    }
    return calls;
  }

  // Removes the call of a caller that has disconnected.
  void Remove(uint64_t call_id) { queued_.Remove(call_id); }

  size_t size() const { return queued_.size(); }

 private:
  static constexpr size_t kMaxQueued = 1024;
  // Limits the time from the first tick until calls are handled. A control
  // instance that restarts needs an election, which takes up to 2 s, and a
  // lease with an instance that has the membership.
  static constexpr state::Millis kMaxWait = state::Millis(5000);

  CallQueue queued_{kMaxQueued};
  std::optional<state::Millis> started_at_;
  bool released_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_EARLY_CALLS_H_
