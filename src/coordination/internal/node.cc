#include <algorithm>

#include "absl/strings/str_cat.h"
#include "coordination/internal/node_impl.h"

namespace gooseberrygap::coordination {

namespace {

// After more than this time without contact to a control instance, a daemon
// accepts no actions with a key, since their rules may have changed. Lookups
// continue.
constexpr state::Millis kMaxStaleness(10 * 1000);

// The shortest time between two ticks, also used while probes are sent: a
// reported load is accurate for some milliseconds only.
constexpr state::Millis kShortestTick(2);
// The longest time between two ticks while work is in progress. Ticks every
// 2 ms took half of the processor time of a busy daemon.
constexpr state::Millis kBusyTick(20);
// Time between two ticks while nothing is in progress.
constexpr state::Millis kIdleTick(50);

std::vector<std::string> AddressesOf(
    const std::vector<ControlAddress>& instances) {
  std::vector<std::string> addresses;
  addresses.reserve(instances.size());
  for (const ControlAddress& instance : instances) {
    addresses.push_back(instance.address_);
  }
  return addresses;
}

}  // namespace

Node::Impl::Impl(const Options& options,
                 absl::BitGenRef random,
                 state::Counters* counters)
    : self_(options.self_),
      configuration_apply_(options.configuration_apply_),
      counters_(counters),
      router_(options.self_, random, counters),
      register_client_(AddressesOf(options.control_instances_), counters),
      control_client_(
          options.self_,
          options.control_instances_,
          counters,
          {.requires_confirmed_keys_ = options.revocation_.is_strict_}),
      lease_(options.revocation_),
      evacuation_report_(self_.failure_domain_, &counters->gauges()),
      quota_(self_.instance_, options.quota_, counters),
      denials_(options.configuration_apply_),
      ingress_(absl::StrCat(self_.instance_, "-", self_.version_.incarnation_),
               &router_,
               &register_client_,
               counters,
               &lease_,
               &quota_),
      guard_(self_.instance_,
             self_.version_.incarnation_,
             &register_client_,
             counters,
             options.announcement_lifetime_,
             self_.failure_domain_,
             options.warmup_) {}

Commands Node::Impl::Handle(const NodeEvent& event, state::Millis now) {
  Commands commands = std::visit(
      [this, now](const auto& concrete) { return On(concrete, now); }, event);
  Append(&commands, AnnounceChanges(now));
  Append(&commands, quota_.SendReport(
                        control_client_.leader_address(),
                        control_client_.record().version_.incarnation_, now));
  return DeliverLocalMessages(std::move(commands), now);
}

state::Millis Node::Impl::NextTick(state::Millis now) const {
  const bool is_busy = acknowledgements_.size() + denials_.size() +
                           ingress_.calls_in_progress() +
                           guard_.work_in_progress() +
                           guard_.reports_in_progress() >
                       0;
  if (!is_busy) {
    return now + kIdleTick;
  }
  if (router_.SendsProbes(now)) {
    return now + kShortestTick;
  }
  const state::Millis latest = now + kBusyTick;
  return std::clamp(ingress_.NextDue().value_or(latest), now + kShortestTick,
                    latest);
}

NodeStatus Node::Impl::Status(state::Millis now) const {
  const state::IndexedConfiguration& indexed = control_client_.configuration();
  return NodeStatus{
      .configuration_index_ = indexed.index_,
      .configuration_version_ = indexed.configuration_ == nullptr
                                    ? 0
                                    : indexed.configuration_->version_,
      .staleness_ = control_client_.Staleness(now),
      .record_ = control_client_.record(),
      .load_ = guard_.Load(),
      .calls_in_progress_ =
          ingress_.calls_in_progress() + early_calls_.size() + denials_.size(),
      .work_in_progress_ = guard_.work_in_progress(),
      .reports_in_progress_ = guard_.reports_in_progress()};
}

bool Node::Impl::IsReady(state::Millis now) const {
  return HasRequiredState(now) && !guard_.is_draining();
}

const state::IndexedConfiguration& Node::Impl::configuration() const {
  return control_client_.configuration();
}

std::vector<state::TargetRecord> Node::Impl::Targets() const {
  return control_client_.Targets();
}

Commands Node::Impl::On(const PeerMessageReceived& received,
                        state::Millis now) {
  if (!received.address_.empty()) {
    link_monitor_.OnReceived(received.address_, now);
  }
  return std::visit(
      [&](const auto& message) { return OnMessage(message, received, now); },
      received.message_);
}

Commands Node::Impl::On(const PeerActive& active, state::Millis now) {
  link_monitor_.OnReceived(active.address_, now);
  return {};
}

Commands Node::Impl::On(const DeliveryEnded& ended, state::Millis now) {
  return guard_.OnDeliveryEnded(ended, now);
}

Commands Node::Impl::On(const TargetConnectionsClosed& closed,
                        state::Millis now) {
  return guard_.OnConnectionsClosed(closed, now);
}

Commands Node::Impl::On(const DrainRequested&, state::Millis) {
  guard_.Drain();
  return {};
}

Commands Node::Impl::On(const SeedsChanged& changed, state::Millis) {
  control_client_.SetSeeds(changed.addresses_);
  return {};
}

Commands Node::Impl::On(const Ticked&, state::Millis now) {
  const bool has_configuration = control_client_.configuration().index_ > 0;
  if (has_configuration && lease_.IsRunningLow(now)) {
    control_client_.RenewSoon();
  }
  Commands commands = Apply(control_client_.Tick(now), now);
  Append(&commands, ReportLease(now));
  ingress_.SetActionsAllowed(control_client_.Staleness(now) <= kMaxStaleness);
  for (const CallReceived& call :
       early_calls_.Release(HasRequiredState(now), now)) {
    Append(&commands, StartCall(call, now));
  }
  Append(&commands, ReleaseDenials(now));
  Append(&commands, ReleaseAcknowledgements(now));
  Append(&commands, Apply(register_client_.Tick(now), now));
  Append(&commands, ingress_.Tick(now));
  Append(&commands, guard_.Tick(now));
  // Before the router, which can use up the load budget for probes.
  LinkMonitor::Step links =
      link_monitor_.Tick(now, [this, now](const std::string& address) {
        return router_.TakeProbe(address, now);
      });
  for (Command& command : links.commands_) {
    if (!IsOwnLinkReset(command)) {
      commands.push_back(std::move(command));
    }
  }
  for (const std::string& address : links.reset_addresses_) {
    Append(&commands, OnLinkSilent(address, now));
  }
  Append(&commands, router_.Tick(now));
  return commands;
}

bool Node::Impl::IsOwnLinkReset(const Command& command) const {
  const auto* reset = std::get_if<ResetLink>(&command);
  return reset != nullptr && reset->address_ == self_.guard_address_;
}

Commands Node::Impl::OnLinkSilent(const std::string& address,
                                  state::Millis now) {
  if (address == self_.guard_address_) {
    return {WriteLog{.event_ = OwnControlRoleSilentLine()}};
  }
  counters_->Add(state::Counter::kLinksReset);
  return ingress_.OnLinkLost(address, now);
}

bool Node::Impl::HasRequiredState(state::Millis now) const {
  return control_client_.configuration().index_ > 0 &&
         control_client_.has_membership() &&
         control_client_.Staleness(now) <= kMaxStaleness;
}

Node::Node(const Options& options,
           absl::BitGenRef random,
           state::Counters* counters)
    : impl_(std::make_unique<Impl>(options, random, counters)) {}

Node::~Node() = default;

Commands Node::Handle(const NodeEvent& event, state::Millis now) {
  return impl_->Handle(event, now);
}

state::Millis Node::NextTick(state::Millis now) const {
  return impl_->NextTick(now);
}

bool Node::IsReady(state::Millis now) const {
  return impl_->IsReady(now);
}

NodeStatus Node::Status(state::Millis now) const {
  return impl_->Status(now);
}

const state::IndexedConfiguration& Node::configuration() const {
  return impl_->configuration();
}

std::vector<state::TargetRecord> Node::Targets() const {
  return impl_->Targets();
}

}  // namespace gooseberrygap::coordination
