#include "transport/internal/call_connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/match.h"
#include "transport/internal/http_message.h"

namespace gooseberrygap::transport {

namespace {

namespace http = boost::beast::http;

constexpr size_t kReadBytes = 16384;
// Bytes read before they are parsed and other connections get their turn: a
// caller that sends without end must not keep the thread.
constexpr size_t kMaxReadBytesPerTurn = 65536;
// Bytes after the head that may wait for the end of a chunk's size line or of
// the trailer. The parser limits heads and bodies only.
constexpr size_t kMaxUnparsedBytes = 65536;
// Requests read ahead of answers on one connection.
constexpr size_t kMaxPending = 64;
// How long a closed connection is read further, so that bytes in flight do not
// reset it before the caller has read the last answer.
constexpr state::Millis kLingerTime(1000);

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::body_limit) {
    return kTooLarge;
  }
  return error == http::error::header_limit ? kHeadTooLarge : kBadRequest;
}

}  // namespace

CallConnection::CallConnection(Descriptor socket,
                               size_t listener,
                               state::Millis now)
    : socket_(std::move(socket)), listener_(listener), last_used_(now) {}

void CallConnection::Read(const state::CallerLimits& limits,
                          const Take& take,
                          state::Millis now) {
  const bool is_open = Receive();
  if (stopped_reading_) {
    input_.clear();
  }
  if (lingering_) {
    done_ = done_ || !is_open;
    return;
  }
  if (!input_.empty()) {
    last_used_ = now;
  }
  if (is_open) {
    Parse(limits, take, now);
    return;
  }
  // What was sent ahead of a close is not wanted any more.
  caller_left_ = !pending_.empty();
  done_ = true;
}

bool CallConnection::Receive() {
  std::array<char, kReadBytes> buffer;
  for (size_t received = 0; received < kMaxReadBytesPerTurn;) {
    const ssize_t count = recv(socket_.get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
      received += count;
      input_.append(buffer.data(), count);
      if (static_cast<size_t>(count) < buffer.size()) {
        return true;
      }
      continue;
    }
    if (count < 0 && errno == EINTR) {
      continue;
    }
    return count < 0 && errno == EAGAIN;
  }
  return true;
}

