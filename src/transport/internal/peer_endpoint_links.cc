#include <sys/epoll.h>

#include <utility>

#include "transport/internal/peer_endpoint_impl.h"

namespace gooseberrygap::transport {

namespace {

// A link without an attempt on which nothing has come since it was opened is
// replaced after this time by one whose connects may take longer. The last
// times of the schedule stay, since some links only ever send.
constexpr state::Millis kMaxSilentAge(2500);

ZmqOptions DealerOptions(const PeerEndpoint::Options& options,
                         const ConnectSchedule::Times& times) {
  return {.high_water_mark_ = options.high_water_mark_,
          .heartbeat_interval_ = options.heartbeat_interval_,
          .heartbeat_timeout_ = options.heartbeat_timeout_,
          .max_message_bytes_ = options.max_message_bytes_,
          .max_queued_bytes_ = options.max_queued_bytes_,
          .connect_timeout_ = times.connect_,
          .reconnect_pause_ = times.pause_};
}

}  // namespace

PeerEndpointImpl::Link* PeerEndpointImpl::DealerFor(
    const std::string& address) {
  const auto known = dealers_.find(address);
  if (known != dealers_.end()) {
    return known->second;
  }
  const ConnectSchedule::Times times = connect_schedule_.OnLinkOpened(address);
  state::Result<ZmqSocket> socket = ZmqSocket::Open(
      context_.get(), ZmqKind::kDealer, DealerOptions(options_, times));
  const absl::string_view listen = options_.listen_address_;
  const absl::string_view source_host = listen.substr(0, listen.rfind(':'));
  if (!socket || !socket.value().Connect(source_host, address)) {
    return nullptr;
  }
  Link* link = AddLink(address, std::move(socket).value());
  link->is_replaced_if_silent_ = times.is_replaced_;
  dealers_.emplace(address, link);
  return link;
}

PeerEndpointImpl::Link* PeerEndpointImpl::AddLink(const std::string& address,
                                                  ZmqSocket socket) {
  const int fd = socket.PollDescriptor();
  auto link = std::make_unique<Link>(address, fd, std::move(socket));
  link->opened_at_ = clock_.Now();
  link->last_used_ = link->opened_at_;
  Link* added = link.get();
  links_.emplace(fd, std::move(link));
  poller_->Add(fd, EPOLLIN);
  touched_.insert(fd);
  return added;
}

void PeerEndpointImpl::CloseLink(Link* link) {
  const std::string address = link->address_;
  // Before closing: ZeroMQ closes the descriptor later, on another thread.
  poller_->Remove(link->fd_);
  dealers_.erase(link->address_);
  links_.erase(link->fd_);
  bodies_.OnLinkClosed({.address_ = address});
}

void PeerEndpointImpl::CloseUnusedLinks() {
  const state::Millis now = clock_.Now();
  if (now < next_link_check_) {
    return;
  }
  next_link_check_ = now + kLinkCheckInterval;
  std::vector<Link*> unused;
  for (const auto& [address, link] : dealers_) {
    if (IsToBeClosed(*link, now)) {
      unused.push_back(link);
    }
  }
  for (Link* link : unused) {
    CloseLink(link);
  }
}

bool PeerEndpointImpl::IsToBeClosed(const Link& link, state::Millis now) const {
  const bool has_attempts = link.unanswered_ > 0;
  const bool is_silent = link.is_replaced_if_silent_ && !link.has_received_ &&
                         !has_attempts && now - link.opened_at_ > kMaxSilentAge;
  const state::Millis limit = has_attempts ? options_.close_unanswered_after_
                                           : options_.close_unused_after_;
  return is_silent || now - link.last_used_ > limit;
}

}  // namespace gooseberrygap::transport
