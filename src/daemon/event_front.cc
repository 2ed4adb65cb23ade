#include "daemon/event_front.h"

#include <utility>

#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

// Set in the ids of this front's calls, to distinguish them from those of
// HttpFront.
constexpr uint64_t kCallBit = uint64_t{1} << 63;
// Limits of the requests of operators, targets and the platform, and of callers
// before a configuration is in force.
constexpr state::CallerLimits kAdministrationLimits = {
    .max_header_bytes_ = 16384,
    .max_body_bytes_ = 4194304,
    .header_timeout_ = state::Millis(5000),
    .idle_timeout_ = state::Millis(60000)};
// Copies of a configuration at a daemon while the next one comes into force:
// the two, the encoding and what is derived from it. The account leaves room
// for those of an ordinary one of 4,200 routes.
constexpr size_t kCopies = 4;
constexpr size_t kUnchargedBytes = size_t{6} * 1024 * 1024;
// Bytes of a refusal that are logged: it can quote a value of any size.
constexpr size_t kMaxLoggedBytes = 256;

}  // namespace

EventFront::EventFront(const protocol::FrontDialect* dialect,
                       NodeDuty* node,
                       OperatorDuty* operators,
                       state::Counters* counters)
    : dialect_(dialect),
      node_(node),
      operators_(operators),
      counters_(counters) {}

