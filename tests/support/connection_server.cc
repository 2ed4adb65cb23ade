#include "support/connection_server.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace gooseberrygap::test_support {

namespace {

// The library's own backlog of 5 refuses bursts of new connections.
constexpr int kBacklog = 512;
constexpr int kTransferTimeoutMs = 5000;

thread_local int current_socket = -1;

bool WaitFor(int socket, int16_t events) {
  pollfd entry = {.fd = socket, .events = events, .revents = 0};
  return poll(&entry, 1, kTransferTimeoutMs) == 1;
}

// A buffered stream over a socket that outlives one request, so that bytes of
// the next request are not lost.
class SocketStream : public httplib::Stream {
 public:
  explicit SocketStream(int socket) : socket_(socket) {}

  // Waits for the first byte of a request. Returns false when the connection
  // or the server has ended.
  bool WaitForRequest(int stop_event) const {
    if (position_ < filled_) {
      return true;
    }
    std::array<pollfd, 2> entries = {
        pollfd{.fd = socket_, .events = POLLIN, .revents = 0},
        pollfd{.fd = stop_event, .events = POLLIN, .revents = 0}};
    while (poll(entries.data(), entries.size(), -1) < 0) {
      if (errno != EINTR) {
        return false;
      }
    }
    char first = 0;
    return entries[0].revents != 0 &&
           recv(socket_, &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
  }

  bool is_readable() const override {
    return position_ < filled_ || WaitFor(socket_, POLLIN);
  }
  bool is_writable() const override { return WaitFor(socket_, POLLOUT); }

  ssize_t read(char* data, size_t size) override {
    if (position_ == filled_) {
      if (!WaitFor(socket_, POLLIN)) {
        return -1;
      }
      const ssize_t received = recv(socket_, buffer_.data(), buffer_.size(), 0);
      if (received <= 0) {
        return received;
      }
      position_ = 0;
      filled_ = static_cast<size_t>(received);
    }
    const size_t count = std::min(size, filled_ - position_);
    std::copy_n(buffer_.data() + position_, count, data);
    position_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, size_t size) override {
    size_t sent = 0;
    while (sent < size) {
      const ssize_t count =
          is_writable() ? send(socket_, data + sent, size - sent, MSG_NOSIGNAL)
                        : -1;
      if (count < 0) {
        return -1;
      }
      sent += static_cast<size_t>(count);
    }
    return static_cast<ssize_t>(sent);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    ip.clear();
    port = 0;
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    ip.clear();
    port = 0;
  }
  socket_t socket() const override { return socket_; }

 private:
  const int socket_;
  std::array<char, 16384> buffer_ = {};
  size_t position_ = 0;
  size_t filled_ = 0;
};

// Starts a thread whenever a task finds none idle, up to a limit.
class GrowingThreads : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override {
    absl::MutexLock lock(&mutex_);
    tasks_.push_back(std::move(task));
    if (idle_ < static_cast<int>(tasks_.size()) &&
        threads_.size() < ConnectionServer::kMaxConnections) {
      threads_.emplace_back([this] { Run(); });
    }
    changed_.Signal();
  }

  void shutdown() override {
    std::vector<std::thread> threads;
    {
      absl::MutexLock lock(&mutex_);
      closed_ = true;
      changed_.SignalAll();
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

 private:
  void Run() {
    while (true) {
      std::function<void()> task;
      {
        absl::MutexLock lock(&mutex_);
        ++idle_;
        while (tasks_.empty() && !closed_) {
          changed_.Wait(&mutex_);
        }
        --idle_;
        if (tasks_.empty()) {
          return;
        }
        task = std::move(tasks_.front());
        tasks_.pop_front();
      }
      task();
    }
  }

  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  int idle_ ABSL_GUARDED_BY(mutex_) = 0;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace

WakeEvent::WakeEvent() : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

WakeEvent::~WakeEvent() {
  close(descriptor_);
}

void WakeEvent::Signal() {
  eventfd_write(descriptor_, 1);
}

void WakeEvent::Clear() {
  eventfd_t ignored = 0;
  eventfd_read(descriptor_, &ignored);
}

ConnectionServer::ConnectionServer() {
  new_task_queue = [] { return new GrowingThreads; };
  set_tcp_nodelay(true);
  // Only announced to clients: connections stay open until either side ends.
  set_keep_alive_max_count(1000000);
  set_keep_alive_timeout(3600);
  // The library's default, SO_REUSEPORT, would let two processes share a port.
  set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

ConnectionServer::~ConnectionServer() {
  Stop();
}

state::Result<void> ConnectionServer::Start(const Address& address) {
  if (!bind_to_port(address.host_, address.port_) ||
      ::listen(svr_sock_, kBacklog) != 0) {
    return state::MakeError(state::ErrorKind::kAddressInUse,
                            absl::StrCat("cannot bind ", ToString(address)));
  }
  accept_thread_ = std::make_unique<transport::DutyThread>(
      "accept", [this] { listen_after_bind(); });
  return boost::outcome_v2::success();
}

void ConnectionServer::Stop() {
  if (accept_thread_ == nullptr || stopping_.exchange(true)) {
    return;
  }
  stop_event_.Signal();
  // Stopping has no effect before the accept thread has begun to run.
  while (!is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  stop();
  accept_thread_->Join();
}

int ConnectionServer::CurrentSocket() {
  return current_socket;
}

bool ConnectionServer::process_and_close_socket(socket_t socket) {
  current_socket = socket;
  SocketStream stream(socket);
  bool closed = false;
  bool good = true;
  while (!closed && good && stream.WaitForRequest(stop_event_.descriptor())) {
    good = process_request(stream, stopping_, closed, nullptr);
  }
  shutdown(socket, SHUT_RDWR);
  close(socket);
  return good;
}

}  // namespace gooseberrygap::test_support
