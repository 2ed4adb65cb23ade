#include <time.h>

#include <chrono>

#include "state/state.h"

namespace gooseberrygap::state {

namespace {

using DoubleMillis = std::chrono::duration<double, std::milli>;

}  // namespace

Millis SteadyClock::Now() const {
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_start =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return Millis(DoubleMillis(since_start).count());
}

Millis ManualClock::Now() const {
  return Millis(now_.load());
}

void ManualClock::Advance(Millis step) {
  now_.store(now_.load() + step.value());
}

uint64_t WallMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace gooseberrygap::state
