#ifndef TRANSPORT_INTERNAL_BODY_EXCHANGE_H_
#define TRANSPORT_INTERNAL_BODY_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "transport/internal/incoming_bodies.h"
#include "transport/internal/outgoing_bodies.h"

namespace gooseberrygap::transport {

// The large bodies that an endpoint sends and receives in chunks, and what the
// other messages of their attempts mean for them. Uses no clock and no socket.
// Not thread-safe.
class BodyExchange {
 public:
  // How the exchange sends and delivers. The functions must not call back.
  struct Port {
    // Returns false when the message cannot be sent now.
    const std::function<bool(const TransferLink& link,
                             const protocol::TransferMessage& message)>
        send_transfer_;
    // Returns whether a chunk may be queued on the link now.
    const std::function<bool(const TransferLink& link)> takes_chunk_;
    const std::function<void(const TransferLink& link,
                             const coordination::PeerMessage& message)>
        send_;
    // Takes a message as if it had come on the link.
    const std::function<void(const TransferLink& link,
                             coordination::PeerMessage message)>
        deliver_;
  };

  BodyExchange(const IncomingBodies::Options& options,
               const std::shared_ptr<ByteAccount>& account,
               state::Counters* counters,
               Port port);

  // Returns whether the message has a body that is not sent inside it.
  static bool IsLarge(const coordination::PeerMessage& message);

  // Offers the body of the message. Precondition: IsLarge(message).
  void Offer(const TransferLink& link,
             const coordination::PeerMessage& message,
             const std::optional<state::Millis>& send_before,
             state::Millis now);

  // Handles a message that is about to be sent. Returns false if it must not
  // be: it asks for an answer to an attempt that the receiver has not got yet.
  bool OnSending(const coordination::PeerMessage& message);
  // Handles a message of a transfer from the link.
  void OnTransfer(const TransferLink& link,
                  protocol::TransferMessage message,
                  state::Millis now);
  // Handles any other message from the link. Returns whether the process needs
  // it, too: not if it asks for an answer that is being sent, which is then
  // sent on this link instead.
  bool OnReceived(const TransferLink& link,
                  const coordination::PeerMessage& message,
                  state::Millis now);
  // Ends all transfers on the link.
  void OnLinkClosed(const TransferLink& link);
  // Returns and ends the transfers on the link that the peer has not answered,
  // since its build does not know offers: their messages must be sent whole.
  OutgoingBodies::Ended TakeUnanswered(const TransferLink& link);

  // Sends what may be sent, and ends what takes too long. Call it after the
  // other methods, when bytes of the account were given back, and at least
  // every kTransferTick while there are transfers.
  void Advance(state::Millis now);

  bool empty() const { return outgoing_.empty() && incoming_.empty(); }

 private:
  void HandleOffer(const TransferLink& link,
                   const protocol::BodyOffer& offer,
                   state::Millis now);
  void Apply(IncomingBodies::Step step, state::Millis now);
  void Refuse(const IncomingBodies::Refusal& refusal);
  // Offers the answer that the peer asks for on another link, if it is being
  // sent. Returns whether it is.
  bool SendAgain(const TransferLink& link,
                 const coordination::ResumeAttempt& resume,
                 state::Millis now);
  // Sends chunks of all transfers in turn.
  void SendChunks(state::Millis now);
  // Returns false when no chunk of the transfer can be sent now.
  bool SendChunk(const TransferId& id, state::Millis now);
  void EndFailed(state::Millis now);
  // Ends a transfer whose offer could not be sent.
  void OnLinkFull(const TransferId& id);
  // Reports to the own process that an attempt was not sent.
  void DeliverRefusal(const OutgoingBody& body, state::RefusalReason reason);

  state::Counters* const counters_;
  const Port port_;
  OutgoingBodies outgoing_;
  std::optional<TransferId> last_sent_;
  IncomingBodies incoming_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_BODY_EXCHANGE_H_
