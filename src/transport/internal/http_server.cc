#include <atomic>
#include <memory>
#include <utility>
#include <vector>

#include "transport/internal/http_listener.h"
#include "transport/internal/idle_connections.h"
#include "transport/internal/request_runner.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

namespace {

// A worker without work sleeps; the bound only limits one wait.
constexpr state::Millis kIdleWait(3600000);

class HttpServerImpl : public HttpServer {
 public:
  HttpServerImpl(const Options& options,
                 Handler handler,
                 state::Counters* counters,
                 std::unique_ptr<HttpListener> listener,
                 std::unique_ptr<Poller> idle_poller)
      : options_(options),
        handler_(std::move(handler)),
        counters_(counters),
        count_(options.max_connections_),
        ready_(options.max_connections_),
        listener_(std::move(listener)),
        idle_(
            options_,
            std::move(idle_poller),
            [this](HttpConnectionPtr connection) {
              ready_.TryPush(std::move(connection));
            },
            counters) {
    for (int i = 0; i < options_.workers_; ++i) {
      workers_.push_back(
          std::make_unique<DutyThread>("http-worker", [this] { Work(); }));
    }
    listener_->Start([this](Descriptor socket) { Accept(std::move(socket)); });
  }

  ~HttpServerImpl() override { StopGracefully(); }

  void StopGracefully() override {
    absl::MutexLock lock(&stop_mutex_);
    stopping_.store(true);
    listener_->Stop();
    idle_.BeginDrain();
    count_.WaitUntilNone();
    ready_.Close();
    workers_.clear();
  }

  std::string address() const override { return listener_->address(); }

 private:
  void Accept(Descriptor socket) {
    if (!count_.TryAdd()) {
      counters_->Add(state::Counter::kHttpConnectionsRefused);
      return;
    }
    counters_->Add(state::Counter::kHttpConnectionsAccepted);
    idle_.Put(std::make_unique<HttpConnection>(
        std::move(socket), options_.max_header_bytes_, &count_));
  }

  void Work() {
    RequestRunner runner(options_, handler_, stopping_, counters_);
    while (true) {
      std::optional<HttpConnectionPtr> next = ready_.Pop(kIdleWait);
      if (next) {
        Serve(&runner, std::move(*next));
      } else if (ready_.closed()) {
        return;
      }
    }
  }

  void Serve(RequestRunner* runner, HttpConnectionPtr connection) {
    const ConnectionFate fate = runner->Serve(connection.get());
    if (fate == ConnectionFate::kClosed) {
      return;
    }
    if (fate == ConnectionFate::kLingers) {
      connection->set_lingers();
    }
    connection->stream().ReleaseBuffers();
    // Behind those that wait, if another request has already come.
    idle_.Put(std::move(connection));
  }

  const Options options_;
  const Handler handler_;
  state::Counters* const counters_;
  std::atomic<bool> stopping_ = false;
  absl::Mutex stop_mutex_;
  ConnectionCount count_;
  // Holds every connection, so it is never full.
  Ring<HttpConnectionPtr> ready_;
  const std::unique_ptr<HttpListener> listener_;
  IdleConnections idle_;
  std::vector<std::unique_ptr<DutyThread>> workers_
      ABSL_GUARDED_BY(stop_mutex_);
};

}  // namespace

state::Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const Options& options,
    Handler handler,
    state::Counters* counters) {
  state::Result<std::unique_ptr<HttpListener>> listener =
      HttpListener::Listen(options.listen_address_, counters);
  if (!listener) {
    return listener.error();
  }
  state::Result<std::unique_ptr<Poller>> poller = Poller::Create();
  if (!poller) {
    return poller.error();
  }
  return std::unique_ptr<HttpServer>(std::make_unique<HttpServerImpl>(
      options, std::move(handler), counters, std::move(listener).value(),
      std::move(poller).value()));
}

}  // namespace gooseberrygap::transport
