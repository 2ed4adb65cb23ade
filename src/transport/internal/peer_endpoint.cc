#include "transport/internal/peer_endpoint_impl.h"

#include <zmq.h>

#include <utility>

#include "protocol/protocol.h"
#include "transport/api/start_check.h"
#include "transport/internal/release_buffer.h"

namespace gooseberrygap::transport {

namespace {

// Messages taken from one socket before the others get their turn.
constexpr int kMessagesPerTurn = 256;
// One socket for each peer; the default of ZeroMQ is 1023.
constexpr int kMaxSockets = 16384;
// What a context takes at its first socket, and the duty's own thread. ZeroMQ
// ends the process if the system refuses one of them.
constexpr int kContextThreads = 3;
constexpr int kContextDescriptors = 16;
// Heartbeats on connections that peers open. They only find peers that are gone
// without a close, so they may be rare: their number grows with the peers.
constexpr state::Millis kAcceptedHeartbeatInterval(10000);
constexpr state::Millis kAcceptedHeartbeatTimeout(30000);
constexpr state::Millis kShutdownLinger(300);

ZmqOptions RouterOptions(const PeerEndpoint::Options& options) {
  return {.high_water_mark_ = options.high_water_mark_,
          .heartbeat_interval_ = kAcceptedHeartbeatInterval,
          .heartbeat_timeout_ = kAcceptedHeartbeatTimeout,
          .max_message_bytes_ = options.max_message_bytes_,
          .max_queued_bytes_ = options.max_queued_bytes_};
}

}  // namespace

ZmqContext::ZmqContext() : context_(zmq_ctx_new()) {
  zmq_ctx_set(context_, ZMQ_MAX_SOCKETS, kMaxSockets);
}

ZmqContext::~ZmqContext() {
  zmq_ctx_term(context_);
}

state::Result<std::unique_ptr<PeerEndpoint>> PeerEndpoint::Start(
    const Options& options,
    Handler handler,
    state::Counters* counters) {
  BOOST_OUTCOME_TRYV(CheckThreads(kContextThreads));
  BOOST_OUTCOME_TRYV(CheckDescriptors(kContextDescriptors));
  state::Result<std::unique_ptr<Poller>> poller = Poller::Create();
  if (!poller) {
    return poller.error();
  }
  auto endpoint = std::make_unique<PeerEndpointImpl>(
      options, std::move(handler), counters, std::move(poller).value());
  state::Result<void> bound = endpoint->Bind();
  if (!bound) {
    return bound.error();
  }
  endpoint->StartThread();
  return std::unique_ptr<PeerEndpoint>(std::move(endpoint));
}

PeerEndpointImpl::PeerEndpointImpl(const Options& options,
                                   Handler handler,
                                   state::Counters* counters,
                                   std::unique_ptr<Poller> poller)
    : options_(options),
      handler_(std::move(handler)),
      counters_(counters),
      poller_(std::move(poller)),
      ring_(options.ring_capacity_),
      bodies_({.hold_ = options.hold_,
               .max_body_bytes_ = options.max_message_bytes_},
              options.account_,
              counters,
              ExchangePort()),
      account_waiter_(
          options_.account_->AddWaiter([this] { poller_->Wake(); })) {}

PeerEndpointImpl::~PeerEndpointImpl() {
  options_.account_->RemoveWaiter(account_waiter_);
  ring_.Close();
  poller_->Wake();
  thread_.reset();
}

state::Result<void> PeerEndpointImpl::Bind() {
  state::Result<ZmqSocket> socket = ZmqSocket::Open(
      context_.get(), ZmqKind::kRouter, RouterOptions(options_));
  if (!socket) {
    return socket.error();
  }
  state::Result<void> bound = socket.value().Bind(options_.listen_address_);
  if (!bound) {
    return bound.error();
  }
  address_ = socket.value().BoundAddress();
  router_ = AddLink("", std::move(socket).value());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerEndpointImpl::StartThread() {
  thread_ = std::make_unique<DutyThread>("peer", [this] { Run(); });
}

bool PeerEndpointImpl::Send(coordination::SendToPeer command) {
  return Push(std::move(command));
}

bool PeerEndpointImpl::Reply(coordination::ReplyToPeer command) {
  return Push(std::move(command));
}

bool PeerEndpointImpl::Reset(coordination::ResetLink command) {
  return Push(std::move(command));
}

bool PeerEndpointImpl::Push(PeerCommand command) {
  if (!ring_.TryPush(std::move(command))) {
    counters_->Add(state::Counter::kPeerSendsRefused);
    return false;
  }
  poller_->Wake();
  return true;
}

void PeerEndpointImpl::Run() {
  while (!ring_.closed()) {
    const std::vector<int> ready = poller_->Wait(NextWait());
    touched_.insert(ready.begin(), ready.end());
    ExecuteCommands();
    ReceiveAll();
    bodies_.Advance(clock_.Now());
    CloseUnusedLinks();
  }
  ExecuteCommands();
  for (auto& [fd, link] : links_) {
    link->socket_.SetLinger(kShutdownLinger);
  }
  links_.clear();
}

std::optional<state::Millis> PeerEndpointImpl::NextWait() const {
  if (!touched_.empty()) {
    return state::Millis(0);
  }
  if (!bodies_.empty()) {
    return kTransferTick;
  }
  return dealers_.empty() ? std::nullopt : std::optional(kLinkCheckInterval);
}

void PeerEndpointImpl::ExecuteCommands() {
  // Bounded, so that a stream of commands does not hold up arrivals.
  for (size_t i = 0; i < options_.ring_capacity_; ++i) {
    std::optional<PeerCommand> command = ring_.TryPop();
    if (!command) {
      return;
    }
    std::visit([this](const auto& item) { Execute(item); }, *command);
  }
  poller_->Wake();
}

void PeerEndpointImpl::Execute(const coordination::SendToPeer& command) {
  const auto* attempt = std::get_if<coordination::Attempt>(&command.message_);
  if (attempt != nullptr && command.send_before_.has_value() &&
      clock_.Now() >= *command.send_before_) {
    // The process was stopped, or held up, since the attempt was decided.
    RefuseUnsent(command.address_, *attempt,
                 state::RefusalReason::kAuthorizationExpired);
    return;
  }
  if (!bodies_.OnSending(command.message_)) {
    return;
  }
  Link* link = DealerFor(command.address_);
  if (link == nullptr) {
    counters_->Add(state::Counter::kPeerSendsRefused);
    return;
  }
  if (attempt != nullptr) {
    ++link->unanswered_;
  } else if (std::holds_alternative<coordination::Cancel>(command.message_)) {
    link->OnAttemptEnded();
  }
  SendTo(link, command);
}

void PeerEndpointImpl::Execute(const coordination::ReplyToPeer& command) {
  if (command.connection_.empty()) {
    counters_->Add(state::Counter::kPeerSendsRefused);
    return;
  }
  const bool accepts_offers = command.connection_.back() == kAcceptsOffers;
  std::string frame(command.connection_, 0, command.connection_.size() - 1);
  if (accepts_offers && BodyExchange::IsLarge(command.message_)) {
    bodies_.Offer({.connection_ = std::move(frame)}, command.message_,
                  std::nullopt, clock_.Now());
    return;
  }
  SendOn(router_, {frame}, command.message_);
}

void PeerEndpointImpl::Execute(const coordination::ResetLink& command) {
  const auto dealer = dealers_.find(command.address_);
  if (dealer == dealers_.end()) {
    return;
  }
  CloseLink(dealer->second);
  counters_->Add(state::Counter::kLinksReset);
}

void PeerEndpointImpl::SendOn(Link* link,
                              const std::vector<absl::string_view>& frames,
                              const coordination::PeerMessage& message) {
  if (SendEncoded(link, frames, protocol::EncodePeerMessage(message))) {
    return;
  }
  counters_->Add(state::Counter::kPeerSendsRefused);
  if (const auto* attempt = std::get_if<coordination::Attempt>(&message)) {
    link->OnAttemptEnded();
    RefuseUnsent(link->address_, *attempt,
                 state::RefusalReason::kInternalQueueFull);
  }
}

bool PeerEndpointImpl::SendEncoded(Link* link,
                                   const std::vector<absl::string_view>& frames,
                                   std::string payload) {
  const size_t bytes = payload.size();
  // A receiver closes the connection on a message above the limit, which would
  // lose the others in flight.
  const bool is_sent = bytes <= options_.max_message_bytes_ &&
                       link->socket_.Send(frames, std::move(payload));
  if (is_sent) {
    counters_->Add(state::Counter::kPeerMessagesSent);
    counters_->Add(state::Counter::kPeerBytesSent, bytes);
  }
  link->last_used_ = clock_.Now();
  // Sending may take the signal of an arrival off the poll descriptor.
  touched_.insert(link->fd_);
  return is_sent;
}

void PeerEndpointImpl::ReceiveAll() {
  for (const int fd : std::exchange(touched_, {})) {
    const auto link = links_.find(fd);
    if (link != links_.end() && !ReceiveSome(link->second.get())) {
      touched_.insert(fd);
    }
  }
}

bool PeerEndpointImpl::ReceiveSome(Link* link) {
  std::vector<std::string> frames;
  for (int i = 0; i < kMessagesPerTurn; ++i) {
    if (!link->socket_.Receive(&frames)) {
      return true;
    }
    link->last_used_ = clock_.Now();
    if (!link->has_received_) {
      link->has_received_ = true;
      connect_schedule_.OnReceived(link->address_);
    }
    HandleFrames(link, std::exchange(frames, {}));
  }
  return false;
}

void PeerEndpointImpl::HandleFrames(Link* link,
                                    std::vector<std::string> frames) {
  const size_t expected = link == router_ ? 2 : 1;
  if (frames.size() != expected) {
    counters_->Add(state::Counter::kPeerMessagesMalformed);
    return;
  }
  bool has_room = true;
  const size_t bytes = frames.back().size();
  state::Result<protocol::PeerFrame> frame = Decode(frames.back(), &has_room);
  if (!frame) {
    counters_->Add(state::Counter::kPeerMessagesMalformed);
    return;
  }
  // The body exists a second time from here on.
  ReleaseBuffer(&frames.back());
  counters_->Add(state::Counter::kPeerMessagesReceived);
  counters_->Add(state::Counter::kPeerBytesReceived, bytes);
  const bool accepts_offers = frame.value().accepts_offers_;
  const bool is_router = link == router_;
  const std::string connection = is_router ? frames.front() : std::string();
  if (const auto* transfer =
          std::get_if<protocol::TransferMessage>(&frame.value().content_)) {
    link->accepts_offers_ = true;
    if (!is_router) {
      ReportActivity(link);
    }
    bodies_.OnTransfer({.connection_ = connection, .address_ = link->address_},
                       *transfer, clock_.Now());
    return;
  }
  link->accepts_offers_ = accepts_offers;
  if (!is_router && !accepts_offers) {
    SendUnansweredWhole(link);
  }
  HandleMessage(
      link,
      is_router ? connection + (accepts_offers ? kAcceptsOffers : kNoOffers)
                : std::string(),
      std::get<coordination::PeerMessage>(std::move(frame).value().content_),
      has_room);
}

}  // namespace gooseberrygap::transport
