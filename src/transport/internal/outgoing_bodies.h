#ifndef TRANSPORT_INTERNAL_OUTGOING_BODIES_H_
#define TRANSPORT_INTERNAL_OUTGOING_BODIES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination.h"
#include "protocol/protocol.h"
#include "transport/internal/body_transfers.h"

namespace gooseberrygap::transport {

// An attempt or an answer whose body is sent in chunks.
struct OutgoingBody {
  const TransferLink link_ = {};
  const TransferOwner owner_ = {};
  const coordination::PeerMessage message_ = {};
  const state::Bytes body_ = {};
  // The last chunk must not be sent from this point on.
  const std::optional<state::Millis> send_before_ = {};
  // Point at which a body that was not allowed to be sent is given up.
  const state::Millis expires_at_ = {};
};

// The bodies that this process sends in chunks: what may be sent when. Holds
// no copy of a body. Uses no clock and no socket. Not thread-safe.
class OutgoingBodies {
 public:
  enum class End {
    kTooLateToSend,  // `send_before_` has passed.
    kExpired,        // The receiver did not allow it in time, or stalled.
  };
  // A transfer that was given up. The receiver has not got all of the body.
  struct Failure {
    const TransferId id_ = {};
    const std::shared_ptr<const OutgoingBody> body_ = {};
    const End end_ = End::kExpired;
  };

  // Begins a transfer, and returns its number for the offer.
  uint64_t Begin(OutgoingBody body);
  // Handles credit. Ignored if the transfer is not known.
  void OnCredit(const TransferLink& link,
                const protocol::BodyCredit& credit,
                state::Millis now);

  // Returns the transfers that may send a chunk.
  std::vector<TransferId> Sendable() const;
  // Returns the next chunk, or nothing when there is no credit, the time to
  // send has passed, or the transfer is not known.
  std::optional<protocol::BodyChunk> NextChunk(const TransferId& id,
                                               state::Millis now) const;
  // The chunk that NextChunk returned has been sent. The transfer ends with the
  // last one.
  void OnSent(const TransferId& id);

  // Returns whether there is a transfer of the attempt.
  bool Has(const TransferOwner& owner) const;

  // Returns and ends one transfer; nullptr if it is not known.
  std::shared_ptr<const OutgoingBody> End(const TransferId& id);
  // Return and end the transfers of the attempt, of the link, and those on the
  // link for which the receiver has not answered the offer.
  using Ended = std::vector<std::shared_ptr<const OutgoingBody>>;
  Ended EndOf(const TransferOwner& owner);
  Ended EndOn(const TransferLink& link);
  Ended EndUnanswered(const TransferLink& link);
  // Returns and ends the transfers that are given up.
  std::vector<Failure> Expire(state::Millis now);

  bool empty() const { return transfers_.empty(); }

 private:
  struct Transfer {
    std::shared_ptr<const OutgoingBody> body_;
    size_t sent_ = 0;
    size_t credit_ = 0;
    // When the receiver last sent credit; absent before it answers the offer.
    std::optional<state::Millis> heard_at_;
  };

  Ended EndIf(
      const std::function<bool(const TransferId&, const Transfer&)>& matches);
  static bool IsTooLate(const Transfer& transfer, state::Millis now);
  static bool IsExpired(const Transfer& transfer, state::Millis now);

  std::map<TransferId, Transfer> transfers_;
  uint64_t next_number_ = 1;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_OUTGOING_BODIES_H_
