#ifndef TRANSPORT_INTERNAL_ZMQ_SOCKET_H_
#define TRANSPORT_INTERNAL_ZMQ_SOCKET_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/state.h"

namespace gooseberrygap::transport {

enum class ZmqKind { kRouter, kDealer };

struct ZmqOptions {
  const int high_water_mark_ = 0;  // Messages for each connection.
  const state::Millis heartbeat_interval_ = {};
  const state::Millis heartbeat_timeout_ = {};
  const size_t max_message_bytes_ = 0;
  // A connection on which so many bytes wait to be sent takes no more: the
  // high-water mark counts messages of any size. One message may exceed it.
  const size_t max_queued_bytes_ = 0;
  // Only for a socket that connects: the time after which a connect is begun
  // again, and the longest pause before it.
  const state::Millis connect_timeout_ = {};
  const state::Millis reconnect_pause_ = {};
};

// One ZeroMQ socket over TCP. Only for the thread that owns it. All operations
// return at once.
class ZmqSocket {
 public:
  // Precondition: `context` lives until the socket is closed.
  static state::Result<ZmqSocket> Open(void* context,
                                       ZmqKind kind,
                                       const ZmqOptions& options);
  ~ZmqSocket();

  ZmqSocket(ZmqSocket&& other) noexcept
      : socket_(std::exchange(other.socket_, nullptr)),
        max_queued_bytes_(other.max_queued_bytes_),
        queued_(std::move(other.queued_)) {}
  ZmqSocket& operator=(ZmqSocket&&) = delete;

  // Address "127.0.0.1:9101". Port 0 chooses a free one.
  state::Result<void> Bind(const std::string& address);
  // Connects in the background, also to a peer that is not there yet. The
  // connection comes from `source_host`, so that an instance with several
  // addresses is always seen under the one that it listens on.
  state::Result<void> Connect(absl::string_view source_host,
                              const std::string& address);

  // Returns the address that was bound, with its port.
  std::string BoundAddress() const;
  // Returns the descriptor that is readable when the socket may have work. It
  // stays readable until Receive has returned false.
  int PollDescriptor() const;

  // Sends all frames, then the payload, or nothing. The payload is not copied.
  // Returns false when the peer is gone or its queue is full.
  bool Send(const std::vector<absl::string_view>& frames, std::string payload);
  // Returns the bytes of payloads that wait to be sent on the connection that
  // the frames name.
  size_t QueuedBytes(const std::vector<absl::string_view>& frames) {
    return *QueuedFor(frames);
  }
  // Takes the next message. Returns false when there is none.
  bool Receive(std::vector<std::string>* frames);

  // How long closing keeps trying to send what is queued.
  void SetLinger(state::Millis linger);

 private:
  // Shared with the messages that ZeroMQ holds; it releases them on its own
  // thread.
  using QueuedCount = std::shared_ptr<std::atomic<size_t>>;
  struct QueuedPayload {
    QueuedPayload(std::string content, QueuedCount queued)
        : content_(std::move(content)), queued_(std::move(queued)) {
      *queued_ += content_.size();
    }
    ~QueuedPayload() { *queued_ -= content_.size(); }

    std::string content_;
    const QueuedCount queued_;
  };

  ZmqSocket(void* socket, size_t max_queued_bytes)
      : socket_(socket), max_queued_bytes_(max_queued_bytes) {}

  // Returns the bytes that wait on the connection that the frames name.
  const QueuedCount& QueuedFor(const std::vector<absl::string_view>& frames);

  void* socket_;
  const size_t max_queued_bytes_;
  // By the first frame, which names the connection of a ROUTER. Those without
  // bytes are removed now and then.
  std::map<std::string, QueuedCount, std::less<>> queued_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_ZMQ_SOCKET_H_
