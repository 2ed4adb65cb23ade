#include "support/stand_in_target/slots.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>

namespace gooseberrygap::test_support {

namespace {

using state::Millis;

// Bounds the memory of the load history; at 1000 requests/s it reaches back
// 16 s.
constexpr size_t kMaxHistory = 65536;

}  // namespace

WaitEnd WaitOnSocket(int socket,
                     const WakeEvent& event,
                     Millis until,
                     const state::Clock& clock) {
  std::array<pollfd, 2> entries = {
      pollfd{.fd = socket, .events = POLLRDHUP, .revents = 0},
      pollfd{.fd = event.descriptor(), .events = POLLIN, .revents = 0}};
  while (true) {
    const double left = (until - clock.Now()).value();
    if (left <= 0) {
      return WaitEnd::kTimeout;
    }
    // A wait without end is cut into hours so that it fits the time type.
    const double seconds = std::min(left / 1000, 3600.0);
    const timespec timeout = {
        .tv_sec = static_cast<time_t>(seconds),
        .tv_nsec = static_cast<int64_t>((seconds - std::floor(seconds)) * 1e9)};
    const int ready = ppoll(entries.data(), entries.size(), &timeout, nullptr);
    if (ready < 0 && errno != EINTR) {
      return WaitEnd::kClosed;
    }
    if (ready > 0) {
      return entries[1].revents != 0 ? WaitEnd::kWoken : WaitEnd::kClosed;
    }
  }
}

Slots::Slots(int count, const state::Clock* clock)
    : count_(count), clock_(clock) {}

WaitEnd Slots::Acquire(int socket, Millis until) {
  Waiter waiter;
  {
    absl::MutexLock lock(&mutex_);
    if (in_flight_ < count_) {
      ++in_flight_;
      Record();
      return WaitEnd::kWoken;
    }
    waiters_.push_back(&waiter);
    Record();
  }
  const WaitEnd end = WaitOnSocket(socket, waiter.event_, until, *clock_);
  absl::MutexLock lock(&mutex_);
  if (waiter.granted_ && end != WaitEnd::kWoken) {
    ReleaseLocked();
  }
  if (!waiter.granted_) {
    waiters_.erase(std::find(waiters_.begin(), waiters_.end(), &waiter));
    Record();
  }
  return end;
}

void Slots::Release() {
  absl::MutexLock lock(&mutex_);
  ReleaseLocked();
}

void Slots::ReleaseLocked() {
  if (waiters_.empty()) {
    --in_flight_;
  } else {
    waiters_.front()->granted_ = true;
    waiters_.front()->event_.Signal();
    waiters_.pop_front();
  }
  Record();
}

TargetLoad Slots::LoadBefore(Millis lag) const {
  absl::MutexLock lock(&mutex_);
  const Millis time = clock_->Now() - lag;
  const auto after = std::upper_bound(
      history_.begin(), history_.end(), time,
      [](Millis at, const Sample& sample) { return at < sample.time_; });
  return after == history_.begin() ? TargetLoad() : std::prev(after)->load_;
}

void Slots::WaitUntilQuiet(Millis quiet) {
  const Millis start = clock_->Now();
  absl::MutexLock lock(&mutex_);
  while (true) {
    if (in_flight_ > 0 || !waiters_.empty()) {
      changed_.Wait(&mutex_);
      continue;
    }
    const Millis last =
        history_.empty() ? start : std::max(start, history_.back().time_);
    const Millis left = last + quiet - clock_->Now();
    if (left <= Millis(0)) {
      return;
    }
    changed_.WaitWithTimeout(&mutex_, absl::Milliseconds(left.value()));
  }
}

void Slots::Record() {
  history_.push_back(
      Sample{.time_ = clock_->Now(),
             .load_ = {.in_flight_ = in_flight_,
                       .queued_ = static_cast<int>(waiters_.size())}});
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
  changed_.SignalAll();
}

}  // namespace gooseberrygap::test_support
