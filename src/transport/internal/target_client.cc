#include "transport/api/target_client.h"

#include <sys/epoll.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "transport/api/duty_thread.h"
#include "transport/api/ring.h"
#include "transport/internal/answer_room.h"
#include "transport/internal/deliveries_in_progress.h"
#include "transport/internal/http_message.h"
#include "transport/internal/memory_relief.h"
#include "transport/internal/poller.h"
#include "transport/internal/target_link.h"

namespace gooseberrygap::transport {

namespace {

// How often answers are looked through for stalled ones while others wait.
constexpr state::Millis kReliefInterval(500);

constexpr uint32_t kReadable = EPOLLIN;
constexpr uint32_t kWritable = EPOLLOUT;
constexpr uint32_t kNone = 0;

struct QueuedDelivery {
  const coordination::DeliverToTarget delivery_ = {};
  const state::Millis deadline_ = {};
};

class TargetClientImpl : public TargetClient {
 public:
  TargetClientImpl(const Options& options,
                   Handler handler,
                   std::unique_ptr<Poller> poller,
                   state::Counters* counters)
      : options_(options),
        handler_(std::move(handler)),
        counters_(counters),
        poller_(std::move(poller)),
        ring_(options.ring_capacity_),
        room_(options.account_, options.max_buffered_bytes_),
        relief_(options.stall_),
        waiter_(options.account_->AddWaiter([this] { poller_->Wake(); })),
        thread_("target", [this] { Run(); }) {}

  ~TargetClientImpl() override {
    ring_.Close();
    poller_->Wake();
    thread_.Join();
    options_.account_->RemoveWaiter(waiter_);
  }

  bool Deliver(coordination::DeliverToTarget delivery) override {
    const uint64_t id = delivery.delivery_id_;
    const state::Millis deadline = clock_.Now() + delivery.timeout_;
    in_progress_.Add(id);
    if (ring_.TryPush(
            {.delivery_ = std::move(delivery), .deadline_ = deadline})) {
      poller_->Wake();
      return true;
    }
    in_progress_.Remove(id);
    return false;
  }

  void Cancel(uint64_t delivery_id) override {
    if (in_progress_.Cancel(delivery_id)) {
      // The descriptor of an answer that waits for room is not watched.
      poller_->Wake();
    }
  }

 private:
  using Links = std::map<int, std::unique_ptr<TargetLink>>;  // By descriptor.

  void Run() {
    while (true) {
      StartWaiting();
      // Closed before it was seen empty, so that nothing can follow.
      const bool is_closed = ring_.closed();
      if (is_closed && active_ == 0 && StartWaiting() == 0 && active_ == 0) {
        return;
      }
      for (const int descriptor : poller_->Wait(TimeToNextCheck())) {
        OnReady(descriptor);
      }
      ExpireDeadlines();
      EndCancelled();
      GiveUpStalled();
      ReadHeld();
    }
  }

  // Starts the deliveries that fit the limit; returns how many.
  size_t StartWaiting() {
    size_t started = 0;
    while (active_ < options_.workers_) {
      const std::optional<QueuedDelivery> next = ring_.TryPop();
      if (!next.has_value()) {
        break;
      }
      Start(*next);
      ++started;
    }
    return started;
  }

  void Start(const QueuedDelivery& queued) {
    const coordination::DeliverToTarget& delivery = queued.delivery_;
    const bool can_start =
        clock_.Now() < queued.deadline_ &&
        !in_progress_.IsCancelled(delivery.delivery_id_) &&
        (delivery.connect_only_ || IsSendable(delivery.request_));
    TargetLink* link = can_start ? LinkFor(delivery) : nullptr;
    if (link == nullptr ||
        !in_progress_.Attach(delivery.delivery_id_, link->descriptor())) {
      Report({.delivery_id_ = delivery.delivery_id_,
              .end_ = DeliveryEnd::kConnectFailed});
      return;
    }
    ++active_;
    link->Begin(delivery, queued.deadline_);
    OnReady(link->descriptor());
  }

  // Returns an idle link that may carry the delivery, or a new one.
  TargetLink* LinkFor(const coordination::DeliverToTarget& delivery) {
    for (auto entry = links_.begin(); entry != links_.end();) {
      TargetLink* link = entry->second.get();
      ++entry;
      if (link->has_delivery()) {
        continue;
      }
      if (link->address() != delivery.address_ || !link->CanReuse()) {
        Close(link->descriptor());
        continue;
      }
      const bool is_fresh =
          clock_.Now() - link->last_used() <= options_.fresh_for_;
      if (!delivery.connect_only_ &&
          ((is_fresh && !link->has_refused()) || !delivery.fresh_connection_)) {
        return link;
      }
    }
    std::unique_ptr<TargetLink> opened =
        TargetLink::Connect(delivery.address_, &options_, &room_);
    if (opened == nullptr) {
      return nullptr;
    }
    const int descriptor = opened->descriptor();
    if (!poller_->Add(descriptor, EPOLLIN | EPOLLOUT)) {
      return nullptr;  // Unwatched, the connection would only time out.
    }
    TargetLink* link = opened.get();
    links_[descriptor] = std::move(opened);
    return link;
  }

  void OnReady(int descriptor) {
    const auto entry = links_.find(descriptor);
    if (entry == links_.end()) {
      return;
    }
    TargetLink* link = entry->second.get();
    if (!link->has_delivery()) {
      // The target has closed an idle connection, or sent what nobody asked.
      if (!link->CanReuse()) {
        Close(descriptor);
      }
      return;
    }
    const std::optional<DeliveryEnded> end = link->Progress(clock_.Now());
    if (end.has_value()) {
      Finish(link, *end);
      return;
    }
    Watch(*link);
  }

