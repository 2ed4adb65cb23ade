#include "daemon/node_duty.h"

#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::NodeEvent;

constexpr size_t kRingCapacity = 16384;
// Events of the target client. Far more than a guard has in progress.
constexpr size_t kRingReserve = 4096;
constexpr state::Millis kViewTimeout(2000);
constexpr state::Millis kStatusInterval(10000);

struct StatusField {
  const absl::string_view name_;
  const state::Counter counter_;
};

constexpr StatusField kStatusFields[] = {
    {"calls", state::Counter::kCallsReceived},
    {"complete", state::Counter::kCallsComplete},
    {"not_run", state::Counter::kCallsNotRun},
    {"unknown", state::Counter::kCallsUnknown},
    {"cross_region", state::Counter::kCallsCrossRegion},
    {"attempts_received", state::Counter::kAttemptsReceived},
    {"deliveries", state::Counter::kDeliveries},
    {"pace_probes", state::Counter::kPaceProbes},
    {"peer_messages_sent", state::Counter::kPeerMessagesSent},
    {"peer_bytes_sent", state::Counter::kPeerBytesSent},
    {"links_reset", state::Counter::kLinksReset},
    {"lease_moves", state::Counter::kLeaseControlMoves},
};

}  // namespace

NodeDuty::NodeDuty(const Options& options,
                   const protocol::TargetDialect* dialect,
                   CallSlots* slots,
                   state::Counters* counters)
    : dialect_(dialect),
      slots_(slots),
      node_(options.node_, random_, counters),
      ring_(kRingCapacity, kRingReserve),
      target_client_(transport::TargetClient::Start(
          transport::TargetClient::Options{
              .workers_ = options.target_workers_,
              .account_ = options.account_,
              .stall_ = options.stall_,
              .accepts_until_close_ = options.accepts_until_close_,
              .identify_ =
                  [dialect](const coordination::DeliverToTarget& delivery,
                            const state::HttpAnswer& answer) {
                    return dialect->Identify(delivery, answer);
                  },
              .connections_closed_ =
                  [this](const std::string& address) {
                    ring_.TryPushReserved(
                        Item(NodeEvent(coordination::TargetConnectionsClosed{
                            .address_ = address})));
                  }},
          [this](const coordination::DeliveryEnded& ended) {
            // A lost end would keep a slot of the target in use for good.
            ring_.TryPushReserved(Item(NodeEvent(dialect_->Interpret(ended))));
          },
          counters)),
      counters_(counters) {}

NodeDuty::~NodeDuty() {
  Stop();
}

void NodeDuty::Stop() {
  ring_.Close();
  if (thread_ != nullptr) {
    thread_->Join();
  }
  target_client_.reset();
}

void NodeDuty::AddListener(NodeListener* listener) {
  listeners_.push_back(listener);
}

void NodeDuty::Start(transport::PeerEndpoint* peers) {
  peers_ = peers;
  thread_ = std::make_unique<transport::DutyThread>("node", [this] { Run(); });
}

bool NodeDuty::Post(NodeEvent event) {
  return ring_.TryPush(Item(std::move(event)));
}

bool NodeDuty::Announce(const coordination::TargetAnnounced& announced) {
  const auto opened = announcement_slots_.Open();
  const bool accepted = Post(coordination::AnnouncementReceived{
      .call_id_ = opened.id_, .announcement_ = announced});
  const std::optional<bool> acknowledged =
      accepted ? opened.slot_->Wait(kViewTimeout) : std::nullopt;
  announcement_slots_.Close(opened.id_);
  return acknowledged.value_or(false);
}

std::optional<NodeView> NodeDuty::View() {
  auto slot = std::make_shared<ViewSlot>();
  if (!ring_.TryPush(Item(ViewRequest{.slot_ = slot}))) {
    return std::nullopt;
  }
  return slot->Wait(kViewTimeout);
}

void NodeDuty::Run() {
  state::Millis next_tick = clock_.Now();
  while (!ring_.closed()) {
    const state::Millis now = clock_.Now();
    if (now >= next_tick) {
      Handle(coordination::Ticked{});
      next_tick = node_.NextTick(now);
      LogStatus();
    }
    // Events handled since the last tick can make the next one due earlier.
    next_tick = std::min(next_tick, node_.NextTick(now));
    const std::optional<Item> item =
        ring_.Pop(std::max(state::Millis(0), next_tick - clock_.Now()));
    if (!item.has_value()) {
      continue;
    }
    if (const auto* event = std::get_if<NodeEvent>(&*item)) {
      Handle(*event);
      continue;
    }
    std::get<ViewRequest>(*item).slot_->Put(
        NodeView{.status_ = node_.Status(clock_.Now()),
                 .configuration_ = node_.configuration(),
                 .targets_ = node_.Targets()});
  }
}

