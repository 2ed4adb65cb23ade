#ifndef TRANSPORT_INTERNAL_TARGET_CONNECTION_H_
#define TRANSPORT_INTERNAL_TARGET_CONNECTION_H_

#include <httplib.h>

#include <memory>
#include <string>

#include "transport/internal/descriptor.h"
#include "transport/internal/socket_address.h"
#include "transport/internal/socket_stream.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

// Returns a non-blocking TCP socket for the address, not yet connected; not
// valid when the system has no descriptor left.
Descriptor OpenTargetSocket(const SocketAddress& address);

// Connects the socket. Returns false when that fails or lasts beyond the
// deadline.
bool ConnectTargetSocket(const Descriptor& socket,
                         const SocketAddress& address,
                         state::Millis deadline);

// One HTTP connection to a target. Only for the worker that owns it; another
// thread may end it by shutdown(2) on its descriptor.
//
// Requests go through the protected process_request of httplib's client and
// not through its public methods: those decide by themselves about connecting
// again, and use select, which cannot watch descriptors above 1023.
class TargetConnection : private httplib::ClientImpl {
 public:
  // `socket` is connected to `address`, which is `parsed` in text.
  TargetConnection(const SocketAddress& parsed,
                   std::string address,
                   Descriptor socket);

  // Sends the request once and reads the answer. Precondition: CanReuse() or
  // no exchange so far.
  DeliveryEnded Exchange(const coordination::DeliverToTarget& delivery,
                         state::Millis deadline,
                         size_t max_answer_bytes);

  // Returns whether the connection can carry another request: the last
  // exchange left it in order, and the target has neither closed it nor sent
  // anything since.
  bool CanReuse();

  const std::string& address() const { return address_; }
  state::Millis last_used() const { return last_used_; }
  int descriptor() const { return stream_.descriptor(); }
  // Returns whether the last exchange brought the head of an answer.
  bool has_answer_head() const { return stream_.has_head(); }

 private:
  DeliveryEnd EndOfFailed() const;

  const std::string address_;
  const state::SteadyClock clock_;
  SocketStream stream_;
  bool keep_alive_ = true;
  state::Millis last_used_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_TARGET_CONNECTION_H_