void CallConnection::Parse(const state::CallerLimits& limits,
                           const Take& take,
                           state::Millis now) {
  while (!input_.empty() && !stopped_reading_ &&
         pending_.size() < kMaxPending) {
    if (parser_ == nullptr) {
      StartParser(limits, now);
    }
    boost::system::error_code error;
    const size_t taken = parser_->put(boost::asio::buffer(input_), error);
    input_.erase(0, taken);
    const bool is_unbounded =
        parser_->is_header_done() && input_.size() > kMaxUnparsedBytes;
    if (error == http::error::need_more && is_unbounded) {
      Refuse(kBadRequest);
      return;
    }
    if (error && error != http::error::need_more) {
      Refuse(StatusOf(error));
      return;
    }
    if (parser_->is_done()) {
      TakeRequest(take);
      continue;
    }
    const bool wants_continue =
        parser_->is_header_done() && !sent_continue_ && pending_.empty() &&
        absl::EqualsIgnoreCase(std::string(parser_->get()[http::field::expect]),
                               "100-continue");
    if (wants_continue) {
      sent_continue_ = true;
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    if (taken == 0 || error == http::error::need_more) {
      return;
    }
  }
  if (input_.empty()) {
    input_ = std::string();
  }
}

void CallConnection::StartParser(const state::CallerLimits& limits,
                                 state::Millis now) {
  parser_ = std::make_unique<Parser>();
  parser_->eager(true);
  parser_->header_limit(static_cast<uint32_t>(limits.max_header_bytes_));
  parser_->body_limit(static_cast<uint64_t>(limits.max_body_bytes_));
  sent_continue_ = false;
  message_began_ = now;
}

void CallConnection::TakeRequest(const Take& take) {
  const std::unique_ptr<Parser> parser = std::move(parser_);
  auto& message = parser->get();
  Pending pending{.has_body_ = message.method() != http::verb::head,
                  .closes_ = !parser->keep_alive()};
  stopped_reading_ = pending.closes_ || closes_after_pending_;
  const state::HttpRequest request{
      .method_ = std::string(message.method_string()),
      .path_ = std::string(message.target()),
      .headers_ = HeadersOf(message),
      .body_ = state::Bytes(std::move(message.body()))};
  pending.request_id_ = take(request);
  pending_.push_back(std::move(pending));
}

void CallConnection::Refuse(int status) {
  parser_.reset();
  input_ = std::string();
  stopped_reading_ = true;
  pending_.push_back(Pending{.closes_ = true,
                             .answer_ = state::HttpAnswer{.status_ = status}});
}

void CallConnection::Answer(uint64_t request_id,
                            const state::HttpAnswer& answer) {
  for (Pending& pending : pending_) {
    if (pending.request_id_ == request_id && !pending.answer_.has_value()) {
      pending.answer_.emplace(answer);
      return;
    }
  }
}

void CallConnection::Flush(state::Millis now) {
  while (!pending_.empty() && pending_.front().answer_.has_value() &&
         !closing_) {
    const Pending& next = pending_.front();
    const bool is_last = closes_after_pending_ && pending_.size() == 1;
    closing_ = next.closes_ || is_last;
    output_ +=
        PrintAnswer(*next.answer_, next.has_body_,
                    closing_ ? AfterAnswer::kClose : AfterAnswer::kKeepOpen);
    pending_.pop_front();
    last_used_ = now;
  }
  while (waits_to_write()) {
    const ssize_t count = send(socket_.get(), output_.data() + sent_,
                               output_.size() - sent_, MSG_NOSIGNAL);
    if (count < 0) {
      const bool can_wait = errno == EAGAIN || errno == EINTR;
      caller_left_ = caller_left_ || (!can_wait && !pending_.empty());
      done_ = done_ || !can_wait;
      return;
    }
    sent_ += count;
  }
  output_ = std::string();
  sent_ = 0;
  if (closing_ && !lingering_) {
    shutdown(socket_.get(), SHUT_WR);
    lingering_ = true;
    stopped_reading_ = true;
    last_used_ = now;
  }
}

void CallConnection::CheckTime(const state::CallerLimits& limits,
                               state::Millis now) {
  if (lingering_) {
    done_ = done_ || now - last_used_ >= kLingerTime;
    return;
  }
  const bool reads_head = parser_ != nullptr && !parser_->is_header_done();
  const bool is_late =
      (reads_head && now - message_began_ >= limits.header_timeout_) ||
      (parser_ != nullptr && reading_limit_.has_value() &&
       now >= *reading_limit_);
  if (is_late) {
    Refuse(kRequestTimeout);
    return;
  }
  if (!is_busy() && now - last_used_ >= limits.idle_timeout_) {
    done_ = true;
  }
}

void CallConnection::CloseAfterPending() {
  closes_after_pending_ = true;
  if (!pending_.empty()) {
    parser_.reset();
    input_ = std::string();
    stopped_reading_ = true;
  }
}

void CallConnection::LimitReading(state::Millis limit) {
  reading_limit_ = limit;
}

void CallConnection::CloseIfIdle() {
  if (!is_busy() && parser_ == nullptr && input_.empty() && !lingering_) {
    done_ = true;
  }
}

bool CallConnection::waits_to_read() const {
  return lingering_ || (!stopped_reading_ && pending_.size() < kMaxPending);
}

std::vector<uint64_t> CallConnection::Unanswered() const {
  std::vector<uint64_t> requests;
  for (const Pending& pending : pending_) {
    if (!pending.answer_.has_value()) {
      requests.push_back(pending.request_id_);
    }
  }
  return requests;
}

}  // namespace gooseberrygap::transport
