#ifndef TRANSPORT_API_HTTP_SERVER_H_
#define TRANSPORT_API_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "state/state.h"
#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {

// The caller of a request, while its handler runs. Thread-safe.
class HttpCaller {
 public:
  // `descriptor` is the socket of the caller's connection.
  explicit HttpCaller(int descriptor) : descriptor_(descriptor) {}

  // Returns whether the caller has its connection open. A caller that ends its
  // direction of the connection counts as gone, as at the platform's address.
  bool IsConnected() const;

 private:
  const int descriptor_;
};

// The `http-accept`, `http-idle` and `http-worker` duties: serves HTTP/1.1 with
// keep-alive. Idle connections cost no thread: they wait in one epoll.
class HttpServer {
 public:
  struct Options {
    const std::string listen_address_ = {};  // "127.0.0.1:8101"
    const int workers_ = 64;
    const int max_connections_ = 2048;
    const size_t max_header_bytes_ = 16384;
    const size_t max_body_bytes_ = 1048576;
    // Time in which a started request must arrive whole.
    const state::Millis request_timeout_ = state::Millis(5000);
    // Added to the answers that the server gives itself: 400, 408, 413 and 431,
    // when a request is refused before the handler sees it.
    const std::vector<state::HttpHeader> refusal_headers_ = {};
    // Charged with what is held for callers. A request for which it has no room
    // is refused with 503, before it has run.
    const std::shared_ptr<ByteAccount> account_ =
        std::make_shared<ByteAccount>();
  };

  // Answers a request. Runs on a worker thread and may block it. The path is
  // whole and has its query, as the caller sent it; the body is whole; headers
  // of the connection and of the framing are left out. The server adds those to
  // the answer.
  using Handler = std::function<state::HttpAnswer(const state::HttpRequest&,
                                                  const HttpCaller&)>;

  // Binds and starts the threads. `counters` must outlive the server.
  static state::Result<std::unique_ptr<HttpServer>>
  Start(const Options& options, Handler handler, state::Counters* counters);

  virtual ~HttpServer() = default;

  // Stops accepting connections, answers every request that has begun to
  // arrive, closes idle connections and returns when no request is left.
  // Thread-safe; a second call waits for the first.
  virtual void StopGracefully() = 0;

  // Returns the address that it listens at, with the port chosen when the
  // options say port 0. Thread-safe.
  virtual std::string address() const = 0;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_HTTP_SERVER_H_
