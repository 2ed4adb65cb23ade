#include <algorithm>
#include <utility>

#include "transport/internal/call_server_impl.h"

namespace gooseberrygap::transport {

namespace {

// Far above the requests that one daemon has in progress.
constexpr size_t kRingCapacity = 16384;
// Orders other than answers: new limits and those of a stop. A lost order to
// stop would keep the process from ending.
constexpr size_t kRingReserve = 64;
// How long a stopping server reads a request that has not come whole.
constexpr state::Millis kStopReadTime(1000);
// How often connections are looked through for those that last too long.
constexpr state::Millis kTimeCheck(500);
// Room that is made for each request that was refused for want of it.
constexpr size_t kRefusedBytes = 65536;

}  // namespace

CallServerImpl::CallServerImpl(const Options& options,
                               std::vector<ListenSocket> listeners,
                               std::unique_ptr<Poller> poller,
                               Handler* handler,
                               state::Counters* counters)
    : options_(options),
      handler_(handler),
      counters_(counters),
      poller_(std::move(poller)),
      listeners_(std::move(listeners)),
      ring_(kRingCapacity, kRingReserve),
      relief_(options.stall_) {
  waiter_ = options_.account_->AddWaiter([this] {
    has_room_.store(true);
    poller_->Wake();
  });
  limits_.resize(listeners_.size(), MakeLimits(options.limits_));
  for (const ListenSocket& listener : listeners_) {
    addresses_.push_back(listener.address_);
    poller_->Add(listener.socket_.get(), EPOLLIN);
  }
  thread_ = std::make_unique<DutyThread>("http", [this] { Run(); });
}

CallServerImpl::~CallServerImpl() {
  options_.account_->RemoveWaiter(waiter_);
  ring_.Close();
  poller_->Wake();
  thread_->Join();
}

void CallServerImpl::Answer(uint64_t request_id, state::HttpAnswer answer) {
  Give(GivenAnswer{.request_id_ = request_id, .answer_ = std::move(answer)});
}

void CallServerImpl::SetLimits(size_t listener,
                               const state::CallerLimits& limits) {
  Give(NewLimits{.listener_ = listener, .limits_ = limits});
}

void CallServerImpl::StopGracefully() {
  Give(StopAccepting{});
  all_answered_.WaitForNotification();
}

CallServerImpl::Limits CallServerImpl::MakeLimits(
    const state::CallerLimits& limits) {
  return std::make_shared<const state::CallerLimits>(limits);
}

void CallServerImpl::Give(Order order) {
  const bool is_taken = std::holds_alternative<GivenAnswer>(order)
                            ? ring_.TryPush(std::move(order))
                            : ring_.TryPushReserved(std::move(order));
  if (!is_taken) {
    counters_->Add(state::RefusalReason::kInternalQueueFull);
  }
  poller_->Wake();
}

void CallServerImpl::Run() {
  while (!ring_.closed()) {
    for (const int descriptor : poller_->Wait(NextWait())) {
      OnReady(descriptor);
    }
    if (pause_.TakeEnd(clock_.Now())) {
      WatchListeners(kReadable);
    }
    while (std::optional<Order> order = ring_.TryPop()) {
      std::visit([this](const auto& concrete) { On(concrete); }, *order);
    }
    if (has_room_.exchange(false)) {
      ReadHeld();
    }
    CheckTime();
    if (stopping_ && connections_.empty() && !all_answered_.HasBeenNotified()) {
      all_answered_.Notify();
    }
  }
}

std::optional<state::Millis> CallServerImpl::NextWait() const {
  const std::optional<state::Millis> pause = pause_.TimeLeft(clock_.Now());
  if (connections_.empty()) {
    return pause;
  }
  return std::min(pause.value_or(kTimeCheck), kTimeCheck);
}

void CallServerImpl::On(const GivenAnswer& given) {
  const auto entry = requests_.find(given.request_id_);
  if (entry == requests_.end()) {
    return;  // The caller has left.
  }
  CallConnection* connection = entry->second;
  requests_.erase(entry);
  connection->Answer(given.request_id_, given.answer_);
  connection->Flush(clock_.Now());
  if (connection->has_unread()) {
    Read(connection);
  } else {
    Continue(connection);
  }
}

void CallServerImpl::On(const NewLimits& order) {
  limits_.at(order.listener_) = MakeLimits(order.limits_);
}

void CallServerImpl::On(const CloseAfterAnswer&) {
  CloseAfterPending();
}

void CallServerImpl::On(const StopAccepting&) {
  CloseAfterPending();
  stopping_ = true;
  // Connections that wait to be accepted may hold requests.
  for (size_t i = 0; i < listeners_.size(); ++i) {
    Accept(i);
    poller_->Remove(listeners_[i].socket_.get());
  }
  listeners_.clear();
  const state::Millis reading_limit = clock_.Now() + kStopReadTime;
  for (CallConnection* connection : All()) {
    connection->LimitReading(reading_limit);
  }
  CloseIdle();
}

void CallServerImpl::CloseAfterPending() {
  closes_ = true;
  for (CallConnection* connection : All()) {
    connection->CloseAfterPending();
    Continue(connection);
  }
}

void CallServerImpl::CheckTime() {
  const state::Millis now = clock_.Now();
  if (now < check_at_) {
    return;
  }
  check_at_ = now + kTimeCheck;
  for (CallConnection* connection : All()) {
    connection->CheckTime(*limits_[connection->listener()], now);
    Continue(connection);
  }
  Relieve(now);
  if (stopping_) {
    CloseIdle();
  }
}

void CallServerImpl::Relieve(state::Millis now) {
  std::map<uint64_t, CallConnection*> connections;
  std::vector<MemoryRelief::Load> loads;
  const size_t held = options_.account_->held();
  const size_t limit = options_.account_->limit();
  size_t wanted = options_.account_->wanted();
  wanted += kRefusedBytes * std::exchange(refused_for_room_, 0);
  wanted += held > limit ? held - limit : 0;
  for (CallConnection* connection : All()) {
    wanted += connection->missing_bytes();
    loads.push_back(connection->load());
    connections.emplace(loads.back().connection_, connection);
  }
  for (const uint64_t number : relief_.Choose(loads, wanted, now)) {
    CallConnection* connection = connections.at(number);
    connection->CloseForRoom();
    Continue(connection);
  }
}

void CallServerImpl::CloseIdle() {
  for (CallConnection* connection : All()) {
    // A request may have arrived since the last wait for events. Closing the
    // connection would reset it.
    TakeRequests(connection);
    connection->CloseIfIdle();
    Continue(connection);
  }
}

std::vector<CallConnection*> CallServerImpl::All() const {
  std::vector<CallConnection*> all;
  all.reserve(connections_.size());
  for (const auto& [descriptor, connection] : connections_) {
    all.push_back(connection.get());
  }
  return all;
}

state::Result<std::unique_ptr<CallServer>> CallServer::Start(
    const Options& options,
    Handler* handler,
    state::Counters* counters) {
  state::Result<std::unique_ptr<Poller>> poller = Poller::Create();
  if (!poller) {
    return poller.error();
  }
  std::vector<ListenSocket> listeners;
  for (const std::string& address : options.listen_addresses_) {
    state::Result<ListenSocket> listener = ListenAt(address);
    if (!listener) {
      return listener.error();
    }
    listeners.push_back(std::move(listener).value());
  }
  return std::unique_ptr<CallServer>(std::make_unique<CallServerImpl>(
      options, std::move(listeners), std::move(poller).value(), handler,
      counters));
}

}  // namespace gooseberrygap::transport
