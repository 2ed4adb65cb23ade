#ifndef DAEMON_START_RETRY_H_
#define DAEMON_START_RETRY_H_

#include <functional>

#include "state/state.h"

namespace gooseberrygap::daemon {

// Repeats the steps of a start that fail for a cause which may pass by itself,
// such as an address that a process which is ending still holds. Without it the
// process would end, and the platform counts ends. Not thread-safe.
class StartRetry {
 public:
  // Longer than a closed connection keeps its address in use.
  static constexpr state::Millis kMaxWait = state::Millis(120 * 1000);

  // Waits for that time; returns whether the process has been told to stop.
  using Wait = std::function<bool(state::Millis)>;

  explicit StartRetry(Wait wait) : wait_(std::move(wait)) {}

  // Returns the first result of `step` that is a value or an error that stays,
  // or the last error when `max_wait` is over or the process is to stop.
  template <class Step>
  auto Run(const Step& step, state::Millis max_wait = kMaxWait)
      -> decltype(step()) {
    state::Millis waited;
    while (true) {
      auto result = step();
      if (result || !state::MayPass(result.error().kind_) ||
          waited >= max_wait) {
        return result;
      }
      LogIfDue(result.error(), waited);
      stopped_ = wait_(kInterval);
      if (stopped_) {
        return result;
      }
      waited = waited + kInterval;
    }
  }

  // Returns whether a step ended because the process was told to stop.
  bool stopped() const { return stopped_; }

 private:
  static constexpr state::Millis kInterval = state::Millis(100);

  static void LogIfDue(const state::Error& error, state::Millis waited);

  const Wait wait_;
  bool stopped_ = false;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_START_RETRY_H_
