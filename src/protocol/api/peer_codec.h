#ifndef PROTOCOL_API_PEER_CODEC_H_
#define PROTOCOL_API_PEER_CODEC_H_

#include <string>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// Returns the message as one protobuf Envelope. Thread-safe.
std::string EncodePeerMessage(const coordination::PeerMessage& message);

// Returns the message, or kMalformedMessage when the bytes are truncated, of
// another program, or out of range. Thread-safe.
state::Result<coordination::PeerMessage> DecodePeerMessage(
    absl::string_view bytes);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_PEER_CODEC_H_
