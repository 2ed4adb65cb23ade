#include "protocol/internal/large_body.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <array>

#include "peer.pb.h"

namespace gooseberrygap::protocol {

namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedOutputStream;

// Smaller bodies are encoded with their message.
constexpr size_t kMinLargeBytes = 65536;
constexpr size_t kMaxVarintBytes = 10;

// Returns tag and length of a field with content of that size.
std::string Prefix(int field, size_t size) {
  std::array<uint8_t, 2 * kMaxVarintBytes> bytes;
  uint8_t* end = CodedOutputStream::WriteTagToArray(
      WireFormatLite::MakeTag(field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED),
      bytes.data());
  end = CodedOutputStream::WriteVarint64ToArray(size, end);
  return std::string(bytes.data(), end);
}

}  // namespace

std::optional<LargeBody> LargeBodyOf(const coordination::PeerMessage& message) {
  const auto* attempt = std::get_if<coordination::Attempt>(&message);
  if (attempt != nullptr && attempt->request_.body_.size() >= kMinLargeBytes) {
    return LargeBody{.content_ = attempt->request_.body_.view(),
                     .message_field_ = wire::Envelope::kAttemptFieldNumber,
                     .part_field_ = wire::Attempt::kRequestFieldNumber,
                     .body_field_ = wire::HttpRequest::kBodyFieldNumber};
  }
  const auto* answer = std::get_if<coordination::AttemptAnswer>(&message);
  if (answer != nullptr && answer->answer_.body_.size() >= kMinLargeBytes) {
    return LargeBody{
        .content_ = answer->answer_.body_.view(),
        .message_field_ = wire::Envelope::kAttemptAnswerFieldNumber,
        .part_field_ = wire::AttemptAnswer::kAnswerFieldNumber,
        .body_field_ = wire::HttpAnswer::kBodyFieldNumber};
  }
  return std::nullopt;
}

void AppendLargeBody(const LargeBody& body, std::string* envelope) {
  const size_t size = body.content_.size();
  const std::string inner = Prefix(body.body_field_, size);
  const std::string part = Prefix(body.part_field_, inner.size() + size);
  *envelope += Prefix(body.message_field_, part.size() + inner.size() + size);
  *envelope += part;
  *envelope += inner;
  envelope->append(body.content_.data(), size);
}

}  // namespace gooseberrygap::protocol
