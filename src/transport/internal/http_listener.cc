#include "transport/internal/http_listener.h"

#include <sys/epoll.h>

#include <cerrno>
#include <utility>

#include "transport/internal/accept_pause.h"
#include "transport/internal/listen_socket.h"

namespace gooseberrygap::transport {

state::Result<std::unique_ptr<HttpListener>> HttpListener::Listen(
    const std::string& address,
    state::Counters* counters) {
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
      std::move(poller).value(), counters));
}

HttpListener::HttpListener(Descriptor socket,
                           std::string address,
                           std::unique_ptr<Poller> poller,
                           state::Counters* counters)
    : socket_(std::move(socket)),
      address_(std::move(address)),
      poller_(std::move(poller)),
      counters_(counters) {}

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
      counters_->Add(state::Counter::kHttpAcceptPauses);
      poller_->Wait(AcceptPause::kLength);
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
      return !AcceptPause::IsRefusal(errno);
    }
    accepted_(std::move(connection));
  }
}

}  // namespace gooseberrygap::transport
