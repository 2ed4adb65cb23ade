#include "transport/internal/target_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <utility>

#include "absl/strings/match.h"
#include "transport/internal/http_head.h"

namespace gooseberrygap::transport {

namespace {

constexpr size_t kMaxAnswerHeadBytes = 65536;
constexpr int kNotModified = 304;
constexpr int kSwitchingProtocols = 101;

// Waits for a started connect. Returns whether it succeeded.
bool AwaitConnect(int fd, state::Millis deadline) {
  const state::SteadyClock clock;
  pollfd entry = {.fd = fd, .events = POLLOUT, .revents = 0};
  int ready = 0;
  for (double left = 1; ready <= 0 && left > 0;) {
    left = (deadline - clock.Now()).value();
    ready = poll(&entry, 1, static_cast<int>(std::ceil(std::max(left, 0.0))));
  }
  int error = 0;
  socklen_t size = sizeof error;
  return ready > 0 &&
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
         error == 0 && (entry.revents & POLLHUP) == 0;
}

// Without this check a line end in a value would start another header.
bool IsSendable(const state::HttpRequest& request) {
  const auto& headers = request.headers_;
  return !request.method_.empty() && !request.path_.empty() &&
         IsHeadText(request.method_) && IsHeadText(request.path_) &&
         !absl::StrContains(request.path_, ' ') &&
         std::all_of(headers.begin(), headers.end(), [](const auto& header) {
           return IsHeadText(header.name_) && IsHeadText(header.value_);
         });
}

httplib::Request RequestFor(const state::HttpRequest& request) {
  httplib::Request converted;
  converted.method = request.method_;
  converted.path = request.path_;
  for (const state::HttpHeader& header : EndToEndHeaders(request.headers_)) {
    converted.headers.emplace(header.name_, header.value_);
  }
  if (!request.body_.empty()) {
    // A provider and not the body member, which would copy the body and add a
    // Content-Type of httplib's choice.
    converted.content_length_ = request.body_.size();
    converted.content_provider_ = [body = request.body_](
                                      size_t offset, size_t length,
                                      httplib::DataSink& sink) {
      return sink.write(body.view().data() + offset, length);
    };
  }
  return converted;
}

// What is learned of an answer while it is read.
struct AnswerInProgress {
  const std::string method_;
  const size_t max_bytes_;
  SocketStream* const stream_;
  bool whole_without_body_ = false;
  std::string body_;

  // Returns whether the body can be read to an end that is certain.
  bool TakeHead(const httplib::Response& response) {
    if (response.status == kNotModified) {
      whole_without_body_ = true;
      return false;
    }
    size_t length = 0;
    const Framing framing = FramingOf(response.headers, &length);
    if (framing == Framing::kChunked) {
      stream_->ExpectChunks();
    }
    // Where only the end of the connection ends the body, an answer that was
    // cut cannot be told from a whole one.
    return response.status != kSwitchingProtocols &&
           (framing == Framing::kChunked ||
            (framing == Framing::kLength && length <= max_bytes_));
  }

  bool TakeBody(const char* bytes, size_t size) {
    if (body_.size() + size > max_bytes_) {
      return false;
    }
    body_.append(bytes, size);
    return true;
  }

  state::HttpAnswer ToAnswer(const httplib::Response& response) {
    std::vector<state::HttpHeader> headers = EndToEndHeaders(response.headers);
    const auto length = response.headers.find("Content-Length");
    // Without a body the length is information of the target's own.
    if ((method_ == "HEAD" || whole_without_body_) &&
        length != response.headers.end()) {
      headers.push_back({.name_ = length->first, .value_ = length->second});
    }
    return {.status_ = response.status,
            .headers_ = std::move(headers),
            .body_ = state::Bytes(std::move(body_))};
  }
};

}  // namespace

Descriptor OpenTargetSocket(const SocketAddress& address) {
  Descriptor opened(socket(address.storage_.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(opened.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return opened;
}

bool ConnectTargetSocket(const Descriptor& socket,
                         const SocketAddress& address,
                         state::Millis deadline) {
  return connect(socket.get(), address.get(), address.size_) == 0 ||
         (errno == EINPROGRESS && AwaitConnect(socket.get(), deadline));
}

TargetConnection::TargetConnection(const SocketAddress& parsed,
                                   std::string address,
                                   Descriptor socket)
    : httplib::ClientImpl(parsed.host_, parsed.port_),
      address_(std::move(address)),
      stream_(std::move(socket), MessageKind::kResponse, kMaxAnswerHeadBytes),
      last_used_(clock_.Now()) {
  set_url_encode(false);
  set_decompress(false);
}

DeliveryEnded TargetConnection::Exchange(
    const coordination::DeliverToTarget& delivery,
    state::Millis deadline,
    size_t max_answer_bytes) {
  const uint64_t id = delivery.delivery_id_;
  keep_alive_ = false;
  stream_.BeginMessage(deadline);
  if (!IsSendable(delivery.request_)) {
    return {.delivery_id_ = id, .end_ = DeliveryEnd::kConnectFailed};
  }
  AnswerInProgress answer = {.method_ = delivery.request_.method_,
                             .max_bytes_ = max_answer_bytes,
                             .stream_ = &stream_};
  httplib::Request request = RequestFor(delivery.request_);
  request.response_handler = [&](const httplib::Response& response) {
    return answer.TakeHead(response);
  };
  request.content_receiver = [&](const char* bytes, size_t size, uint64_t,
                                 uint64_t) {
    return answer.TakeBody(bytes, size);
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool whole =
      process_request(stream_, request, response, false, error) &&
      stream_.ChunksComplete();
  last_used_ = clock_.Now();
  if (!whole && !answer.whole_without_body_) {
    return {
        .delivery_id_ = id, .end_ = EndOfFailed(), .sent_ = stream_.has_sent()};
  }
  keep_alive_ = response.version == "HTTP/1.1" &&
                !HasConnectionToken(response.headers, "close");
  return {
      .delivery_id_ = id, .answer_ = answer.ToAnswer(response), .sent_ = true};
}

DeliveryEnd TargetConnection::EndOfFailed() const {
  if (!stream_.has_sent()) {
    return DeliveryEnd::kConnectFailed;
  }
  return stream_.end() == StreamEnd::kTimeout ? DeliveryEnd::kTimeout
                                              : DeliveryEnd::kCut;
}

bool TargetConnection::CanReuse() {
  return keep_alive_ && stream_.buffered().empty() &&
         !stream_.FillAvailable() && stream_.end() == StreamEnd::kOpen;
}

}  // namespace gooseberrygap::transport
