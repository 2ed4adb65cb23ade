#include <memory>
#include <utility>
#include <vector>

#include "transport/internal/deliveries_in_progress.h"
#include "transport/internal/target_connection.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

namespace {

// A worker without work sleeps; the bound only limits one wait.
constexpr state::Millis kIdleWait(3600000);

struct QueuedDelivery {
  const coordination::DeliverToTarget delivery_ = {};
  const state::Millis deadline_ = {};
};

class TargetClientImpl : public TargetClient {
 public:
  TargetClientImpl(const Options& options,
                   Handler handler,
                   state::Counters* counters)
      : options_(options),
        handler_(std::move(handler)),
        counters_(counters),
        ring_(options.ring_capacity_) {
    for (int i = 0; i < options.workers_; ++i) {
      workers_.push_back(
          std::make_unique<DutyThread>("target-worker", [this] { Work(); }));
    }
  }

  ~TargetClientImpl() override {
    ring_.Close();
    workers_.clear();
  }

  bool Deliver(coordination::DeliverToTarget delivery) override {
    const uint64_t id = delivery.delivery_id_;
    const state::Millis deadline = clock_.Now() + delivery.timeout_;
    in_progress_.Add(id);
    if (ring_.TryPush(
            {.delivery_ = std::move(delivery), .deadline_ = deadline})) {
      return true;
    }
    in_progress_.Remove(id);
    return false;
  }

  void Cancel(uint64_t delivery_id) override {
    in_progress_.Cancel(delivery_id);
  }

 private:
  using Connection = std::unique_ptr<TargetConnection>;

  void Work() {
    Connection kept;
    while (true) {
      const std::optional<QueuedDelivery> next = ring_.Pop(kIdleWait);
      if (next) {
        handler_(Run(*next, &kept));
      } else if (ring_.closed()) {
        return;
      }
    }
  }

  DeliveryEnded Run(const QueuedDelivery& queued, Connection* kept) {
    const coordination::DeliverToTarget& delivery = queued.delivery_;
    if (delivery.connect_only_ ||
        (*kept != nullptr && !IsUsable(kept->get(), delivery))) {
      kept->reset();
    }
    DeliveryEnded result = Exchange(queued, kept);
    // Before the connection may be closed, so that no Cancel meets a
    // descriptor that the system has given to another socket.
    const bool cancelled = in_progress_.Remove(delivery.delivery_id_);
    if (*kept != nullptr && !(*kept)->CanReuse()) {
      kept->reset();
    }
    if (!cancelled || result.end_ == DeliveryEnd::kAnswered) {
      return result;
    }
    return {.delivery_id_ = delivery.delivery_id_,
            .end_ = DeliveryEnd::kCancelled,
            .sent_ = result.sent_};
  }

  bool IsUsable(TargetConnection* kept,
                const coordination::DeliverToTarget& delivery) const {
    const bool is_fresh =
        clock_.Now() - kept->last_used() <= options_.fresh_for_;
    return kept->address() == delivery.address_ &&
           (is_fresh || !delivery.fresh_connection_) && kept->CanReuse();
  }

  DeliveryEnded Exchange(const QueuedDelivery& queued, Connection* kept) {
    const coordination::DeliverToTarget& delivery = queued.delivery_;
    const uint64_t id = delivery.delivery_id_;
    DeliveryEnded not_sent = {.delivery_id_ = id,
                              .end_ = DeliveryEnd::kConnectFailed};
    if (clock_.Now() >= queued.deadline_) {
      return not_sent;
    }
    if (*kept == nullptr) {
      *kept = Connect(queued);
    }
    if (*kept == nullptr || !in_progress_.Attach(id, (*kept)->descriptor())) {
      return not_sent;
    }
    if (delivery.connect_only_) {
      return {.delivery_id_ = id};
    }
    DeliveryEnded result = (*kept)->Exchange(delivery, queued.deadline_,
                                             options_.max_answer_bytes_);
    if (result.end_ == DeliveryEnd::kCut && (*kept)->has_answer_head()) {
      counters_->Add(state::Counter::kAnswersCut);
    }
    return result;
  }

  // Returns nullptr when no connection came about.
  Connection Connect(const QueuedDelivery& queued) {
    const uint64_t id = queued.delivery_.delivery_id_;
    const std::string& address = queued.delivery_.address_;
    const state::Result<SocketAddress> parsed = ParseSocketAddress(address);
    if (!parsed) {
      return nullptr;
    }
    Descriptor socket = OpenTargetSocket(parsed.value());
    if (!socket.valid() || !in_progress_.Attach(id, socket.get()) ||
        !ConnectTargetSocket(socket, parsed.value(), queued.deadline_)) {
      in_progress_.Detach(id);
      return nullptr;
    }
    return std::make_unique<TargetConnection>(parsed.value(), address,
                                              std::move(socket));
  }

  const Options options_;
  const Handler handler_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  DeliveriesInProgress in_progress_;
  Ring<QueuedDelivery> ring_;
  std::vector<std::unique_ptr<DutyThread>> workers_;
};

}  // namespace

std::unique_ptr<TargetClient> TargetClient::Start(const Options& options,
                                                  Handler handler,
                                                  state::Counters* counters) {
  return std::make_unique<TargetClientImpl>(options, std::move(handler),
                                            counters);
}

}  // namespace gooseberrygap::transport