state::Result<void> EventFront::Start(
    const protocol::PlatformSettings& settings,
    const protocol::PressureSettings& pressure,
    std::shared_ptr<transport::ByteAccount> account) {
  service_ = settings.service_;
  configuration_charge_.emplace(account, transport::HeldKind::kMessages);
  // An earlier start may have failed.
  listeners_.clear();
  const std::vector<Listener> listeners = {
      {settings.calls_, &protocol::FrontDialect::ReadCall},
      {settings.readiness_, &protocol::FrontDialect::ReadReadiness},
      {settings.administration_, &protocol::FrontDialect::ReadAdministration}};
  std::vector<std::string> listen;
  for (const Listener& listener : listeners) {
    if (listener.read_ == &protocol::FrontDialect::ReadCall &&
        !listener.address_.empty()) {
      calls_listener_ = listeners_.size();
    }
    if (!listener.address_.empty()) {
      listeners_.push_back(listener);
      listen.push_back(listener.address_);
    }
  }
  auto server = transport::CallServer::Start(
      transport::CallServer::Options{
          .listen_addresses_ = listen,
          .max_connections_ = settings.max_connections_,
          .limits_ = kAdministrationLimits,
          .account_ = std::move(account),
          .hold_ = pressure.hold_,
          .stall_ = pressure.stall_},
      this, counters_);
  if (!server) {
    return server.error();
  }
  server_ = std::move(server).value();
  started_.Notify();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void EventFront::AnnounceStop() {
  stopping_.store(true);
  server_->CloseAfterAnswers();
}

void EventFront::StopGracefully() {
  server_->StopGracefully();
}

void EventFront::OnRequest(
    const transport::CallServer::ReceivedRequest& arrival) {
  // A request can arrive before Start has stored the server.
  started_.WaitForNotification();
  const RequestReader read = listeners_[arrival.listener_].read_;
  std::visit([this, &arrival](
                 const auto& request) { Handle(arrival.request_id_, request); },
             (dialect_->*read)(arrival.request_));
}

void EventFront::OnCallerDisconnected(uint64_t request_id) {
  order_callers_.OnDisconnected(request_id);
  node_->Post(
      coordination::CallerDisconnected{.call_id_ = request_id | kCallBit});
}

void EventFront::OnAnswer(uint64_t call_id,
                          const coordination::CallAnswer& answer) {
  if ((call_id & kCallBit) != 0) {
    server_->Answer(call_id & ~kCallBit, dialect_->PrintCallAnswer(answer));
  }
}

void EventFront::OnAnnouncementAnswered(uint64_t call_id, bool acknowledged) {
  if ((call_id & kCallBit) != 0) {
    server_->Answer(call_id & ~kCallBit,
                    dialect_->PrintAcknowledgement(acknowledged));
  }
}

void EventFront::OnConfiguration(
    const state::IndexedConfiguration& configuration) {
  started_.WaitForNotification();
  const size_t bytes = kCopies * state::SizeOf(*configuration.configuration_);
  configuration_charge_->Resize(
      bytes > kUnchargedBytes ? bytes - kUnchargedBytes : 0);
  // Operators, targets and the platform must reach the daemon whatever limits
  // an operator has set for callers.
  if (calls_listener_.has_value()) {
    server_->SetLimits(*calls_listener_,
                       configuration.configuration_->caller_limits_);
  }
}

void EventFront::Handle(uint64_t id, const protocol::CallRequest& request) {
  const bool accepted = node_->Post(
      coordination::CallReceived{.call_id_ = id | kCallBit,
                                 .host_ = request.host_,
                                 .request_ = request.request_,
                                 .deadline_left_ = request.deadline_left_,
                                 .origin_service_ = service_,
                                 .caller_id_ = request.caller_id_,
                                 .api_key_ = request.api_key_,
                                 .credentials_ = request.credentials_});
  if (!accepted) {
    counters_->Add(state::RefusalReason::kInternalQueueFull);
    server_->Answer(id,
                    dialect_->PrintCallAnswer(coordination::CallAnswer{
                        .reason_ = state::RefusalReason::kInternalQueueFull}));
  }
}

void EventFront::Handle(uint64_t id, const protocol::ReadinessRequest&) {
  const bool is_ready = node_->is_ready() && !stopping_.load();
  server_->Answer(id, dialect_->PrintReadiness(is_ready));
}

void EventFront::Handle(uint64_t id,
                        const coordination::TargetAnnounced& request) {
  PostAnnouncement(coordination::AnnouncementReceived{
      .call_id_ = id | kCallBit, .announcement_ = request});
}

void EventFront::Handle(uint64_t id,
                        const coordination::TargetWithdrawn& request) {
  PostAnnouncement(coordination::AnnouncementReceived{
      .call_id_ = id | kCallBit, .announcement_ = request});
}

void EventFront::PostAnnouncement(
    const coordination::AnnouncementReceived& announcement) {
  if (!node_->Post(announcement)) {
    OnAnnouncementAnswered(announcement.call_id_, false);
  }
}

void EventFront::Handle(uint64_t id,
                        const protocol::ReadConfiguration& request) {
  PostOperatorRequest(id, request);
}

void EventFront::Handle(uint64_t id,
                        const protocol::ReplaceConfiguration& request) {
  PostOperatorRequest(id, request);
}

void EventFront::Handle(uint64_t id,
                        const protocol::ChangeConfiguration& request) {
  PostOperatorRequest(id, request);
}

void EventFront::Handle(uint64_t id, const protocol::OrderEvacuation& request) {
  PostOperatorRequest(id,
                      ReceivedOrder{.order_ = request,
                                    .received_at_ = clock_.Now(),
                                    .caller_waits_ = order_callers_.Open(id)});
}

void EventFront::Handle(uint64_t id, const protocol::RefusedRequest& request) {
  if (request.counter_.has_value()) {
    counters_->Add(*request.counter_);
    Log({.level_ = state::LogLevel::kWarning,
         .event_ = "announcement_refused",
         .fields_ = {{"answer", std::string(request.answer_.body_.view().substr(
                                    0, kMaxLoggedBytes))}}});
  }
  server_->Answer(id, request.answer_);
}

void EventFront::PostOperatorRequest(uint64_t id, OperatorRequest request) {
  const bool accepted =
      operators_ != nullptr &&
      operators_->Post(std::move(request),
                       [this, id](const state::HttpAnswer& answer) {
                         order_callers_.Close(id);
                         server_->Answer(id, answer);
                       });
  if (!accepted) {
    order_callers_.Close(id);
    server_->Answer(id, dialect_->PrintSubmissionOutcome(
                            protocol::SubmissionOutcome::kNotCertain,
                            "This daemon takes no orders at the moment."));
  }
}

}  // namespace gooseberrygap::daemon
