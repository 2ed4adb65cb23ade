#ifndef TRANSPORT_INTERNAL_POLLER_H_
#define TRANSPORT_INTERNAL_POLLER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "state/state.h"
#include "transport/internal/descriptor.h"

namespace gooseberrygap::transport {

// The descriptors that one duty thread sleeps on, and an eventfd by which other
// threads wake it. One epoll, so that the cost of a wake-up depends on the
// descriptors that are ready and not on those that are watched.
class Poller {
 public:
  static state::Result<std::unique_ptr<Poller>> Create();

  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Watch a descriptor for `events` (EPOLLIN, EPOLLONESHOT ...), change the
  // events, or stop watching. They return false when the system refuses.
  // Thread-safe.
  bool Add(int fd, uint32_t events);
  bool Modify(int fd, uint32_t events);
  void Remove(int fd);

  // Ends the current or the next Wait. Thread-safe.
  void Wake();

  // Sleeps until a descriptor is ready, Wake is called or the timeout passes;
  // nothing stands for no timeout. Returns the ready descriptors. Only for the
  // thread that owns the poller.
  std::vector<int> Wait(std::optional<state::Millis> timeout);

 private:
  Poller(Descriptor epoll, Descriptor wake);

  bool Control(int operation, int fd, uint32_t events);

  const Descriptor epoll_;
  const Descriptor wake_;
  // True while a wake-up is due; saves the system call of further ones.
  std::atomic<bool> waking_ = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_POLLER_H_
