#include "daemon/start_retry.h"

#include <cmath>

#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

constexpr state::Millis kLogInterval(5000);

}  // namespace

void StartRetry::LogIfDue(const state::Error& error, state::Millis waited) {
  if (std::fmod(waited.value(), kLogInterval.value()) != 0) {
    return;
  }
  Log({.level_ = state::LogLevel::kWarning,
       .event_ = "start_waits",
       .fields_ = {{"kind", std::string(NameOf(error.kind_))},
                   {"error", error.message_},
                   {"waited_ms", waited.value()}}});
}

}  // namespace gooseberrygap::daemon
