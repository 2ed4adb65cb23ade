#ifndef SUPPORT_CONNECTION_SERVER_H_
#define SUPPORT_CONNECTION_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <memory>

#include "state/state.h"
#include "support/address.h"
#include "transport/transport.h"

namespace gooseberrygap::test_support {

// A counter of the operating system that threads can wait on together with a
// socket. Thread-safe.
class WakeEvent {
 public:
  WakeEvent();
  ~WakeEvent();

  WakeEvent(const WakeEvent&) = delete;
  WakeEvent& operator=(const WakeEvent&) = delete;

  // Makes the descriptor readable until Clear.
  void Signal();
  void Clear();
  int descriptor() const { return descriptor_; }

 private:
  const int descriptor_;
};

// An HTTP server with one thread for each open connection, up to a limit. A
// thread sleeps in poll while its connection is idle; the loop of the library
// wakes every 10 ms, which costs 30% of a core at 240 connections.
class ConnectionServer : public httplib::Server {
 public:
  static constexpr int kMaxConnections = 320;

  ConnectionServer();
  // Stops the server if it runs.
  ~ConnectionServer() override;

  // Binds the address and serves on a thread of its own. Handlers must be set
  // before. Call it once.
  state::Result<void> Start(const Address& address);

  // Answers the requests that have begun to arrive, closes all connections and
  // returns. Thread-safe; later calls do nothing.
  void Stop();

  // Returns the socket of the request that the calling handler answers.
  static int CurrentSocket();

 private:
  bool process_and_close_socket(socket_t socket) override;

  WakeEvent stop_event_;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<transport::DutyThread> accept_thread_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_CONNECTION_SERVER_H_