  void Watch(const TargetLink& link) {
    const uint32_t events = (link.is_held() ? kNone : kReadable) |
                            (link.waits_to_write() ? kWritable : kNone);
    if (events == kNone) {
      // The system reports the end of a connection for any set of events, again
      // and again.
      poller_->Remove(link.descriptor());
    } else if (!poller_->Modify(link.descriptor(), events)) {
      poller_->Add(link.descriptor(), events);
    }
  }

  // Goes on with the answers that wait for room, the oldest first.
  void ReadHeld() {
    while (!room_.waiting().empty()) {
      const int next = room_.waiting().front();
      OnReady(next);
      if (!room_.waiting().empty() && room_.waiting().front() == next) {
        return;
      }
    }
  }

  // Ends deliveries that were cancelled while their answers waited for room.
  void EndCancelled() {
    for (TargetLink* link : Held()) {
      if (in_progress_.IsCancelled(link->delivery_id())) {
        Finish(link, link->Abandon(DeliveryEnd::kIncompleteAnswer));
      }
    }
  }

  std::vector<TargetLink*> Held() const {
    std::vector<TargetLink*> held;
    for (const int descriptor : room_.waiting()) {
      held.push_back(links_.at(descriptor).get());
    }
    return held;
  }

  // Gives up answers that have stopped coming and hold the room that others
  // wait for.
  void GiveUpStalled() {
    const state::Millis now = clock_.Now();
    if (room_.waiting().empty() || now < relief_at_) {
      return;
    }
    relief_at_ = now + kReliefInterval;
    std::map<uint64_t, TargetLink*> links;
    std::vector<MemoryRelief::Load> loads;
    for (const auto& [descriptor, link] : links_) {
      if (link->has_delivery()) {
        loads.push_back(link->load());
        links.emplace(link->delivery_id(), link.get());
      }
    }
    for (const uint64_t id : relief_.Choose(loads, room_.wanted(), now)) {
      TargetLink* link = links.at(id);
      Finish(link, link->Abandon(DeliveryEnd::kIncompleteAnswer));
    }
  }

  void Finish(TargetLink* link, const DeliveryEnded& end) {
    --active_;
    if (end.end_ == DeliveryEnd::kIncompleteAnswer && link->has_answer_head()) {
      counters_->Add(state::Counter::kAnswersIncomplete);
    }
    // Before the connection may be closed, so that no Cancel meets a
    // descriptor that the system has given to another socket.
    const bool cancelled = in_progress_.Remove(end.delivery_id_);
    if (link->CanReuse()) {
      Watch(*link);
    } else {
      Close(link->descriptor());
    }
    if (!cancelled || end.end_ == DeliveryEnd::kAnswered) {
      handler_(end);
      return;
    }
    handler_({.delivery_id_ = end.delivery_id_,
              .end_ = DeliveryEnd::kCancelled,
              .sent_ = end.sent_});
  }

  // Reports a delivery that was not started.
  void Report(const DeliveryEnded& end) {
    const bool cancelled = in_progress_.Remove(end.delivery_id_);
    handler_({.delivery_id_ = end.delivery_id_,
              .end_ = cancelled ? DeliveryEnd::kCancelled : end.end_});
  }

  void Close(int descriptor) {
    poller_->Remove(descriptor);
    const auto entry = links_.find(descriptor);
    const bool closed_by_target = entry->second->closed_while_kept();
    const std::string address = entry->second->address();
    links_.erase(entry);
    // A process that has ended keeps no connection open.
    if (closed_by_target && options_.connections_closed_ &&
        std::none_of(links_.begin(), links_.end(), [&address](const auto& row) {
          return row.second->address() == address;
        })) {
      options_.connections_closed_(address);
    }
  }

  std::optional<state::Millis> TimeToNextCheck() const {
    std::optional<state::Millis> next;
    if (!room_.waiting().empty()) {
      next.emplace(kReliefInterval);
    }
    for (const auto& [descriptor, link] : links_) {
      if (link->has_delivery()) {
        const state::Millis left = link->deadline() - clock_.Now();
        next.emplace(std::min(next.value_or(left), left));
      }
    }
    return next;
  }

  void ExpireDeadlines() {
    std::vector<TargetLink*> expired;
    for (const auto& [descriptor, link] : links_) {
      if (link->has_delivery() && clock_.Now() >= link->deadline()) {
        expired.push_back(link.get());
      }
    }
    for (TargetLink* link : expired) {
      Finish(link,
             link->Abandon(link->has_sent() ? DeliveryEnd::kTimeout
                                            : DeliveryEnd::kConnectFailed));
    }
  }

  const Options options_;
  const Handler handler_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  const std::unique_ptr<Poller> poller_;
  DeliveriesInProgress in_progress_;
  Ring<QueuedDelivery> ring_;
  AnswerRoom room_;
  Links links_;
  int active_ = 0;
  MemoryRelief relief_;
  state::Millis relief_at_;
  const uint64_t waiter_;
  DutyThread thread_;
};

}  // namespace

std::unique_ptr<TargetClient> TargetClient::Start(const Options& options,
                                                  Handler handler,
                                                  state::Counters* counters) {
  state::Result<std::unique_ptr<Poller>> poller = Poller::Create();
  if (!poller) {
    return nullptr;
  }
  return std::make_unique<TargetClientImpl>(
      options, std::move(handler), std::move(poller).value(), counters);
}

}  // namespace gooseberrygap::transport
