#include "transport/internal/http_listener.h"

#include <sys/epoll.h>

#include <cerrno>
#include <utility>

#include "transport/internal/listen_socket.h"

namespace gooseberrygap::transport {

namespace {

// Pause when the system has no descriptor left; the connections wait.
constexpr state::Millis kAcceptPause(50);

}  // namespace

state::Result<std::unique_ptr<HttpListener>> HttpListener::Listen(
    const std::string& address) {
  state::Result<ListenSocket> opened = ListenAt(address);
  if (!opened) {
    return opened.error();
  }
  state::Result<std::unique_ptr<Poller>> poller = Poller::Create();
  if (!poller) {
    return poller.error();
  }
  return std::unique_ptr<HttpListener>(new HttpListener(
      std::move(opened.value().socket_), std::move(opened.value().address_),
      std::move(poller).value()));
}

HttpListener::HttpListener(Descriptor socket,
                           std::string address,
                           std::unique_ptr<Poller> poller)
    : socket_(std::move(socket)),
      address_(std::move(address)),
      poller_(std::move(poller)) {}

void HttpListener::Start(Accepted accepted) {
  accepted_ = std::move(accepted);
  poller_->Add(socket_.get(), EPOLLIN | EPOLLONESHOT);
  thread_ = std::make_unique<DutyThread>("http-accept", [this] { Run(); });
}

void HttpListener::Stop() {
  stopping_.store(true);
  poller_->Wake();
  thread_.reset();
  socket_.Reset();
}

void HttpListener::Run() {
  bool has_descriptors = true;
  while (!stopping_.load()) {
    if (has_descriptors) {
      poller_->Wait(std::nullopt);
    } else {
      poller_->Wait(kAcceptPause);
    }
    has_descriptors = AcceptWaiting();
    if (has_descriptors) {
      poller_->Modify(socket_.get(), EPOLLIN | EPOLLONESHOT);
    }
  }
  AcceptWaiting();
}

bool HttpListener::AcceptWaiting() {
  while (true) {
    Descriptor connection = AcceptConnection(socket_.get());
    if (!connection.valid()) {
      if (errno == ECONNABORTED || errno == EINTR) {
        continue;
      }
      return errno == EAGAIN;
    }
    accepted_(std::move(connection));
  }
}

}  // namespace gooseberrygap::transport
