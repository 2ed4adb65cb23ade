#ifndef TRANSPORT_API_PEER_ENDPOINT_H_
#define TRANSPORT_API_PEER_ENDPOINT_H_

#include <functional>
#include <memory>
#include <string>

#include "coordination/coordination.h"
#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {

// A message that came from a peer.
struct ReceivedPeerMessage {
  // Set when a peer's own connection carried it: pass it to Reply.
  const std::string connection_ = {};
  // Set when it came back on this daemon's connection to that address.
  const std::string address_ = {};
  const coordination::PeerMessage message_ = {};
};

// The `peer` duty: owns all ZeroMQ sockets, one bound ROUTER and one DEALER for
// each remote address.
class PeerEndpoint {
 public:
  struct Options {
    const std::string listen_address_ = {};  // "127.0.0.1:9101"
    const int high_water_mark_ = 4096;       // Messages for each connection.
    // Interval of ZMTP heartbeats on the connections that this endpoint opens,
    // and the time without a message after which one is replaced; 0 for none.
    const state::Millis heartbeat_interval_ = state::Millis(1000);
    const state::Millis heartbeat_timeout_ = state::Millis(3000);
    const size_t ring_capacity_ = 8192;
    // Larger messages are refused by the sender and by the receiver.
    // Room for a body of the largest size and its head.
    const size_t max_message_bytes_ = 68157440;
    // A connection on which so many bytes wait to be sent takes no more
    // messages. More than a link between regions sends in a round trip.
    const size_t max_queued_bytes_ = 16777216;
    // A connection to an address without traffic for longer is closed, so that
    // their number follows from the calls and not from the number of peers. One
    // on which an attempt is unanswered is kept for longer.
    const state::Millis close_unused_after_ = state::Millis(30000);
    const state::Millis close_unanswered_after_ = state::Millis(300000);
    // Charged with the attempts of other daemons. One for which it has no room
    // is refused as not run.
    const std::shared_ptr<ByteAccount> account_ =
        std::make_shared<ByteAccount>();
    // Called on the peer thread, at a bounded rate, when a part of a body or a
    // credit for one has come on the connection to that address: the handler
    // sees only whole messages. Must not block; may be empty.
    const std::function<void(const std::string& address)> on_activity_ = {};
    // A large body for which there is no room waits for at most so long.
    const state::Millis hold_ = state::Millis(3000);
  };

  // Called on the peer thread for each decoded message; must not block.
  using Handler = std::function<void(ReceivedPeerMessage)>;

  // Binds and starts the thread. `counters` must outlive the endpoint.
  static state::Result<std::unique_ptr<PeerEndpoint>>
  Start(const Options& options, Handler handler, state::Counters* counters);

  // Sends what is queued for a moment, then stops the thread.
  virtual ~PeerEndpoint() = default;

  // Queue a message or a reset for the peer thread. They return false, and the
  // message is counted and dropped, when the ring is full. Thread-safe.
  virtual bool Send(coordination::SendToPeer command) = 0;
  virtual bool Reply(coordination::ReplyToPeer command) = 0;
  virtual bool Reset(coordination::ResetLink command) = 0;

  // Returns the address that it listens at, with the port chosen when the
  // options say port 0. Thread-safe.
  virtual std::string address() const = 0;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_PEER_ENDPOINT_H_
