#ifndef TRANSPORT_INTERNAL_LISTEN_ERROR_H_
#define TRANSPORT_INTERNAL_LISTEN_ERROR_H_

#include <cerrno>

#include "state/state.h"

namespace gooseberrygap::transport {

// Returns the kind of an error for which a server or its sockets cannot be set
// up. Thread-safe.
inline state::ErrorKind KindOfListenError(int code) {
  switch (code) {
    case EADDRINUSE:
      return state::ErrorKind::kAddressInUse;
    case EADDRNOTAVAIL:
      return state::ErrorKind::kAddressUnavailable;
    case EAGAIN:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return state::ErrorKind::kNoResources;
    default:
      return state::ErrorKind::kInvalidSettings;
  }
}

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_LISTEN_ERROR_H_
