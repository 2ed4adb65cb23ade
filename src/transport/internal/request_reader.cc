#include "transport/internal/request_reader.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "transport/internal/body_buffer.h"
#include "transport/internal/http_head.h"
#include "transport/internal/http_message.h"

namespace gooseberrygap::transport {

namespace {

namespace http = boost::beast::http;

// Bytes after the head that may wait for the end of a chunk's size line or of
// the trailer. The parser limits heads and bodies only.
constexpr size_t kMaxUnparsedBytes = 65536;

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::body_limit) {
    return kTooLarge;
  }
  return error == http::error::header_limit ? kHeadTooLarge : kBadRequest;
}

}  // namespace

RequestReader::RequestReader(const state::CallerLimits& limits,
                             const std::shared_ptr<ByteAccount>& account)
    : max_head_bytes_(static_cast<size_t>(limits.max_header_bytes_)),
      max_body_bytes_(static_cast<size_t>(limits.max_body_bytes_)),
      charge_(account) {
  parser_.header_limit(static_cast<uint32_t>(limits.max_header_bytes_));
  parser_.body_limit(static_cast<uint64_t>(limits.max_body_bytes_));
}

ReadStep RequestReader::Put(std::string* input) {
  while (!input->empty()) {
    if (!parser_.is_header_done() && HeadSize(*input) == 0) {
      return AwaitHead(*input);
    }
    if (!Reserve(*input)) {
      return ReadStep::kNoRoom;
    }
    // The parser stops behind the head, so that the body is charged before it
    // is allocated.
    parser_.eager(parser_.is_header_done());
    boost::system::error_code error;
    const size_t taken = parser_.put(boost::asio::buffer(*input), error);
    input->erase(0, taken);
    const bool needs_more = error == http::error::need_more;
    const bool is_unbounded =
        parser_.is_header_done() && input->size() > kMaxUnparsedBytes;
    if (error && (!needs_more || is_unbounded)) {
      status_ = needs_more ? kBadRequest : StatusOf(error);
      return ReadStep::kFailed;
    }
    if (parser_.is_done()) {
      return ReadStep::kComplete;
    }
    if (taken == 0 || needs_more) {
      return ReadStep::kNeedsMore;
    }
  }
  return ReadStep::kNeedsMore;
}

// The parser would store the lines that are whole, each at many times its
// bytes, before the cost of the head is known.
ReadStep RequestReader::AwaitHead(const std::string& input) {
  if (input.size() <= max_head_bytes_) {
    return ReadStep::kNeedsMore;
  }
  status_ = kHeadTooLarge;
  return ReadStep::kFailed;
}

bool RequestReader::Reserve(const std::string& input) {
  if (!parser_.is_header_done()) {
    // The parser takes the head as a whole.
    const size_t size = HeadSize(input);
    const bool is_taken = size > 0 && size <= max_head_bytes_;
    return !is_taken ||
           TryCharge(&charge_.head_,
                     HeadCost(absl::string_view(input).substr(0, size)));
  }
  if (parser_.chunked()) {
    return ReserveChunks(input.size());
  }
  if (!has_body_room_) {
    const size_t length = parser_.content_length().value_or(0);
    has_body_room_ = TryCharge(&charge_.body_, BodyCost(length));
  }
  return has_body_room_;
}

bool RequestReader::ReserveChunks(size_t next_bytes) {
  std::string& body = parser_.get().body();
  const std::optional<size_t> capacity =
      NeededCapacity(body, next_bytes, max_body_bytes_);
  if (!capacity.has_value()) {
    return true;
  }
  // The charge for the copy covers the old buffer while both exist.
  if (!TryCharge(&charge_.body_, BodyCost(*capacity))) {
    return false;
  }
  Enlarge(&body, *capacity);
  return true;
}

bool RequestReader::TryCharge(ByteCharge* charge, size_t bytes) {
  const ByteUse use = UseOf(charge_.bytes() - charge->bytes() + bytes);
  is_small_ = use == ByteUse::kSmall;
  missing_bytes_ = bytes - std::min(bytes, charge->bytes());
  return charge->TryResize(bytes, use);
}

state::HttpRequest RequestReader::Take() {
  auto& message = parser_.get();
  return state::HttpRequest{
      .method_ = std::string(message.method_string()),
      .path_ = std::string(message.target()),
      .headers_ = HeadersOf(message),
      .body_ = ChargedBytes(std::move(message.body()), std::move(charge_))};
}

bool RequestReader::wants_continue() const {
  return parser_.is_header_done() &&
         absl::EqualsIgnoreCase(std::string(parser_.get()[http::field::expect]),
                                "100-continue");
}

bool RequestReader::answer_has_body() const {
  return parser_.get().method() != http::verb::head;
}

}  // namespace gooseberrygap::transport
