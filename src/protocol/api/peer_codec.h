#ifndef PROTOCOL_API_PEER_CODEC_H_
#define PROTOCOL_API_PEER_CODEC_H_

#include <functional>
#include <string>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// Returns the message as one protobuf Envelope. A large body of an attempt or
// an answer is copied once. Thread-safe.
std::string EncodePeerMessage(const coordination::PeerMessage& message);

// Makes the body of a request from its content.
using MakeBody = std::function<state::Bytes(std::string content)>;

// Returns the message, or kMalformedMessage when the bytes are truncated, of
// another program, or out of range. The body of an attempt is made by
// `make_body`, if it is set. Thread-safe.
state::Result<coordination::PeerMessage> DecodePeerMessage(
    absl::string_view bytes,
    const MakeBody& make_body = {});

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_PEER_CODEC_H_
