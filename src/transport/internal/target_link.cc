#include "transport/internal/target_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "transport/internal/http_message.h"
#include "transport/internal/release_buffer.h"
#include "transport/internal/socket_address.h"

namespace gooseberrygap::transport {

namespace {

constexpr size_t kReadBytes = 16384;
// Bytes read before they are parsed and other connections get their turn: a
// target that sends without end must not keep the thread.
constexpr size_t kMaxReadBytesPerTurn = 65536;

}  // namespace

std::unique_ptr<TargetLink> TargetLink::Connect(
    const std::string& address,
    const TargetClient::Options* options,
    AnswerRoom* room) {
  const state::Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed) {
    return nullptr;
  }
  Descriptor opened(socket(parsed.value().storage_.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(opened.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (!opened.valid() ||
      (connect(opened.get(), parsed.value().get(), parsed.value().size_) != 0 &&
       errno != EINPROGRESS)) {
    return nullptr;
  }
  return std::unique_ptr<TargetLink>(
      new TargetLink(std::move(opened), address, options, room));
}

TargetLink::TargetLink(Descriptor socket,
                       std::string address,
                       const TargetClient::Options* options,
                       AnswerRoom* room)
    : socket_(std::move(socket)),
      address_(std::move(address)),
      options_(options),
      room_(room) {}

TargetLink::~TargetLink() {
  room_->Finish(descriptor());
}

void TargetLink::Begin(const coordination::DeliverToTarget& delivery,
                       state::Millis deadline) {
  delivery_ = std::make_unique<const coordination::DeliverToTarget>(delivery);
  deadline_ = deadline;
  request_head_ = delivery.connect_only_
                      ? std::string()
                      : PrintRequestHead(delivery.request_, address_);
  request_bytes_ = delivery.connect_only_
                       ? 0
                       : request_head_.size() + delivery.request_.body_.size();
  sent_ = 0;
  can_send_ = true;
  was_reset_ = false;
  read_end_ = ReadEnd::kOpen;
  received_bytes_ = 0;
  reusable_ = false;
  has_answer_head_ = false;
  skipped_bytes_ = 0;
  StartParser();
}

std::optional<DeliveryEnded> TargetLink::Progress(state::Millis now) {
  if (!connected_ && !FinishConnect()) {
    // Still connecting, or the connection was refused.
    return errno == EINPROGRESS
               ? std::nullopt
               : std::optional(End(DeliveryEnd::kConnectFailed));
  }
  if (!has_delivery()) {
    return std::nullopt;
  }
  if (delivery_->connect_only_) {
    return End(DeliveryEnd::kAnswered);
  }
  const std::optional<state::Millis>& send_before = delivery_->send_before_;
  if (sent_ == 0 && send_before.has_value() && now >= *send_before) {
    return Abandon(DeliveryEnd::kTooLateToSend);
  }
  can_send_ = can_send_ && SendRest();
  Receive();
  std::optional<DeliveryEnded> end = Parse(now);
  if (end.has_value()) {
    return end;
  }
  // A target that closes before it has read the request may have answered: what
  // has arrived is read to its end.
  ChargeRest();
  return std::nullopt;
}

bool TargetLink::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  sockaddr_storage peer = {};
  socklen_t peer_size = sizeof peer;
  getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    errno = error;
    return false;
  }
  if (getpeername(socket_.get(), reinterpret_cast<sockaddr*>(&peer),
                  &peer_size) != 0) {
    errno = EINPROGRESS;
    return false;
  }
  connected_ = true;
  return true;
}

// Returns false when the connection takes no more bytes for good.
bool TargetLink::SendRest() {
  while (sent_ < request_bytes_) {
    const ssize_t count = SendNext();
    if (count < 0) {
      was_reset_ = errno == ECONNRESET;
      return errno == EAGAIN || errno == EINTR;
    }
    sent_ += count;
  }
  return true;
}

ssize_t TargetLink::SendNext() const {
  // The body stays where it is: a copy would double the memory of a large one.
  const absl::string_view body = delivery_->request_.body_.view();
  const size_t head_sent = std::min(sent_, request_head_.size());
  const absl::string_view head =
      absl::string_view(request_head_).substr(head_sent);
  const absl::string_view rest = body.substr(sent_ - head_sent);
  std::array<iovec, 2> parts = {
      iovec{.iov_base = const_cast<char*>(head.data()), .iov_len = head.size()},
      iovec{.iov_base = const_cast<char*>(rest.data()),
            .iov_len = rest.size()}};
  msghdr message = {};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
}

void TargetLink::Receive() {
  // An end is reported once only: after a reset, the next call of `recv`
  // reports an orderly close.
  if (read_end_ == ReadEnd::kOpen && !held_) {
    read_end_ = ReceiveSome();
  }
  // `sendmsg` may have taken the report of the reset.
  if (read_end_ == ReadEnd::kClosed && was_reset_) {
    read_end_ = ReadEnd::kReset;
  }
}

TargetLink::ReadEnd TargetLink::ReceiveSome() {
  std::array<char, kReadBytes> buffer;
  // Before the body has room, little more than a head is read.
  const bool has_room = charge_.has_value() && charge_->body_.bytes() > 0;
  const size_t limit = has_room ? kMaxReadBytesPerTurn : kReadBytes;
  for (size_t received = 0; received < limit;) {
    const ssize_t count = recv(socket_.get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
      received += count;
      received_bytes_ += count;
      input_.append(buffer.data(), count);
      if (static_cast<size_t>(count) < buffer.size()) {
        return ReadEnd::kOpen;
      }
      continue;
    }
    if (count == 0) {
      return ReadEnd::kClosed;
    }
    if (errno != EINTR) {
      return errno == EAGAIN ? ReadEnd::kOpen : ReadEnd::kReset;
    }
  }
  return ReadEnd::kOpen;
}

DeliveryEnded TargetLink::End(DeliveryEnd end,
                              const state::HttpAnswer& answer) {
  const uint64_t id = delivery_ == nullptr ? 0 : delivery_->delivery_id_;
  const bool has_sent = sent_ > 0;
  delivery_.reset();
  parser_.reset();
  charge_.reset();
  held_ = false;
  room_->Finish(descriptor());
  ReleaseBuffer(&request_head_);
  ReleaseBuffer(&input_);
  request_bytes_ = 0;
  sent_ = 0;
  const bool nothing_sent = end == DeliveryEnd::kIncompleteAnswer && !has_sent;
  return DeliveryEnded{.delivery_id_ = id,
                       .end_ = nothing_sent ? DeliveryEnd::kConnectFailed : end,
                       .answer_ = answer,
                       .sent_ = has_sent};
}

DeliveryEnded TargetLink::Abandon(DeliveryEnd end) {
  reusable_ = false;
  return End(end);
}

MemoryRelief::Load TargetLink::load() const {
  return MemoryRelief::Load{.connection_ = delivery_->delivery_id_,
                            .held_bytes_ = charge_->bytes(),
                            .moved_bytes_ = received_bytes_,
                            .waits_for_caller_ = !held_ && received_bytes_ > 0};
}

bool TargetLink::waits_to_write() const {
  return !connected_ || (can_send_ && sent_ < request_bytes_);
}

bool TargetLink::CanReuse() {
  if (reusable_ && !has_delivery()) {
    closed_while_kept_ = ReceiveSome() != ReadEnd::kOpen;
    reusable_ = !closed_while_kept_ && input_.empty();
  }
  return reusable_ && !has_delivery();
}

}  // namespace gooseberrygap::transport
