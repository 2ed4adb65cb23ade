#include "transport/internal/idle_connections.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

#include "transport/internal/http_head.h"
#include "transport/internal/request_runner.h"

namespace gooseberrygap::transport {

namespace {

// How long a connection lingers after its last answer.
constexpr state::Millis kLingerTime(1000);
constexpr int kRequestTimeout = 408;
// A worker takes the connection in between; one event for each wait.
constexpr uint32_t kEvents = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;

}  // namespace

IdleConnections::IdleConnections(const HttpServer::Options& options,
                                 std::unique_ptr<Poller> poller,
                                 Dispatch dispatch,
                                 state::Counters* counters)
    : options_(options),
      poller_(std::move(poller)),
      dispatch_(std::move(dispatch)),
      counters_(counters),
      ring_(options.max_connections_),
      thread_(std::make_unique<DutyThread>("http-idle", [this] { Run(); })) {}

IdleConnections::~IdleConnections() {
  ring_.Close();
  poller_->Wake();
  thread_.reset();
}

void IdleConnections::Put(HttpConnectionPtr connection) {
  ring_.TryPush(std::move(connection));
  poller_->Wake();
}

void IdleConnections::BeginDrain() {
  draining_.store(true);
  poller_->Wake();
}

void IdleConnections::Run() {
  while (!ring_.closed()) {
    for (const int fd : poller_->Wait(TimeToNextDeadline())) {
      OnReadable(fd);
    }
    TakeNew();
    CloseExpired();
    if (draining_.load() && !drained_) {
      drained_ = true;
      CloseUnused();
    }
  }
}

std::optional<state::Millis> IdleConnections::TimeToNextDeadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first - clock_.Now();
}

void IdleConnections::TakeNew() {
  while (std::optional<HttpConnectionPtr> connection = ring_.TryPop()) {
    Admit(std::move(*connection));
  }
}

void IdleConnections::Admit(HttpConnectionPtr connection) {
  connection->set_deadline(std::nullopt);
  if (connection->lingers()) {
    shutdown(connection->stream().descriptor(), SHUT_WR);
    connection->set_deadline(clock_.Now() + kLingerTime);
  }
  Examine(std::move(connection));
}

void IdleConnections::OnReadable(int fd) {
  HttpConnectionPtr connection = Take(fd);
  if (connection != nullptr) {
    Examine(std::move(connection));
  }
}

void IdleConnections::Examine(HttpConnectionPtr connection) {
  SocketStream& stream = connection->stream();
  stream.FillAvailable();
  if (connection->lingers()) {
    stream.Discard(stream.buffered().size());
  }
  const size_t size = stream.buffered().size();
  if (HeadSize(stream.buffered()) > 0 || size > options_.max_header_bytes_) {
    dispatch_(std::move(connection));
    return;
  }
  if (stream.end() != StreamEnd::kOpen ||
      (draining_.load() && size == 0 && !connection->lingers())) {
    return;
  }
  if (size > 0 && !connection->deadline()) {
    connection->set_deadline(clock_.Now() + options_.request_timeout_);
  }
  Wait(std::move(connection));
}

void IdleConnections::Wait(HttpConnectionPtr connection) {
  const int fd = connection->stream().descriptor();
  if (connection->deadline()) {
    deadlines_.emplace(*connection->deadline(), fd);
  }
  const bool polled = connection->is_polled() ? poller_->Modify(fd, kEvents)
                                              : poller_->Add(fd, kEvents);
  connection->set_polled();
  if (polled) {
    waiting_.emplace(fd, std::move(connection));
  }
}

void IdleConnections::CloseExpired() {
  const state::Millis now = clock_.Now();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const HttpConnectionPtr connection = Take(deadlines_.begin()->second);
    if (!connection->lingers()) {
      counters_->Add(state::Counter::kHttpRequestsMalformed);
      connection->stream().SendRefusal(
          RefusalResponse(kRequestTimeout, options_.refusal_headers_));
    }
  }
}

void IdleConnections::CloseUnused() {
  std::vector<int> descriptors;
  for (const auto& [fd, connection] : waiting_) {
    descriptors.push_back(fd);
  }
  for (const int fd : descriptors) {
    Examine(Take(fd));
  }
}

HttpConnectionPtr IdleConnections::Take(int fd) {
  const auto found = waiting_.find(fd);
  if (found == waiting_.end()) {
    return nullptr;
  }
  HttpConnectionPtr connection = std::move(found->second);
  waiting_.erase(found);
  if (connection->deadline()) {
    deadlines_.erase({*connection->deadline(), fd});
  }
  return connection;
}

}  // namespace gooseberrygap::transport
