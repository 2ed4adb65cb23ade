#include "transport/internal/listen_socket.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "transport/internal/listen_error.h"
#include "transport/internal/socket_address.h"

namespace gooseberrygap::transport {

namespace {

// The 5 of httplib loses connections when many callers connect at once.
constexpr int kBacklog = 1024;
constexpr int kOn = 1;
// A caller whose machine has gone is noticed after 60 s + 3 * 10 s.
constexpr int kKeepAliveIdleSeconds = 60;
constexpr int kKeepAliveIntervalSeconds = 10;
constexpr int kKeepAliveProbes = 3;

// Descriptors that callers leave for links to other daemons, the target and
// files, as far as the limit allows. ZeroMQ keeps a processor busy while
// another daemon's connection waits and no descriptor is left.
constexpr rlim_t kReservedDescriptors = 128;
constexpr rlim_t kLargestReservedFraction = 4;  // A quarter.

struct SocketOption {
  const int level_;
  const int name_;
  const int value_;
};

constexpr std::array<SocketOption, 5> kConnectionOptions = {{
    {IPPROTO_TCP, TCP_NODELAY, kOn},
    {SOL_SOCKET, SO_KEEPALIVE, kOn},
    {IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds},
    {IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds},
    {IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes},
}};

state::Error ListenError(const std::string& address) {
  const int code = errno;
  return state::MakeError(KindOfListenError(code),
                          absl::StrCat("Cannot listen for HTTP at ", address,
                                       ": ", strerror(code)));
}

rlim_t ReadFirstReservedDescriptor() {
  rlimit limit = {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return RLIM_INFINITY;
  }
  return limit.rlim_cur - std::min(kReservedDescriptors,
                                   limit.rlim_cur / kLargestReservedFraction);
}

// Returns the lowest number of a descriptor that callers leave to others. The
// system gives the lowest free number to each new descriptor. Follows from the
// limit at the first call.
rlim_t FirstReservedDescriptor() {
  static const rlim_t kFirst = ReadFirstReservedDescriptor();
  return kFirst;
}

bool IsReserved(const Descriptor& descriptor) {
  return static_cast<rlim_t>(descriptor.get()) >= FirstReservedDescriptor();
}

// Returns whether the next descriptor is one that callers may take. Asked
// before a connection is accepted, since one that waits to be accepted can
// still be served, and one that is accepted can only be closed.
bool HasDescriptorForCaller(int listener) {
  const Descriptor next(fcntl(listener, F_DUPFD_CLOEXEC, 0));
  return next.valid() && !IsReserved(next);
}

std::string BoundAddress(int fd, const SocketAddress& requested) {
  sockaddr_storage bound = {};
  socklen_t size = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  const bool is_v6 = bound.ss_family == AF_INET6;
  const in_port_t port = is_v6
                             ? reinterpret_cast<sockaddr_in6&>(bound).sin6_port
                             : reinterpret_cast<sockaddr_in&>(bound).sin_port;
  return is_v6 ? absl::StrCat("[", requested.host_, "]:", ntohs(port))
               : absl::StrCat(requested.host_, ":", ntohs(port));
}

}  // namespace

state::Result<ListenSocket> ListenAt(const std::string& address) {
  // Takes the limit of the start, whenever the first caller comes.
  FirstReservedDescriptor();
  const state::Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed) {
    return parsed.error();
  }
  Descriptor opened(socket(parsed.value().storage_.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!opened.valid()) {
    return ListenError(address);
  }
  setsockopt(opened.get(), SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof kOn);
  if (bind(opened.get(), parsed.value().get(), parsed.value().size_) != 0 ||
      listen(opened.get(), kBacklog) != 0) {
    return ListenError(address);
  }
  std::string bound = BoundAddress(opened.get(), parsed.value());
  return ListenSocket{.socket_ = std::move(opened),
                      .address_ = std::move(bound)};
}

Descriptor AcceptConnection(int listener) {
  if (!HasDescriptorForCaller(listener)) {
    errno = EMFILE;
    return Descriptor();
  }
  Descriptor connection(
      accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (connection.valid() && IsReserved(connection)) {
    // Another thread has taken the number in between.
    connection.Reset();
    errno = EMFILE;
  }
  if (connection.valid()) {
    for (const SocketOption& option : kConnectionOptions) {
      setsockopt(connection.get(), option.level_, option.name_, &option.value_,
                 sizeof option.value_);
    }
  }
  return connection;
}

}  // namespace gooseberrygap::transport
