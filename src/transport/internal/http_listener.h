#ifndef TRANSPORT_INTERNAL_HTTP_LISTENER_H_
#define TRANSPORT_INTERNAL_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <string>

#include "transport/internal/descriptor.h"
#include "transport/internal/poller.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

// The `http-accept` duty: accepts connections until it is stopped. Of httplib's
// own accept loop, which ends for good at the first failed accept and resets
// the connections it has not accepted when it stops, nothing is used.
class HttpListener {
 public:
  // Takes a connected, non-blocking socket.
  using Accepted = std::function<void(Descriptor)>;

  // Binds and listens; accepts from Start on. `counters` must outlive the
  // listener.
  static state::Result<std::unique_ptr<HttpListener>> Listen(
      const std::string& address,
      state::Counters* counters);
  ~HttpListener() { Stop(); }

  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Call once, before the others.
  void Start(Accepted accepted);
  // Accepts what is waiting, closes the socket and returns. Not thread-safe.
  void Stop();
  std::string address() const { return address_; }

 private:
  HttpListener(Descriptor socket,
               std::string address,
               std::unique_ptr<Poller> poller,
               state::Counters* counters);

  void Run();
  // Returns false when the system has no descriptor left.
  bool AcceptWaiting();

  Descriptor socket_;
  const std::string address_;
  const std::unique_ptr<Poller> poller_;
  state::Counters* const counters_;
  Accepted accepted_;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_HTTP_LISTENER_H_
