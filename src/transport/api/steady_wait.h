#ifndef TRANSPORT_API_STEADY_WAIT_H_
#define TRANSPORT_API_STEADY_WAIT_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "state/state.h"

namespace gooseberrygap::transport {

// Waits with a time limit on the steady clock. The waits of Abseil's condition
// variable end at a time of day: after the clock was set back by some seconds,
// they last as much longer. Thread-safe.
class SteadyCondition {
 public:
  // Waits until `is_met` returns true, at most for `timeout`. Returns what
  // `is_met` returned last. Precondition: `lock` is held; `is_met` is called
  // with it.
  template <class Predicate>
  bool Wait(std::unique_lock<std::mutex>* lock,
            state::Millis timeout,
            Predicate is_met) {
    const std::chrono::duration<double, std::milli> limit(
        std::clamp(timeout, state::Millis(0), kLongestWait).value());
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit);
    return condition_.wait_until(*lock, until, is_met);
  }

  void SignalOne() { condition_.notify_one(); }
  void SignalAll() { condition_.notify_all(); }

 private:
  // Bounds a timeout so that the end of the wait does not overflow.
  static constexpr state::Millis kLongestWait = state::Millis(3600.0 * 1000);

  std::condition_variable condition_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_STEADY_WAIT_H_
