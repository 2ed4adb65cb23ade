#include <poll.h>

#include "transport/api/http_server.h"

namespace gooseberrygap::transport {

bool HttpCaller::IsConnected() const {
  // Not `recv`, which reports the end only behind the bytes that precede it.
  pollfd entry = {.fd = descriptor_, .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) <= 0;
}

}  // namespace gooseberrygap::transport
