#include <utility>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Leases and outdated starts are looked through this often, and the records of
// other holders, which are all records, this often.
constexpr state::Millis kLeaseCheck(100);
constexpr state::Millis kHolderCheck(1000);
// Ticks that are further apart mean that the process was paused. It could not
// hear renewals in that time, so leases must not expire because of it.
constexpr state::Millis kPauseBound(1000);
// Crash reports are passed on this long, with each message.
constexpr state::Millis kCrashNewsTime(10000);

}  // namespace

ControlService::ControlService(ControlAddress self,
                               std::vector<ControlAddress> control_instances,
                               uint64_t epoch,
                               state::Counters* counters,
                               state::Millis now)
    : impl_(std::make_unique<Impl>(std::move(self),
                                   control_instances,
                                   epoch,
                                   counters,
                                   now)) {}

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
                           state::Millis now)
    : self_(std::move(self)),
      epoch_(epoch),
      counters_(counters),
      started_(now),
      exchange_(self_.instance_,
                epoch,
                control_instances,
                &table_,
                counters,
                now),
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
    PushSoon(now);
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
  if (new_members) {
    exchange_.SetInstances(event.members_, now);
  }
  if (new_leader && !event.leader_address_.empty()) {
    push_all_ = true;
    PushSoon(now);
  }
}

void ControlService::Impl::On(const ControlTick& event, state::Millis now) {
  wall_millis_ = event.wall_millis_;
  wall_at_ = now;
  NotePause(now);
  if (now >= lease_check_at_) {
    lease_check_at_ = now + kLeaseCheck;
    ExpireLeases(now);
    AbandonOutdated(now);
    SendCrashAbandons(now);
    ProposeExpiry(now);
  }
  if (now >= holder_check_at_) {
    holder_check_at_ = now + kHolderCheck;
    CheckHolders(now);
  }
  Append(&step_.commands_, ExchangeMembership(now));
  RequestRead(now);
  const bool may_tell_now = !told_membership_ && CanTellMembership(now);
  if (may_tell_now || table_.version() != noticed_version_) {
    told_membership_ = told_membership_ || may_tell_now;
    noticed_version_ = table_.version();
    PushSoon(now);
  }
  if (push_at_.has_value() && now >= *push_at_) {
    Push(now);
  }
}

void ControlService::Impl::CheckHolders(state::Millis now) {
  exchange_.JudgeHolders(now);
  table_.Purge(now);
  if (crash_history_.Tick(poison_policy(), now)) {
    push_all_ = true;
    PushSoon(now);
  }
  while (!crash_news_.empty() &&
         now - crash_news_.front().first >= kCrashNewsTime) {
    crash_news_.pop_front();
  }
}

Commands ControlService::Impl::ExchangeMembership(state::Millis now) {
  if (!exchange_.IsDue(now)) {
    return {};
  }
  MembershipExchange::Extras extras{.refused_fingerprints_ =
                                        crash_history_.Convicted(now)};
  for (const auto& [reported_at, crash] : crash_news_) {
    extras.crashes_.push_back(crash);
  }
  return exchange_.SendDue(extras, now);
}

void ControlService::Impl::NotePause(state::Millis now) {
  const state::Millis gap = now - last_tick_;
  last_tick_ = now;
  if (gap < kPauseBound) {
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
