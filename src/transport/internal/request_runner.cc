#include "transport/internal/request_runner.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "protocol/protocol.h"
#include "transport/internal/body_buffer.h"

namespace gooseberrygap::transport {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;
// Bytes of an answer that are copied to the stream's output at a time. httplib
// would copy the body as a whole, into its response and into the output.
constexpr size_t kPieceBytes = 65536;

constexpr char kAnyPath[] = "/";
constexpr char kContentLength[] = "Content-Length";

struct StatusText {
  const int status_;
  const absl::string_view text_;
};

constexpr StatusText kRefusals[] = {
    {kBadRequest, "Bad Request"},
    {kRequestTimeout, "Request Timeout"},
    {kHeadersTooLarge, "Request Header Fields Too Large"},
    {kUnavailable, "Service Unavailable"},
};

}  // namespace

std::string RefusalResponse(int status,
                            const std::vector<state::HttpHeader>& headers) {
  std::string response = absl::StrCat("HTTP/1.1 ", status, " ");
  for (const StatusText& refusal : kRefusals) {
    if (refusal.status_ == status) {
      absl::StrAppend(&response, refusal.text_);
    }
  }
  for (const state::HttpHeader& header : headers) {
    absl::StrAppend(&response, "\r\n", header.name_, ": ", header.value_);
  }
  absl::StrAppend(&response,
                  "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  return response;
}

RequestRunner::RequestRunner(const HttpServer::Options& options,
                             const HttpServer::Handler& handler,
                             const std::atomic<bool>& stopping,
                             state::Counters* counters)
    : options_(options),
      handler_(handler),
      stopping_(stopping),
      counters_(counters) {
  Post(kAnyPath, [this](const httplib::Request&, httplib::Response& response,
                        const httplib::ContentReader& read_content) {
    Answer(&response, read_content);
  });
  set_post_routing_handler(
      [this](const httplib::Request&, httplib::Response& response) {
        FinishHeaders(&response);
      });
}

ConnectionFate RequestRunner::Serve(HttpConnection* connection) {
  const ConnectionFate fate = ServeNext(connection);
  // A worker without work holds nothing.
  exchange_.reset();
  return fate;
}

ConnectionFate RequestRunner::ServeNext(HttpConnection* connection) {
  SocketStream& stream = connection->stream();
  stream.BeginMessage(clock_.Now() + options_.request_timeout_);
  if (!stream.LoadHead()) {
    return Refuse(connection);
  }
  exchange_.emplace();
  exchange_->connection_ = connection;
  exchange_->charge_.emplace(options_.account_);
  const size_t head_cost = HeadCost(stream.head());
  if (!exchange_->charge_->head_.TryResize(head_cost, UseOf(head_cost))) {
    return SendRefusal(connection, kUnavailable);
  }
  bool connection_closed = false;
  process_request(stream, false, connection_closed,
                  [this](httplib::Request& request) { TakeHead(&request); });
  if (!exchange_->answer_ && exchange_->refusal_ != kUnavailable) {
    counters_->Add(state::Counter::kHttpRequestsMalformed);
  }
  stream.SetDeadline(clock_.Now() + options_.request_timeout_);
  const bool is_sent = SendBody(&stream) && stream.Flush();
  if (!is_sent) {
    return ConnectionFate::kClosed;
  }
  if (!exchange_->closes_) {
    return ConnectionFate::kKept;
  }
  stream.FillAvailable();
  const bool has_unread = !exchange_->answer_ || !stream.buffered().empty();
  return has_unread ? ConnectionFate::kLingers : ConnectionFate::kClosed;
}

ConnectionFate RequestRunner::Refuse(HttpConnection* connection) {
  SocketStream& stream = connection->stream();
  const bool too_large = stream.end() == StreamEnd::kHeadTooLarge;
  if (!too_large && stream.end() != StreamEnd::kHeadMalformed) {
    return ConnectionFate::kClosed;
  }
  counters_->Add(state::Counter::kHttpRequestsMalformed);
  return SendRefusal(connection, too_large ? kHeadersTooLarge : kBadRequest);
}

ConnectionFate RequestRunner::SendRefusal(HttpConnection* connection,
                                          int status) {
  if (status == kUnavailable) {
    counters_->Add(state::RefusalReason::kMemoryPressure);
  }
  connection->stream().SendRefusal(
      RefusalResponse(status, RefusalHeaders(status)));
  return ConnectionFate::kLingers;
}

std::vector<state::HttpHeader> RequestRunner::RefusalHeaders(int status) const {
  std::vector<state::HttpHeader> headers = options_.refusal_headers_;
  if (status == kUnavailable) {
    const absl::string_view reason =
        state::NameOf(state::RefusalReason::kMemoryPressure);
    headers.push_back(
        {.name_ = std::string(protocol::kOutcomeHeader), .value_ = "not-run"});
    headers.push_back({.name_ = std::string(protocol::kReasonHeader),
                       .value_ = std::string(reason)});
    headers.push_back({.name_ = "Retry-After", .value_ = "1"});
  }
  return headers;
}

void RequestRunner::TakeHead(httplib::Request* request) {
  exchange_->method_ = request->method;
  exchange_->path_ = request->target;
  exchange_->headers_ = EndToEndHeaders(request->headers);
  exchange_->framing_ = FramingOf(request->headers, &exchange_->length_);
  const bool old_version = request->version == "HTTP/1.0";
  exchange_->closes_ =
      HasConnectionToken(request->headers, "close") ||
      (old_version && !HasConnectionToken(request->headers, "keep-alive"));
  httplib::Headers shown;
  if (exchange_->framing_ == Framing::kChunked) {
    shown.emplace("Transfer-Encoding", "chunked");
    exchange_->connection_->stream().ExpectChunks();
  } else {
    // Without a length httplib would read until the connection ends.
    shown.emplace(kContentLength, absl::StrCat(exchange_->length_));
  }
  const auto expect = request->headers.find("Expect");
  if (expect != request->headers.end() &&
      exchange_->framing_ != Framing::kInvalid &&
      exchange_->length_ <= options_.max_body_bytes_) {
    shown.insert(*expect);
  }
  request->method = "POST";
  request->path = kAnyPath;
  request->headers = std::move(shown);
  request->ranges.clear();
}

void RequestRunner::Answer(httplib::Response* response,
                           const httplib::ContentReader& read_content) {
  std::string body;
  const int refusal = ReadBody(read_content, &body);
  if (refusal != 0) {
    if (refusal == kUnavailable) {
      counters_->Add(state::RefusalReason::kMemoryPressure);
    }
    exchange_->refusal_ = refusal;
    response->status = refusal;
    return;
  }
  exchange_->answer_.emplace(handler_(
      {.method_ = exchange_->method_,
       .path_ = exchange_->path_,
       .headers_ = exchange_->headers_,
       .body_ = ChargedBytes(std::move(body), std::move(*exchange_->charge_))},
      HttpCaller(exchange_->connection_->stream().descriptor())));
  response->status = exchange_->answer_->status_;
  const state::Bytes& answer_body = exchange_->answer_->body_;
  const size_t output =
      std::min(answer_body.size(), SocketStream::kMaxOutputBytes + kPieceBytes);
  const bool is_charged = options_.account_->IsCharged(answer_body);
  exchange_->answer_charge_.emplace(options_.account_, HeldKind::kAnswers);
  exchange_->answer_charge_->Resize(output +
                                    (is_charged ? 0 : answer_body.size()));
}

bool RequestRunner::SendBody(SocketStream* stream) {
  if (!exchange_->answer_ || !HasBody(exchange_->answer_->status_)) {
    return true;
  }
  const absl::string_view body = exchange_->answer_->body_.view();
  for (size_t sent = 0; sent < body.size(); sent += kPieceBytes) {
    const absl::string_view piece = body.substr(sent, kPieceBytes);
    if (stream->write(piece.data(), piece.size()) < 0) {
      return false;
    }
  }
  return true;
}

int RequestRunner::ReadBody(const httplib::ContentReader& read_content,
                            std::string* body) {
  if (exchange_->framing_ == Framing::kInvalid) {
    return kBadRequest;
  }
  const size_t max_bytes = options_.max_body_bytes_;
  bool too_large = exchange_->length_ > max_bytes;
  if (too_large) {
    return kPayloadTooLarge;
  }
  if (exchange_->length_ > 0) {
    if (!ChargeBody(exchange_->length_)) {
      return kUnavailable;
    }
    body->reserve(exchange_->length_);
  }
  bool has_room = true;
  const bool whole = read_content([&](const char* bytes, size_t size) {
    too_large = body->size() + size > max_bytes;
    if (too_large) {
      return false;
    }
    const std::optional<size_t> capacity =
        NeededCapacity(*body, size, max_bytes);
    has_room = !capacity.has_value() || ChargeBody(*capacity);
    if (!has_room) {
      return false;
    }
    if (capacity.has_value()) {
      Enlarge(body, *capacity);
    }
    body->append(bytes, size);
    return true;
  });
  if (too_large) {
    return kPayloadTooLarge;
  }
  if (!has_room) {
    return kUnavailable;
  }
  const SocketStream& stream = exchange_->connection_->stream();
  if (whole && stream.ChunksComplete()) {
    return 0;
  }
  return stream.end() == StreamEnd::kTimeout ? kRequestTimeout : kBadRequest;
}

bool RequestRunner::ChargeBody(size_t capacity) {
  RequestCharge& charge = *exchange_->charge_;
  const size_t cost = BodyCost(capacity);
  return charge.body_.TryResize(cost, UseOf(charge.head_.bytes() + cost));
}

void RequestRunner::FinishHeaders(httplib::Response* response) {
  const std::vector<state::HttpHeader> headers =
      exchange_->answer_ ? exchange_->answer_->headers_
                         : RefusalHeaders(exchange_->refusal_);
  response->headers.clear();
  for (const state::HttpHeader& header : EndToEndHeaders(headers)) {
    response->set_header(header.name_, header.value_);
  }
  if (HasBody(response->status)) {
    const size_t length =
        exchange_->answer_ ? exchange_->answer_->body_.size() : 0;
    response->set_header(kContentLength, absl::StrCat(length));
  } else {
    for (const state::HttpHeader& header : headers) {
      if (absl::EqualsIgnoreCase(header.name_, kContentLength)) {
        response->set_header(kContentLength, header.value_);
      }
    }
  }
  exchange_->closes_ = ShouldClose();
  if (exchange_->closes_) {
    response->set_header("Connection", "close");
  }
}

bool RequestRunner::HasBody(int status) const {
  return exchange_->method_ != "HEAD" && status >= 200 &&
         status != kNoContent && status != kNotModified;
}

bool RequestRunner::ShouldClose() {
  if (!exchange_->answer_ || exchange_->closes_) {
    return true;
  }
  // A request that has begun to arrive behind the first one that ends after the
  // stop is answered as well. Later ones are not, so that a caller that sends
  // on does not keep the server from ending.
  return stopping_.load() && exchange_->connection_->HasReadWhatHadCome();
}

}  // namespace gooseberrygap::transport
