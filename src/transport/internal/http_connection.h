#ifndef TRANSPORT_INTERNAL_HTTP_CONNECTION_H_
#define TRANSPORT_INTERNAL_HTTP_CONNECTION_H_

#include <memory>
#include <optional>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "transport/internal/socket_stream.h"

namespace gooseberrygap::transport {

// Counts open connections up to a limit. Thread-safe.
class ConnectionCount {
 public:
  explicit ConnectionCount(int limit) : limit_(limit) {}

  // Returns false when the limit is reached.
  bool TryAdd() {
    absl::MutexLock lock(&mutex_);
    return open_ < limit_ && ++open_ > 0;
  }

  void Remove() {
    absl::MutexLock lock(&mutex_);
    --open_;
  }

  void WaitUntilNone() {
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(
        +[](int* open) { return *open == 0; }, &open_));
  }

 private:
  const int limit_;
  absl::Mutex mutex_;
  int open_ ABSL_GUARDED_BY(mutex_) = 0;
};

// A caller's connection. The duty that holds the pointer owns it; rings pass it
// on.
class HttpConnection {
 public:
  // Precondition: `count` has counted this connection.
  HttpConnection(Descriptor socket,
                 size_t max_head_bytes,
                 ConnectionCount* count)
      : stream_(std::move(socket), max_head_bytes), count_(count) {}
  ~HttpConnection() { count_->Remove(); }

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  SocketStream& stream() { return stream_; }

  // The last answer was sent: what still arrives is read and dropped for a
  // moment, since closing at once would reset the connection and destroy the
  // answer on its way.
  bool lingers() const { return lingers_; }
  void set_lingers() { lingers_ = true; }

  // Whether all bytes have been read that had come when this was called first.
  bool HasReadWhatHadCome() {
    stream_.FillAvailable();
    if (!last_accepted_byte_.has_value()) {
      last_accepted_byte_ = stream_.received();
    }
    return stream_.received() - stream_.buffered().size() >=
           *last_accepted_byte_;
  }

  // Whether the idle poller knows the descriptor.
  bool is_polled() const { return is_polled_; }
  void set_polled() { is_polled_ = true; }

  // When the request that has begun must have arrived, or lingering ends.
  const std::optional<state::Millis>& deadline() const { return deadline_; }
  void set_deadline(std::optional<state::Millis> deadline) {
    deadline_ = deadline;
  }

 private:
  SocketStream stream_;
  ConnectionCount* const count_;
  std::optional<uint64_t> last_accepted_byte_;
  bool lingers_ = false;
  bool is_polled_ = false;
  std::optional<state::Millis> deadline_;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_HTTP_CONNECTION_H_
