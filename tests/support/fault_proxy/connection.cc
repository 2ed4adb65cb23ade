#include "support/fault_proxy/connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace gooseberrygap::test_support {

namespace {

using state::Millis;

// Small enough that links that share a bandwidth take turns.
constexpr size_t kReadSize = 16384;
constexpr std::array<Side, 2> kSides = {Side::kClient, Side::kServer};

bool IsTemporary(int error) {
  return error == EAGAIN || error == EINTR;
}

}  // namespace

Connection::Connection(int epoll,
                       uint64_t client_tag,
                       std::array<int, 2> sockets,
                       absl::string_view kind,
                       LinkDirection* forward,
                       LinkDirection* backward,
                       Millis now)
    : epoll_(epoll),
      ends_{End{.socket_ = sockets[0],
                .tag_ = client_tag,
                .flow_ = Flow(kind, forward, now)},
            End{.socket_ = sockets[1],
                .tag_ = client_tag + 1,
                .flow_ = Flow(kind, backward, now)}} {}

Connection::~Connection() {
  for (const End& each : ends_) {
    close(each.socket_);
  }
}

void Connection::OnEvent(Side side, uint32_t events, Millis now) {
  End& from = end(side);
  if ((events & EPOLLOUT) != 0) {
    from.write_blocked_ = false;
  }
  if (from.flow_.WantsMore()) {
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
      Read(side, now);
    }
  } else if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    from.gone_ = true;
  }
  Update(now);
}

void Connection::Update(Millis now) {
  for (const Side side : kSides) {
    WriteTo(side, now);
  }
  const bool done =
      std::all_of(ends_.begin(), ends_.end(), [](const End& each) {
        return each.flow_.Stalled() ? each.gone_ : each.flow_.Drained();
      });
  ended_ = ended_ || done;
  if (!ended_) {
    Register(Side::kClient);
    Register(Side::kServer);
  }
}

std::optional<Millis> Connection::NextUpdate() const {
  std::optional<Millis> next;
  for (const Side side : kSides) {
    const std::optional<Millis> arrival = end(side).flow_.NextArrival();
    // A full socket is waited for by epoll instead.
    if (arrival.has_value() && !end(OtherOf(side)).write_blocked_ &&
        (!next.has_value() || *arrival < *next)) {
      next.emplace(*arrival);
    }
  }
  return next;
}

void Connection::Read(Side side, Millis now) {
  std::array<char, kReadSize> buffer;
  End& from = end(side);
  const ssize_t count = recv(from.socket_, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    from.flow_.Take({buffer.data(), static_cast<size_t>(count)}, now);
  } else if (count == 0) {
    from.gone_ = true;
    from.flow_.Finish(now);
  } else if (!IsTemporary(errno)) {
    Fail(side);
  }
}

// Passes on what has arrived for `side`.
void Connection::WriteTo(Side side, Millis now) {
  End& to = end(side);
  Flow& flow = end(OtherOf(side)).flow_;
  while (!to.write_blocked_ && !ended_) {
    const absl::string_view ready = flow.Ready(now);
    if (ready.empty()) {
      break;
    }
    const ssize_t count =
        send(to.socket_, ready.data(), ready.size(), MSG_NOSIGNAL);
    if (count >= 0) {
      flow.Consume(static_cast<size_t>(count));
    } else if (IsTemporary(errno)) {
      to.write_blocked_ = true;
    } else {
      Fail(side);
      return;
    }
  }
  if (flow.Drained() && !flow.Stalled() && !to.write_closed_) {
    to.write_closed_ = true;
    shutdown(to.socket_, SHUT_WR);
  }
}

// A socket that has failed ends the connection, unless the other side must not
// learn of it.
void Connection::Fail(Side side) {
  End& failed = end(side);
  failed.gone_ = true;
  if (failed.flow_.Stalled()) {
    end(OtherOf(side)).flow_.Freeze();
  } else {
    ended_ = true;
  }
}

uint32_t Connection::WantedEvents(Side side) const {
  const End& each = end(side);
  uint32_t events = 0;
  if (each.flow_.WantsMore()) {
    events |= EPOLLIN;
  } else if (!each.gone_) {
    events |= EPOLLRDHUP;
  }
  if (each.write_blocked_) {
    events |= EPOLLOUT;
  }
  return events;
}

void Connection::Register(Side side) {
  End& each = end(side);
  const uint32_t wanted = WantedEvents(side);
  // EPOLLHUP and EPOLLERR cannot be masked: a socket that is gone and of which
  // nothing is wanted leaves epoll, or it would be reported without end.
  const bool wants_epoll = wanted != 0 || !each.gone_;
  if (each.in_epoll_ == wants_epoll &&
      (!wants_epoll || wanted == each.registered_)) {
    return;
  }
  epoll_event event = {.events = wanted, .data = {.u64 = each.tag_}};
  const int operation = !wants_epoll     ? EPOLL_CTL_DEL
                        : each.in_epoll_ ? EPOLL_CTL_MOD
                                         : EPOLL_CTL_ADD;
  epoll_ctl(epoll_, operation, each.socket_, &event);
  each.in_epoll_ = wants_epoll;
  each.registered_ = wanted;
}

}  // namespace gooseberrygap::test_support
