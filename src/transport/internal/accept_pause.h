#ifndef TRANSPORT_INTERNAL_ACCEPT_PAUSE_H_
#define TRANSPORT_INTERNAL_ACCEPT_PAUSE_H_

#include <cerrno>
#include <optional>

#include "state/state.h"

namespace gooseberrygap::transport {

// Decides how long a server does not watch its listening sockets after the
// system has refused a connection, for example for want of descriptors. The
// sockets stay readable meanwhile, so that a server that watches them would
// keep the processor busy. Not thread-safe.
class AcceptPause {
 public:
  // Long enough for a thousandth of a processor at most, and short enough that
  // callers do not notice it beside the wait for a descriptor.
  static constexpr state::Millis kLength = state::Millis(50);

  // Returns whether an accept that failed with this error number begins a
  // pause; otherwise no connection waits.
  static bool IsRefusal(int code) {
    return code != EAGAIN && code != EWOULDBLOCK;
  }

  // Begins a pause, or extends the present one.
  void Begin(state::Millis now) { until_ = now + kLength; }

  // Ends the pause early, because a descriptor has become free.
  void OnDescriptorFreed() {
    if (until_.has_value()) {
      until_.emplace();
    }
  }

  // Returns the time that is left; nothing without a pause.
  std::optional<state::Millis> TimeLeft(state::Millis now) const {
    if (!until_.has_value()) {
      return std::nullopt;
    }
    return *until_ > now ? *until_ - now : state::Millis(0);
  }

  // Returns true once when a pause is over.
  bool TakeEnd(state::Millis now) {
    if (!until_.has_value() || *until_ > now) {
      return false;
    }
    until_.reset();
    return true;
  }

 private:
  std::optional<state::Millis> until_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_ACCEPT_PAUSE_H_
