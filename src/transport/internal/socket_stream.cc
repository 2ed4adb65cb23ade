#include "transport/internal/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <utility>

#include "transport/internal/http_head.h"
#include "transport/internal/release_buffer.h"

namespace gooseberrygap::transport {

namespace {

constexpr size_t kReadBytes = 16384;
// Upper bound of one sleep, so that the milliseconds fit an int.
constexpr double kLongestWaitMs = 3600000;

bool IsRetryable(int code) {
  return code == EAGAIN || code == EINTR;
}

}  // namespace

SocketStream::SocketStream(Descriptor socket, size_t max_head_bytes)
    : socket_(std::move(socket)), max_head_bytes_(max_head_bytes) {}

void SocketStream::BeginMessage(state::Millis deadline) {
  deadline_ = deadline;
  has_sent_ = false;
  head_loaded_ = false;
  chunks_.reset();
  head_.clear();
  head_position_ = 0;
}

void SocketStream::ReleaseBuffers() {
  ReleaseBuffer(&head_);
  head_position_ = 0;
  if (buffered().empty()) {
    ReleaseBuffer(&input_);
    position_ = 0;
  }
}

bool SocketStream::LoadHead() {
  while (!head_loaded_) {
    const size_t size = HeadSize(buffered());
    if ((size == 0 ? buffered().size() : size) > max_head_bytes_) {
      end_ = StreamEnd::kHeadTooLarge;
      return false;
    }
    if (size > 0 && !TakeHead(size)) {
      return false;
    }
    if (size == 0 && !FillWaiting()) {
      return false;
    }
  }
  return true;
}

bool SocketStream::TakeHead(size_t size) {
  const absl::string_view head = buffered().substr(0, size);
  head_ = EscapeHead(head);
  if (!IsWellFormedHead(head)) {
    end_ = StreamEnd::kHeadMalformed;
    return false;
  }
  if (!FitsLineLimit(head_)) {
    end_ = StreamEnd::kHeadTooLarge;
    return false;
  }
  head_loaded_ = true;
  Discard(size);
  return true;
}

bool SocketStream::FillAvailable() {
  std::array<char, kReadBytes> bytes;
  const ssize_t count =
      recv(socket_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count > 0) {
    input_.erase(0, std::exchange(position_, 0));
    input_.append(bytes.data(), count);
    received_ += count;
  } else if (count == 0) {
    end_ = StreamEnd::kClosed;
  } else if (!IsRetryable(errno)) {
    end_ = StreamEnd::kFailed;
  }
  return count > 0;
}

bool SocketStream::FillWaiting() {
  while (end_ == StreamEnd::kOpen) {
    if (FillAvailable()) {
      return true;
    }
    if (end_ == StreamEnd::kOpen && !WaitFor(POLLIN)) {
      end_ = StreamEnd::kTimeout;
    }
  }
  return false;
}

bool SocketStream::WaitFor(short event) {
  pollfd entry = {.fd = socket_.get(), .events = event, .revents = 0};
  while (true) {
    const double left = (deadline_ - clock_.Now()).value();
    if (left <= 0) {
      return false;
    }
    const double wait_ms = std::ceil(std::min(left, kLongestWaitMs));
    if (poll(&entry, 1, static_cast<int>(wait_ms)) > 0) {
      return true;
    }
  }
}

bool SocketStream::Flush() {
  size_t sent = 0;
  // The answer to a request that was cut off or came too slowly is still sent.
  while (sent < output_.size() && end_ != StreamEnd::kFailed) {
    const ssize_t count =
        send(socket_.get(), output_.data() + sent, output_.size() - sent,
             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      has_sent_ = true;
      sent += count;
    } else if (!IsRetryable(errno)) {
      end_ = StreamEnd::kFailed;
    } else if (!WaitFor(POLLOUT)) {
      end_ = StreamEnd::kTimeout;
      break;
    }
  }
  const bool whole = sent == output_.size();
  // An idle connection keeps no large buffer.
  ReleaseBuffer(&output_);
  return whole;
}

void SocketStream::SendRefusal(const std::string& response) {
  send(socket_.get(), response.data(), response.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
}

void SocketStream::Discard(size_t count) {
  position_ += count;
}

ssize_t SocketStream::read(char* ptr, size_t size) {
  if (!Flush() || !LoadHead()) {
    return -1;
  }
  if (head_position_ < head_.size()) {
    const size_t count = std::min(size, head_.size() - head_position_);
    memcpy(ptr, head_.data() + head_position_, count);
    head_position_ += count;
    return static_cast<ssize_t>(count);
  }
  if (buffered().empty() && !FillWaiting()) {
    return end_ == StreamEnd::kClosed ? 0 : -1;
  }
  const size_t count = std::min(size, buffered().size());
  memcpy(ptr, buffered().data(), count);
  if (chunks_) {
    chunks_->Take(buffered().substr(0, count));
  }
  Discard(count);
  if (chunks_ && chunks_->failed()) {
    // httplib would read a size line or a trailer without end.
    end_ = StreamEnd::kBodyMalformed;
    return -1;
  }
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* ptr, size_t size) {
  output_.append(ptr, size);
  if (output_.size() >= kMaxOutputBytes && !Flush()) {
    return -1;
  }
  return static_cast<ssize_t>(size);
}

// The addresses are of no use to the handlers, which never see them.
void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

}  // namespace gooseberrygap::transport
