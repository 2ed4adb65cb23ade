#include "transport/internal/request_runner.h"

#include <sys/socket.h>

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace gooseberrygap::transport {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

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
  SocketStream& stream = connection->stream();
  stream.BeginMessage(clock_.Now() + options_.request_timeout_);
  if (!stream.LoadHead()) {
    return Refuse(connection);
  }
  exchange_.emplace();
  exchange_->connection_ = connection;
  bool connection_closed = false;
  process_request(stream, false, connection_closed,
                  [this](httplib::Request& request) { TakeHead(&request); });
  if (!exchange_->answer_) {
    counters_->Add(state::Counter::kHttpRequestsMalformed);
  }
  stream.SetDeadline(clock_.Now() + options_.request_timeout_);
  if (!stream.Flush()) {
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
  stream.SendRefusal(RefusalResponse(too_large ? kHeadersTooLarge : kBadRequest,
                                     options_.refusal_headers_));
  return ConnectionFate::kLingers;
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
    response->status = refusal;
    return;
  }
  exchange_->answer_.emplace(
      handler_({.method_ = exchange_->method_,
                .path_ = exchange_->path_,
                .headers_ = exchange_->headers_,
                .body_ = state::Bytes(std::move(body))}));
  response->status = exchange_->answer_->status_;
  if (HasBody(response->status)) {
    response->body = exchange_->answer_->body_.ToString();
  }
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
  const bool whole = read_content([&](const char* bytes, size_t size) {
    too_large = body->size() + size > max_bytes;
    if (!too_large) {
      body->append(bytes, size);
    }
    return !too_large;
  });
  if (too_large) {
    return kPayloadTooLarge;
  }
  const SocketStream& stream = exchange_->connection_->stream();
  if (whole && stream.ChunksComplete()) {
    return 0;
  }
  return stream.end() == StreamEnd::kTimeout ? kRequestTimeout : kBadRequest;
}

void RequestRunner::FinishHeaders(httplib::Response* response) {
  const std::vector<state::HttpHeader>& headers =
      exchange_->answer_ ? exchange_->answer_->headers_
                         : options_.refusal_headers_;
  response->headers.clear();
  for (const state::HttpHeader& header : EndToEndHeaders(headers)) {
    response->set_header(header.name_, header.value_);
  }
  if (HasBody(response->status)) {
    response->set_header(kContentLength, absl::StrCat(response->body.size()));
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