void NodeDuty::LogStatus() {
  const state::Millis now = clock_.Now();
  if (now < next_status_log_) {
    return;
  }
  next_status_log_ = now + kStatusInterval;
  std::vector<state::LogField> fields;
  for (const StatusField& field : kStatusFields) {
    fields.push_back({std::string(field.name_),
                      static_cast<int64_t>(counters_->Get(field.counter_))});
  }
  Log({.event_ = "status", .fields_ = std::move(fields)});
}

void NodeDuty::Handle(const NodeEvent& event) {
  std::vector<NodeEvent> events = {event};
  while (!events.empty()) {
    follow_ups_.clear();
    for (const NodeEvent& each : events) {
      for (const coordination::Command& command :
           node_.Handle(each, clock_.Now())) {
        std::visit([this](const auto& concrete) { CarryOut(concrete); },
                   command);
      }
    }
    events.swap(follow_ups_);
  }
  ready_.store(node_.IsReady(clock_.Now()));
  const uint64_t index = node_.configuration().index_;
  if (index != logged_index_) {
    logged_index_ = index;
    for (NodeListener* listener : listeners_) {
      listener->OnConfiguration(node_.configuration());
    }
    Log({.event_ = "configuration_in_force",
         .fields_ = {
             {"index", static_cast<int64_t>(index)},
             {"version", static_cast<int64_t>(
                             node_.configuration().configuration_->version_)},
             {"staleness_ms", node_.Status(clock_.Now()).staleness_.value()}}});
  }
}

void NodeDuty::CarryOut(const coordination::SendToPeer& command) {
  if (peers_->Send(command)) {
    return;
  }
  // Reports at once to the ingress that its attempt was not sent.
  const auto* attempt = std::get_if<coordination::Attempt>(&command.message_);
  if (attempt != nullptr) {
    follow_ups_.emplace_back(coordination::PeerMessageReceived{
        .message_ = coordination::AttemptAnswer{
            .request_id_ = attempt->request_id_,
            .attempt_ = attempt->attempt_,
            .result_ = coordination::AttemptResult::kRefused,
            .refusal_ = state::RefusalReason::kInternalQueueFull,
            .target_ = attempt->target_}});
  }
}

void NodeDuty::CarryOut(const coordination::ReplyToPeer& command) {
  // The ingress detects a lost answer by its deadline.
  peers_->Reply(command);
}

void NodeDuty::CarryOut(const coordination::ResetLink& command) {
  Log({.level_ = state::LogLevel::kWarning,
       .event_ = "link_replaced",
       .fields_ = {{"address", command.address_},
                   {"reason", std::string("silent")}}});
  peers_->Reset(command);
}

void NodeDuty::CarryOut(const coordination::AnswerCall& command) {
  slots_->Put(command.call_id_, command.answer_);
  for (NodeListener* listener : listeners_) {
    listener->OnAnswer(command.call_id_, command.answer_);
  }
}

void NodeDuty::CarryOut(const coordination::AnswerAnnouncement& command) {
  announcement_slots_.Put(command.call_id_, command.acknowledged_);
  for (NodeListener* listener : listeners_) {
    listener->OnAnnouncementAnswered(command.call_id_, command.acknowledged_);
  }
}

void NodeDuty::CarryOut(const coordination::DeliverToTarget& command) {
  const bool accepted = target_client_->Deliver(coordination::DeliverToTarget{
      .delivery_id_ = command.delivery_id_,
      .address_ = command.address_,
      .request_ = command.connect_only_ || command.is_load_probe_
                      ? command.request_
                      : dialect_->Request(command),
      .request_id_ = command.request_id_,
      .attempt_ = command.attempt_,
      .depth_ = command.depth_,
      .target_ = command.target_,
      .origin_service_ = command.origin_service_,
      .tenant_ = command.tenant_,
      .connect_only_ = command.connect_only_,
      .is_load_probe_ = command.is_load_probe_,
      .timeout_ = command.timeout_,
      .send_before_ = command.send_before_,
      .fresh_connection_ = command.fresh_connection_});
  if (!accepted) {
    follow_ups_.emplace_back(coordination::DeliveryEnded{
        .delivery_id_ = command.delivery_id_,
        .end_ = coordination::DeliveryEnd::kNotSent});
  }
}

void NodeDuty::CarryOut(const coordination::WriteLog& command) {
  Log(command.event_);
}

void NodeDuty::CarryOut(const coordination::CancelDelivery& command) {
  target_client_->Cancel(command.delivery_id_);
}

}  // namespace gooseberrygap::daemon
