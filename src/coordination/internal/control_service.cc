#include <utility>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Interval of the check for expired leases and outdated incarnations, and of
// the maintenance that goes through all records.
constexpr state::Millis kLeaseCheckInterval(100);
constexpr state::Millis kMaintenanceInterval(1000);
// A gap between ticks of at least this time means that the process was paused.
// It could not receive renewals during the pause, so leases are extended by it.
constexpr state::Millis kPauseThreshold(1000);
// A reported crash is included in every membership message to other control
// instances for this time.
constexpr state::Millis kCrashForwardTime(10000);

}  // namespace

ControlService::ControlService(ControlAddress self,
                               std::vector<ControlAddress> control_instances,
                               uint64_t epoch,
                               state::Counters* counters,
                               state::Millis now,
                               const QuotaPolicy& quota)
    : impl_(std::make_unique<Impl>(std::move(self),
                                   control_instances,
                                   epoch,
                                   counters,
                                   now,
                                   quota)) {}

ControlService::~ControlService() = default;

ControlStep ControlService::Handle(const ControlEvent& event,
                                   state::Millis now) {
  return impl_->Handle(event, now);
}

state::ReplicatedState ControlService::Snapshot() const {
  return impl_->Snapshot();
}

uint64_t ControlService::applied_index() const {
  return impl_->applied_index();
}

state::Evacuations ControlService::evacuations() const {
  return impl_->evacuations().Snapshot();
}

state::IndexedConfiguration ControlService::configuration() const {
  return impl_->configurations().current();
}

std::vector<state::MembershipRecord> ControlService::Members() const {
  return impl_->table().ChangesSince(0);
}

ControlService::Impl::Impl(ControlAddress self,
                           const std::vector<ControlAddress>& control_instances,
                           uint64_t epoch,
                           state::Counters* counters,
                           state::Millis now,
                           const QuotaPolicy& quota)
    : self_(std::move(self)),
      epoch_(epoch),
      counters_(counters),
      started_at_(now),
      exchange_(self_.instance_,
                epoch,
                control_instances,
                &table_,
                counters,
                now),
      quota_owner_(quota),
      wall_at_(now),
      last_tick_(now) {}

ControlStep ControlService::Impl::Handle(const ControlEvent& event,
                                         state::Millis now) {
  std::visit([this, now](const auto& value) { On(value, now); }, event);
  return std::exchange(step_, ControlStep());
}

void ControlService::Impl::On(const ControlMessage& event, state::Millis now) {
  std::visit(
      [this, &event, now](const auto& message) {
        OnMessage(event.connection_, message, now);
      },
      event.message_);
}

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const MembershipSync& sync,
                                     state::Millis now) {
  Append(&step_.commands_, exchange_.OnSync(connection, sync, now));
  bool changed = false;
  for (const CrashReport& crash : sync.crashes_) {
    changed = crash_history_.Add(crash, poison_policy(), now) || changed;
  }
  changed =
      crash_history_.ConvictSharedFingerprint(poison_policy(), now) || changed;
  for (const RefusedFingerprint& refused : sync.refused_fingerprints_) {
    changed = crash_history_.Adopt(refused, now) || changed;
  }
  if (changed) {
    push_all_ = true;
    SchedulePush(now);
  }
}

void ControlService::Impl::OnMessage(const std::string&,
                                     const MembershipSyncAck& ack,
                                     state::Millis) {
  exchange_.OnAck(ack);
}

void ControlService::Impl::On(const LogStatus& event, state::Millis now) {
  const bool new_leader =
      !status_.has_value() || status_->leader_address_ != event.leader_address_;
  const bool new_members =
      !event.members_.empty() &&
      (!status_.has_value() || status_->members_ != event.members_);
  status_.emplace(event);
  UpdateQuotaLeadership(now);
  if (new_members) {
    exchange_.SetInstances(event.members_, now);
  }
  if (new_leader && !event.leader_address_.empty()) {
    push_all_ = true;
    SchedulePush(now);
  }
}

void ControlService::Impl::On(const ControlTick& event, state::Millis now) {
  wall_millis_ = event.wall_millis_;
  wall_at_ = now;
  HandlePause(now);
  if (now >= lease_check_at_) {
    lease_check_at_ = now + kLeaseCheckInterval;
    ExpireLeases(now);
    AbandonOutdatedIncarnations(now);
    SendCrashAbandons(now);
    SendUnstoredWithdrawals(now);
    SendUnstoredCrashes(now);
    ProposeExpiry(now);
  }
  if (now >= maintenance_at_) {
    maintenance_at_ = now + kMaintenanceInterval;
    RunMaintenance(now);
  }
  Append(&step_.commands_, ExchangeMembership(now));
  RequestRead(now);
  RequestKeyRead(now);
  const bool can_send_now = !could_send_membership_ && CanSendMembership(now);
  // A move of a lease reaches the daemons with their next renewals: pushed at
  // once, the moves after the loss of one control instance would cost a message
  // for each pair of daemons.
  if (can_send_now || table_.routing_version() != push_scheduled_version_) {
    could_send_membership_ = could_send_membership_ || can_send_now;
    push_scheduled_version_ = table_.routing_version();
    SchedulePush(now);
  }
  if (push_at_.has_value() && now >= *push_at_) {
    Push(now);
  }
}

void ControlService::Impl::RunMaintenance(state::Millis now) {
  exchange_.UpdateSuspensions(now);
  table_.Purge(now);
  if (crash_history_.Tick(poison_policy(), now)) {
    push_all_ = true;
    SchedulePush(now);
  }
  while (!recent_crashes_.empty() &&
         now - recent_crashes_.front().first >= kCrashForwardTime) {
    recent_crashes_.pop_front();
  }
}

Commands ControlService::Impl::ExchangeMembership(state::Millis now) {
  if (!exchange_.IsDue(now)) {
    return {};
  }
  MembershipExchange::PoisonUpdate poison{.refused_fingerprints_ =
                                              crash_history_.Convicted(now)};
  for (const auto& [reported_at, crash] : recent_crashes_) {
    poison.crashes_.push_back(crash);
  }
  return exchange_.SendDue(poison, now);
}

void ControlService::Impl::HandlePause(state::Millis now) {
  const state::Millis gap = now - last_tick_;
  last_tick_ = now;
  if (gap < kPauseThreshold) {
    return;
  }
  exchange_.OnPause(gap);
  for (auto& [instance, session] : sessions_) {
    session.lease_until_ = session.lease_until_ + gap;
  }
}

void ControlService::Impl::ExpireLeases(state::Millis now) {
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    const state::MembershipRecord* record = table_.Find(entry->first);
    if (record == nullptr || record->holder_ != self_.instance_) {
      // The daemon has moved to another control instance.
      entry = sessions_.erase(entry);
      continue;
    }
    if (now < entry->second.lease_until_) {
      ++entry;
      continue;
    }
    if (table_.Expire(entry->first, now)) {
      counters_->Add(state::Counter::kMembershipChanges);
    }
    entry = sessions_.erase(entry);
  }
}

}  // namespace gooseberrygap::coordination
