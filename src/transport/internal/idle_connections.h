#ifndef TRANSPORT_INTERNAL_IDLE_CONNECTIONS_H_
#define TRANSPORT_INTERNAL_IDLE_CONNECTIONS_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "transport/internal/http_connection.h"
#include "transport/internal/poller.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

// The `http-idle` duty: connections wait here until the head of a request has
// arrived, so that neither an idle nor a slow caller holds a worker.
class IdleConnections {
 public:
  // Takes a connection whose next request can be read.
  using Dispatch = std::function<void(HttpConnectionPtr)>;

  IdleConnections(const HttpServer::Options& options,
                  std::unique_ptr<Poller> poller,
                  Dispatch dispatch,
                  state::Counters* counters);
  ~IdleConnections();

  // Takes a connection that waits for its next request, or lingers.
  // Thread-safe.
  void Put(HttpConnectionPtr connection);

  // From now on closes connections on which no request has begun. Thread-safe.
  void BeginDrain();

 private:
  void Run();
  std::optional<state::Millis> TimeToNextDeadline() const;
  void TakeNew();
  void Admit(HttpConnectionPtr connection);
  void OnReadable(int fd);
  // Reads what has come; keeps waiting, dispatches or closes.
  void Examine(HttpConnectionPtr connection);
  void Wait(HttpConnectionPtr connection);
  void CloseExpired();
  void CloseUnused();
  HttpConnectionPtr Take(int fd);

  const HttpServer::Options& options_;
  const std::unique_ptr<Poller> poller_;
  const Dispatch dispatch_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  Ring<HttpConnectionPtr> ring_;
  std::atomic<bool> draining_ = false;

  // Only for the thread.
  std::map<int, HttpConnectionPtr> waiting_;  // By descriptor.
  std::set<std::pair<state::Millis, int>> deadlines_;
  bool drained_ = false;

  std::unique_ptr<DutyThread> thread_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_IDLE_CONNECTIONS_H_
