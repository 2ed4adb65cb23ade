#ifndef COORDINATION_INTERNAL_EARLY_CALLS_H_
#define COORDINATION_INTERNAL_EARLY_CALLS_H_

#include <deque>
#include <optional>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Keeps the calls that reach a daemon which has just started until it knows the
// configuration and the targets. Refusing them would make each restart under
// load fail calls. Not thread-safe.
class EarlyCalls {
 public:
  // Returns whether the call was kept.
  bool Keep(const CallReceived& call, state::Millis now) {
    if (released_ || kept_.size() >= kMaxKept) {
      return false;
    }
    kept_.push_back(Kept{.call_ = call, .at_ = now});
    return true;
  }

  // Returns the kept calls, with less time left, once the daemon knows enough
  // or has run for long enough. No call is kept after that.
  std::deque<CallReceived> Release(bool knows_enough, state::Millis now) {
    if (!started_at_.has_value()) {
      started_at_ = now;
    }
    std::deque<CallReceived> calls;
    released_ = released_ || knows_enough || now - *started_at_ >= kMaxWait;
    if (!released_) {
      return calls;
    }
    for (const Kept& kept : kept_) {
      std::optional<state::Millis> left;
      if (kept.call_.deadline_left_.has_value()) {
        left.emplace(*kept.call_.deadline_left_ - (now - kept.at_));
      }
      calls.push_back(
          CallReceived{.call_id_ = kept.call_.call_id_,
                       .service_ = kept.call_.service_,
                       .request_ = kept.call_.request_,
                       .idempotency_key_ = kept.call_.idempotency_key_,
                       .deadline_left_ = left,
                       .depth_ = kept.call_.depth_});
    }
    kept_.clear();
    return calls;
  }

  // Drops the call of a caller that has gone.
  void Drop(uint64_t call_id) {
    std::deque<Kept> left;
    for (const Kept& kept : kept_) {
      if (kept.call_.call_id_ != call_id) {
        left.push_back(kept);
      }
    }
    kept_.swap(left);
  }

  size_t size() const { return kept_.size(); }

 private:
  struct Kept {
    const CallReceived call_ = {};
    const state::Millis at_ = {};
  };

  static constexpr size_t kMaxKept = 1024;
  // A control instance that restarts needs an election, which takes up to 2 s,
  // and a lease with an instance that knows the membership.
  static constexpr state::Millis kMaxWait = state::Millis(5000);

  std::deque<Kept> kept_;
  std::optional<state::Millis> started_at_;
  bool released_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_EARLY_CALLS_H_
