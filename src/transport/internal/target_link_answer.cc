#include <utility>

#include "transport/internal/body_buffer.h"
#include "transport/internal/http_head.h"
#include "transport/internal/http_message.h"
#include "transport/internal/release_buffer.h"
#include "transport/internal/target_link.h"

namespace gooseberrygap::transport {

namespace {

namespace http = boost::beast::http;

constexpr uint32_t kMaxAnswerHeadBytes = 65536;
// Bytes after the head that may wait for the end of a chunk's size line or of
// the trailer. The parser limits heads and bodies only.
constexpr size_t kMaxUnparsedBytes = 65536;
// Bytes of interim answers and answers of other requests that may precede the
// own answer.
constexpr size_t kMaxSkippedBytes = 1 << 20;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

}  // namespace

void TargetLink::StartParser() {
  message_bytes_ = 0;
  charge_.reset();
  charge_.emplace(room_->NewCharge());
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMaxAnswerHeadBytes);
  parser_->body_limit(options_->max_answer_bytes_);
  parser_->skip(delivery_->request_.method_ == "HEAD");
}

bool TargetLink::ReserveBody() {
  if (!parser_->is_header_done()) {
    return true;
  }
  std::string& body = parser_->get().body();
  RequestCharge* const charge = &*charge_;
  if (const auto length = parser_->content_length(); length.has_value()) {
    return room_->TryReserve(descriptor(), charge, *length);
  }
  const std::optional<size_t> capacity =
      NeededCapacity(body, input_.size(), options_->max_answer_bytes_);
  if (!capacity.has_value()) {
    return true;
  }
  // The old buffer and the new one exist together for a moment.
  if (!room_->TryReserve(descriptor(), charge, body.capacity() + *capacity)) {
    return false;
  }
  Enlarge(&body, *capacity);
  room_->Reduce(descriptor(), charge, body.capacity());
  return true;
}

void TargetLink::ChargeRest() {
  if (input_.empty()) {
    ReleaseBuffer(&input_);
  }
  const size_t head = parser_->is_header_done() ? 0 : message_bytes_;
  charge_->head_.Resize(head + (input_.empty() ? 0 : input_.capacity()));
}

size_t TargetLink::ParseNext(boost::system::error_code* error) {
  const bool was_in_head = !parser_->is_header_done();
  // Keeps the body out of the bytes in which folded lines are looked for.
  parser_->eager(!was_in_head);
  const size_t taken = parser_->put(boost::asio::buffer(input_), *error);
  if (!was_in_head) {
    return taken;
  }
  // The parser takes a header together with the lines that continue it.
  if (HasFoldedLine(absl::string_view(input_).substr(0, taken))) {
    *error = http::error::bad_obs_fold;
  } else if (parser_->is_header_done() &&
             !HasOnlyChunkedCoding(parser_->get())) {
    *error = http::error::bad_transfer_encoding;
  }
  return taken;
}

std::optional<DeliveryEnded> TargetLink::Parse(state::Millis now) {
  has_answer_head_ =
      has_answer_head_ || HeadSize(input_) > 0 || parser_->is_header_done();
  while (!input_.empty() && !parser_->is_done()) {
    held_ = !ReserveBody();
    if (held_) {
      return std::nullopt;
    }
    boost::system::error_code error;
    const size_t taken = ParseNext(&error);
    input_.erase(0, taken);
    message_bytes_ += taken;
    const bool is_unbounded =
        !parser_->is_done() && (input_.size() > kMaxUnparsedBytes ||
                                skipped_bytes_ > kMaxSkippedBytes);
    if (error == http::error::need_more && !is_unbounded) {
      break;
    }
    if (error || is_unbounded) {
      return End(DeliveryEnd::kIncompleteAnswer);
    }
    if (parser_->is_done()) {
      std::optional<DeliveryEnded> end = TakeAnswer(now);
      if (end.has_value()) {
        return end;
      }
    }
  }
  return read_end_ == ReadEnd::kOpen ? std::nullopt : ParseEnd(now);
}

std::optional<DeliveryEnded> TargetLink::ParseEnd(state::Millis now) {
  const bool ends_with_connection =
      read_end_ == ReadEnd::kClosed && options_->accepts_until_close_ &&
      parser_->is_header_done() && parser_->need_eof();
  if (!ends_with_connection) {
    return End(DeliveryEnd::kIncompleteAnswer);
  }
  boost::system::error_code error;
  parser_->put_eof(error);
  const std::optional<DeliveryEnded> end =
      error ? std::nullopt : TakeAnswer(now);
  return end.has_value() ? end
                         : std::optional(End(DeliveryEnd::kIncompleteAnswer));
}

// Returns nothing when the message was not the answer, and prepares for the
// next one.
std::optional<DeliveryEnded> TargetLink::TakeAnswer(state::Millis now) {
  const int status = static_cast<int>(parser_->get().result_int());
  if (status < kFirstFinalStatus && status != kSwitchingProtocols) {
    SkipMessage();
    return std::nullopt;
  }
  const std::vector<state::HttpHeader> all = HeadersOf(parser_->get());
  std::vector<state::HttpHeader> headers = EndToEndHeaders(all);
  const auto length = parser_->get().find(http::field::content_length);
  // Without a body the length is information of the target's own.
  if (parser_->get().body().empty() && length != parser_->get().end() &&
      length->value() != "0") {
    headers.push_back({.name_ = std::string(length->name_string()),
                       .value_ = std::string(length->value())});
  }
  const state::HttpAnswer answer{
      .status_ = status, .headers_ = std::move(headers), .body_ = TakeBody()};
  const bool keeps_open = parser_->keep_alive();
  if (status == kSwitchingProtocols) {
    return End(DeliveryEnd::kIncompleteAnswer);
  }
  const coordination::ReceivedAnswer received =
      options_->identify_ ? options_->identify_(*delivery_, answer)
                          : coordination::ReceivedAnswer();
  const coordination::AnswerVerdict verdict =
      coordination::JudgeAnswer(received, std::exchange(has_answer_, true));
  if (verdict == coordination::AnswerVerdict::kSkip) {
    has_foreign_answer_ = true;
    SkipMessage();
    return std::nullopt;
  }
  if (verdict == coordination::AnswerVerdict::kGiveUp) {
    return End(DeliveryEnd::kIncompleteAnswer);
  }
  has_refused_ = has_refused_ || received.is_refusal_;
  reusable_ = keeps_open && input_.empty() && sent_ == request_bytes_ &&
              !has_foreign_answer_;
  last_used_ = now;
  return End(DeliveryEnd::kAnswered, answer);
}

state::Bytes TargetLink::TakeBody() {
  std::string body = std::move(parser_->get().body());
  charge_->head_.Resize(0);
  charge_->body_.Resize(body.empty() ? 0 : body.capacity());
  room_->Finish(descriptor());
  return ChargedBytes(std::move(body), std::move(*charge_));
}

void TargetLink::SkipMessage() {
  skipped_bytes_ += message_bytes_;
  StartParser();
}

}  // namespace gooseberrygap::transport
