#ifndef TRANSPORT_INTERNAL_SOCKET_ADDRESS_H_
#define TRANSPORT_INTERNAL_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <string>

#include "state/state.h"

namespace gooseberrygap::transport {

// A numeric address and port, in text and in the form of the system.
struct SocketAddress {
  const std::string host_ = {};
  const int port_ = 0;
  const sockaddr_storage storage_ = {};
  const socklen_t size_ = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage_);
  }
};

// Parses "127.0.0.1:8101" or "[::1]:8101". Host names are refused with
// kInvalidSettings: resolving one could block. Thread-safe.
state::Result<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_SOCKET_ADDRESS_H_
