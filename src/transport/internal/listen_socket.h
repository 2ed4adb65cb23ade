#ifndef TRANSPORT_INTERNAL_LISTEN_SOCKET_H_
#define TRANSPORT_INTERNAL_LISTEN_SOCKET_H_

#include <string>

#include "state/state.h"
#include "transport/internal/descriptor.h"

namespace gooseberrygap::transport {

// A bound, listening, non-blocking socket.
struct ListenSocket {
  Descriptor socket_;
  std::string address_;  // With the port chosen when port 0 was asked for.
};

// Binds and listens at a numeric address. Thread-safe.
state::Result<ListenSocket> ListenAt(const std::string& address);

// Accepts a connection with the options of callers' connections, non-blocking.
// Not valid when none waits or the system refuses; errno tells. While the next
// descriptor is one of those reserved for links to other daemons, the target
// and files, nothing is accepted, with EMFILE: the callers wait. Thread-safe.
Descriptor AcceptConnection(int listener);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_LISTEN_SOCKET_H_
