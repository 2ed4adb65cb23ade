#ifndef PROTOCOL_INTERNAL_BODY_TRANSFER_WIRE_H_
#define PROTOCOL_INTERNAL_BODY_TRANSFER_WIRE_H_

#include <optional>
#include <string>

#include "peer.pb.h"
#include "protocol/api/body_transfer.h"

namespace gooseberrygap::protocol {

// Returns the encoded envelope behind the mark that the sender's build knows
// offers. The mark comes first, so that a message that is cut off is not taken
// for a whole one of an older build. Reserves room for `more` bytes.
// Thread-safe.
std::string WithOffersMark(const wire::Envelope& envelope, size_t more = 0);

// Takes the message of a transfer out of the envelope, if it has one.
// Thread-safe.
std::optional<TransferMessage> TransferFromWire(wire::Envelope* envelope);

// Reduces the times that are left for the attempt. Thread-safe.
void ReduceTimesLeft(state::Millis waited, wire::Attempt* attempt);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_BODY_TRANSFER_WIRE_H_
