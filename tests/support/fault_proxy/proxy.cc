#include "support/fault_proxy/proxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

#include "support/fault_proxy/control_call.h"

namespace gooseberrygap::test_support {

namespace {

using state::Millis;

constexpr size_t kMaxControlCalls = 64;
constexpr size_t kMaxEvents = 256;
constexpr Millis kLongestWait(3600.0 * 1000);

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Closes with a reset, as an address without a listener answers.
void Refuse(int socket) {
  const linger at_once = {.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(socket);
}

// Returns a socket that connects to the address, or -1.
int StartConnecting(const Address& address) {
  const int server =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSocketAddress(address);
  if (connect(server, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
          0 &&
      errno != EINPROGRESS) {
    close(server);
    return -1;
  }
  SetNoDelay(server);
  return server;
}

}  // namespace

Proxy::Proxy(uint64_t seed)
    : seed_(seed),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      control_calls_(kMaxControlCalls) {
  epoll_event event = {.events = EPOLLIN,
                       .data = {.u64 = TagOf(TagKind::kWake, 0)}};
  epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_.descriptor(), &event);
  thread_ = std::make_unique<transport::DutyThread>("proxy", [this] { Run(); });
}

Proxy::~Proxy() {
  control_calls_.Close();
  wake_.Signal();
  thread_->Join();
  connections_.clear();
  for (const auto& [address, listener] : listeners_) {
    close(listener->socket_);
  }
  close(epoll_);
}

void Proxy::Run() {
  std::array<epoll_event, kMaxEvents> events;
  while (!control_calls_.closed()) {
    const double left = UntilNextTimer().value() / 1000;
    const timespec timeout = {
        .tv_sec = static_cast<time_t>(left),
        .tv_nsec = static_cast<int64_t>((left - std::floor(left)) * 1e9)};
    const int count =
        epoll_pwait2(epoll_, events.data(), kMaxEvents, &timeout, nullptr);
    for (int i = 0; i < count; ++i) {
      Dispatch(events[static_cast<size_t>(i)].data.u64,
               events[static_cast<size_t>(i)].events);
    }
    RunTimers();
  }
}

void Proxy::Dispatch(uint64_t tag, uint32_t events) {
  switch (KindOf(tag)) {
    case TagKind::kWake:
      wake_.Clear();
      AnswerControlCalls();
      return;
    case TagKind::kListener:
      Accept(IndexOf(tag));
      return;
    case TagKind::kConnection:
      // An earlier event of the same round may have ended it.
      const uint64_t id = IndexOf(tag) / 2;
      const auto entry = connections_.find(id);
      if (entry != connections_.end()) {
        const Side side = IndexOf(tag) % 2 == 0 ? Side::kClient : Side::kServer;
        entry->second.connection_->OnEvent(side, events, clock_.Now());
        Refresh(id);
      }
      return;
  }
}

void Proxy::Accept(size_t listener_index) {
  const Listener& listener = *listeners_.at(listener_index).second;
  sockaddr_in name = {};
  socklen_t size = sizeof(name);
  const int client =
      accept4(listener.socket_, reinterpret_cast<sockaddr*>(&name), &size,
              SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) {
    return;
  }
  std::array<char, INET_ADDRSTRLEN> host = {};
  inet_ntop(AF_INET, &name.sin_addr, host.data(), host.size());
  Link* chosen = nullptr;
  for (Link* link : listener.links_) {
    const std::string& source = link->plan_.source_;
    if (source == host.data() || (source.empty() && chosen == nullptr)) {
      chosen = link;
    }
  }
  if (chosen == nullptr || chosen->refuse_) {
    Refuse(client);
    return;
  }
  Connect(chosen, client);
}

void Proxy::Connect(Link* link, int client) {
  const int server = StartConnecting(link->plan_.to_);
  if (server < 0) {
    Refuse(client);
    return;
  }
  SetNoDelay(client);
  const uint64_t id = next_id_++;
  ++link->accepted_;
  link->connections_.insert(id);
  connections_.emplace(
      id, Entry{.link_ = link,
                .connection_ = std::make_unique<Connection>(
                    epoll_, TagOf(TagKind::kConnection, id * 2),
                    std::array<int, 2>{client, server}, link->plan_.kind_,
                    &link->forward_, &link->backward_, clock_.Now())});
  connections_.at(id).connection_->Update(clock_.Now());
  Refresh(id);
}

// Deletes the connection if it has ended, and keeps its timer up to date.
void Proxy::Refresh(uint64_t id) {
  const auto found = connections_.find(id);
  Entry& entry = found->second;
  if (entry.timer_.has_value()) {
    timers_.erase({*entry.timer_, id});
    entry.timer_.reset();
  }
  if (entry.connection_->ended()) {
    entry.link_->connections_.erase(id);
    connections_.erase(found);
    return;
  }
  entry.timer_ = entry.connection_->NextUpdate();
  if (entry.timer_.has_value()) {
    timers_.insert({*entry.timer_, id});
  }
}

void Proxy::RunTimers() {
  const Millis now = clock_.Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const uint64_t id = timers_.begin()->second;
    connections_.at(id).connection_->Update(now);
    Refresh(id);
  }
}

Millis Proxy::UntilNextTimer() const {
  if (timers_.empty()) {
    return kLongestWait;
  }
  return std::clamp(timers_.begin()->first - clock_.Now(), Millis(0),
                    kLongestWait);
}

}  // namespace gooseberrygap::test_support
