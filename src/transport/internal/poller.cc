#include "transport/internal/poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "transport/internal/listen_error.h"

namespace gooseberrygap::transport {

namespace {

// Ready descriptors taken by one call; the rest follow with the next call.
constexpr int kEventsPerWait = 256;
// Upper bound of one sleep, so that the milliseconds fit an int.
constexpr double kLongestWaitMs = 3600000;

}  // namespace

state::Result<std::unique_ptr<Poller>> Poller::Create() {
  Descriptor epoll(epoll_create1(EPOLL_CLOEXEC));
  Descriptor wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (!epoll.valid() || !wake.valid()) {
    const int code = errno;
    return state::MakeError(
        KindOfListenError(code),
        absl::StrCat("Cannot create an epoll: ", strerror(code)));
  }
  std::unique_ptr<Poller> poller(new Poller(std::move(epoll), std::move(wake)));
  poller->Add(poller->wake_.get(), EPOLLIN);
  return poller;
}

Poller::Poller(Descriptor epoll, Descriptor wake)
    : epoll_(std::move(epoll)), wake_(std::move(wake)) {}

bool Poller::Control(int operation, int fd, uint32_t events) {
  epoll_event event = {};
  event.events = events;
  event.data.fd = fd;
  return epoll_ctl(epoll_.get(), operation, fd, &event) == 0;
}

bool Poller::Add(int fd, uint32_t events) {
  return Control(EPOLL_CTL_ADD, fd, events);
}

bool Poller::Modify(int fd, uint32_t events) {
  return Control(EPOLL_CTL_MOD, fd, events);
}

void Poller::Remove(int fd) {
  Control(EPOLL_CTL_DEL, fd, 0);
}

void Poller::Wake() {
  if (!waking_.exchange(true)) {
    eventfd_write(wake_.get(), 1);
  }
}

std::vector<int> Poller::Wait(std::optional<state::Millis> timeout) {
  std::array<epoll_event, kEventsPerWait> events;
  const int wait_ms = timeout ? static_cast<int>(std::ceil(std::clamp(
                                    timeout->value(), 0.0, kLongestWaitMs)))
                              : -1;
  const int count =
      epoll_wait(epoll_.get(), events.data(), kEventsPerWait, wait_ms);
  std::vector<int> ready;
  for (int i = 0; i < count; ++i) {
    if (events[i].data.fd != wake_.get()) {
      ready.push_back(events[i].data.fd);
      continue;
    }
    eventfd_t ignored = 0;
    eventfd_read(wake_.get(), &ignored);
    // Only after the read: a Wake from here on writes again.
    waking_.store(false);
  }
  return ready;
}

}  // namespace gooseberrygap::transport
