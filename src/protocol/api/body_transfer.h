#ifndef PROTOCOL_API_BODY_TRANSFER_H_
#define PROTOCOL_API_BODY_TRANSFER_H_

#include <cstdint>
#include <string>
#include <variant>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"
#include "protocol/api/peer_codec.h"

namespace gooseberrygap::protocol {

// Messages that carry a large body apart from its attempt or answer. The
// receiver allows the sender to send it part by part (docs/design/
// process-ends.md, section A).

struct BodyOffer {
  const uint64_t transfer_ = 0;  // Chosen by the sender; not 0.
  const uint64_t size_ = 0;
  const std::string message_ = {};  // As EncodeWithoutBody returns it.

  friend bool operator==(const BodyOffer&, const BodyOffer&) = default;
};

// The sender may send the bytes before `offset_`.
struct BodyCredit {
  const uint64_t transfer_ = 0;
  const uint64_t offset_ = 0;
  const bool refused_ = false;  // The receiver does not take the body.

  friend bool operator==(const BodyCredit&, const BodyCredit&) = default;
};

struct BodyChunk {
  const uint64_t transfer_ = 0;
  const uint64_t offset_ = 0;
  const std::string content_ = {};

  friend bool operator==(const BodyChunk&, const BodyChunk&) = default;
};

using TransferMessage = std::variant<BodyOffer, BodyCredit, BodyChunk>;

// What one message of a peer carries.
struct PeerFrame {
  const std::variant<coordination::PeerMessage, TransferMessage> content_ = {};
  // The sender's build knows body offers.
  const bool accepts_offers_ = false;

  friend bool operator==(const PeerFrame&, const PeerFrame&) = default;
};

// Thread-safe.
std::string EncodeTransferMessage(const TransferMessage& message);

// Returns the encoding of an attempt or an answer as if its body was empty.
// Thread-safe.
std::string EncodeWithoutBody(const coordination::PeerMessage& message);

// Returns the attempt or the answer with that body. The times left of an
// attempt are reduced by `waited`, the time since its offer was received.
// Thread-safe.
state::Result<coordination::PeerMessage> DecodeWithBody(
    absl::string_view encoding,
    const state::Bytes& body,
    state::Millis waited);

// As DecodePeerMessage, also for messages of transfers. Thread-safe.
state::Result<PeerFrame> DecodePeerFrame(absl::string_view bytes,
                                         const MakeBody& make_body = {});

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_BODY_TRANSFER_H_
