#ifndef PROTOCOL_INTERNAL_LARGE_BODY_H_
#define PROTOCOL_INTERNAL_LARGE_BODY_H_

#include <optional>
#include <string>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// The body of an attempt or an answer that is encoded apart from the rest of
// its message, so that it is copied once, and the numbers of the fields that
// lead to it in the envelope.
struct LargeBody {
  const absl::string_view content_ = {};
  const int message_field_ = 0;
  const int part_field_ = 0;
  const int body_field_ = 0;
};

// Returns the body of the message if it is large. It is valid as long as the
// message. Thread-safe.
std::optional<LargeBody> LargeBodyOf(const coordination::PeerMessage& message);

// Returns the bytes that AppendLargeBody adds besides the content, at most.
// Thread-safe.
constexpr size_t kLargeBodyOverhead = 64;

// Appends the body to an encoded envelope without it. Parsers merge a message
// field that occurs twice. Thread-safe.
void AppendLargeBody(const LargeBody& body, std::string* envelope);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_LARGE_BODY_H_
