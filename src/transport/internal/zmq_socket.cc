#include "transport/internal/zmq_socket.h"

#include <zmq.h>

#include <array>
#include <cerrno>
#include <cstdint>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "transport/internal/listen_error.h"

namespace gooseberrygap::transport {

namespace {

constexpr absl::string_view kTcp = "tcp://";
constexpr int kReconnectMs = 50;
// A peer that accepts the connection but does not answer the handshake.
constexpr int kHandshakeMs = 2000;
constexpr int kListenBacklog = 1024;
constexpr int kNoLinger = 0;
// Connections whose queued bytes are counted before those without any are
// removed.
constexpr size_t kMaxIdleConnections = 256;

struct IntOption {
  const int name_;
  const int value_;
};

state::Error ZmqError(absl::string_view what, absl::string_view address) {
  const int code = zmq_errno();
  return state::MakeError(
      KindOfListenError(code),
      absl::StrCat(what, " ", address, ": ", zmq_strerror(code)));
}

bool SetAll(void* socket, const std::vector<IntOption>& options) {
  for (const IntOption& option : options) {
    if (zmq_setsockopt(socket, option.name_, &option.value_,
                       sizeof option.value_) != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

state::Result<ZmqSocket> ZmqSocket::Open(void* context,
                                         ZmqKind kind,
                                         const ZmqOptions& options) {
  const bool router = kind == ZmqKind::kRouter;
  ZmqSocket socket(zmq_socket(context, router ? ZMQ_ROUTER : ZMQ_DEALER),
                   options.max_queued_bytes_);
  if (socket.socket_ == nullptr) {
    return ZmqError("Cannot open a socket", "for peers");
  }
  std::vector<IntOption> values = {
      {ZMQ_SNDHWM, options.high_water_mark_},
      {ZMQ_RCVHWM, options.high_water_mark_},
      {ZMQ_LINGER, kNoLinger},
      {ZMQ_HEARTBEAT_IVL,
       static_cast<int>(options.heartbeat_interval_.value())},
      {ZMQ_HEARTBEAT_TIMEOUT,
       static_cast<int>(options.heartbeat_timeout_.value())},
      {ZMQ_HEARTBEAT_TTL, static_cast<int>(options.heartbeat_timeout_.value())},
      {ZMQ_CONNECT_TIMEOUT, static_cast<int>(options.connect_timeout_.value())},
      {ZMQ_HANDSHAKE_IVL, kHandshakeMs},
      {ZMQ_RECONNECT_IVL, kReconnectMs},
      {ZMQ_RECONNECT_IVL_MAX,
       static_cast<int>(options.reconnect_pause_.value())},
      {ZMQ_BACKLOG, kListenBacklog},
  };
  if (router) {
    // Without it a message to a peer that is gone is dropped without a trace.
    values.push_back({ZMQ_ROUTER_MANDATORY, 1});
  }
  const auto max_bytes = static_cast<int64_t>(options.max_message_bytes_);
  if (!SetAll(socket.socket_, values) ||
      zmq_setsockopt(socket.socket_, ZMQ_MAXMSGSIZE, &max_bytes,
                     sizeof max_bytes) != 0) {
    return ZmqError("Cannot set an option of a socket", "for peers");
  }
  return socket;
}

ZmqSocket::~ZmqSocket() {
  if (socket_ != nullptr) {
    zmq_close(socket_);
  }
}

state::Result<void> ZmqSocket::Bind(const std::string& address) {
  if (zmq_bind(socket_, absl::StrCat(kTcp, address).c_str()) != 0) {
    return ZmqError("Cannot listen for peers at", address);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

state::Result<void> ZmqSocket::Connect(absl::string_view source_host,
                                       const std::string& address) {
  const std::string endpoint = absl::StrCat(kTcp, source_host, ":0;", address);
  if (zmq_connect(socket_, endpoint.c_str()) != 0) {
    return ZmqError("Cannot connect to the peer", address);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string ZmqSocket::BoundAddress() const {
  std::array<char, 256> endpoint = {};
  size_t size = endpoint.size();
  zmq_getsockopt(socket_, ZMQ_LAST_ENDPOINT, endpoint.data(), &size);
  return std::string(absl::StripPrefix(endpoint.data(), kTcp));
}

int ZmqSocket::PollDescriptor() const {
  int fd = -1;
  size_t size = sizeof fd;
  zmq_getsockopt(socket_, ZMQ_FD, &fd, &size);
  return fd;
}

const ZmqSocket::QueuedCount& ZmqSocket::QueuedFor(
    const std::vector<absl::string_view>& frames) {
  const absl::string_view connection =
      frames.empty() ? absl::string_view() : frames.front();
  const auto known = queued_.find(connection);
  if (known != queued_.end()) {
    return known->second;
  }
  if (queued_.size() >= kMaxIdleConnections) {
    std::erase_if(queued_,
                  [](const auto& entry) { return *entry.second == 0; });
  }
  return queued_
      .emplace(std::string(connection),
               std::make_shared<std::atomic<size_t>>(0))
      .first->second;
}

bool ZmqSocket::Send(const std::vector<absl::string_view>& frames,
                     std::string payload) {
  const QueuedCount queued = QueuedFor(frames);
  if (*queued >= max_queued_bytes_) {
    return false;
  }
  for (const absl::string_view frame : frames) {
    // Only the first frame can be refused: ZeroMQ takes a message as a whole.
    if (zmq_send(socket_, frame.data(), frame.size(),
                 ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) {
      return false;
    }
  }
  auto* owned = new QueuedPayload(std::move(payload), queued);
  zmq_msg_t message;
  zmq_msg_init_data(
      &message, owned->content_.data(), owned->content_.size(),
      [](void*, void* hint) { delete static_cast<QueuedPayload*>(hint); },
      owned);
  const bool is_sent = zmq_msg_send(&message, socket_, ZMQ_DONTWAIT) >= 0;
  if (!is_sent) {
    zmq_msg_close(&message);
  }
  return is_sent;
}

bool ZmqSocket::Receive(std::vector<std::string>* frames) {
  frames->clear();
  bool more = true;
  while (more) {
    zmq_msg_t message;
    zmq_msg_init(&message);
    const int size = zmq_msg_recv(&message, socket_, ZMQ_DONTWAIT);
    if (size >= 0) {
      frames->emplace_back(static_cast<const char*>(zmq_msg_data(&message)),
                           zmq_msg_size(&message));
    }
    more = size >= 0 && zmq_msg_more(&message) != 0;
    zmq_msg_close(&message);
    if (size < 0) {
      return false;
    }
  }
  return true;
}

void ZmqSocket::SetLinger(state::Millis linger) {
  const int linger_ms = static_cast<int>(linger.value());
  zmq_setsockopt(socket_, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
}

}  // namespace gooseberrygap::transport
