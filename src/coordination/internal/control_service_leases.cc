#include <algorithm>
#include <utility>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Changes within this time are pushed to a daemon together.
constexpr state::Millis kPushDelay(20);
// Pause before a read index that was not confirmed is requested again.
constexpr state::Millis kReadRetry(200);
// A read index without an answer is given up after this time.
constexpr state::Millis kReadTimeout(1000);
// A started instance has heard its own daemons' renewals after this time, and
// gives up waiting for silent control instances after kLeaseTime. Telling
// membership earlier would make daemons forget targets that are alive.
constexpr state::Millis kOwnDaemonsHeard(1200);

constexpr char kAllServices[] = "*";

}  // namespace

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const LeaseRenew& renew,
                                     state::Millis now) {
  // Without an incarnation it only asks what this instance knows.
  const bool is_query = renew.record_.version_.incarnation_ == 0;
  const bool granted = !is_query && TakeRecord(renew, now);
  if (!is_query) {
    TakeCrashes(renew, now);
  }
  if (!granted) {
    step_.commands_.push_back(
        ReplyToPeer{.connection_ = connection,
                    .message_ = MakeRefusal(renew.instance_, now)});
    return;
  }
  counters_->Add(state::Counter::kLeasesRenewed);
  Session* session = UpdateSession(connection, renew, now);
  Reply(renew.instance_, session, Vouching::kNotVouched, now);
  if (session->requires_confirmed_) {
    vouch_waiting_.insert(renew.instance_);
    RequestRead(now);
  }
}

bool ControlService::Impl::TakeRecord(const LeaseRenew& renew,
                                      state::Millis now) {
  if (renew.record_.instance_ != renew.instance_) {
    return false;
  }
  switch (table_.Merge(renew.record_, self_.instance_, epoch_, now)) {
    case state::MergeResult::kNewer:
      counters_->Add(state::Counter::kMembershipChanges);
      return true;
    case state::MergeResult::kSame:
      // Held elsewhere: the daemon raises its sequence to move it here.
      return table_.Find(renew.instance_)->holder_ == self_.instance_;
    case state::MergeResult::kOlder:
      counters_->Add(state::Counter::kMembershipStaleIgnored);
      return false;
  }
  return false;
}

ControlService::Impl::Session* ControlService::Impl::UpdateSession(
    const std::string& connection,
    const LeaseRenew& renew,
    state::Millis now) {
  Session& session = sessions_[renew.instance_];
  session.connection_ = connection;
  session.services_ = {renew.services_.begin(), renew.services_.end()};
  session.configuration_index_ = renew.configuration_index_;
  session.membership_epoch_ = renew.membership_epoch_;
  session.membership_version_ = renew.membership_version_;
  session.requires_confirmed_ = renew.requires_confirmed_;
  session.lease_until_ = now + kLeaseTime;
  return &session;
}

void ControlService::Impl::TakeCrashes(const LeaseRenew& renew,
                                       state::Millis now) {
  bool changed = false;
  bool is_new_crash = false;
  const size_t convictions = crash_history_.convictions();
  for (const CrashReport& crash : renew.crashes_) {
    is_new_crash = is_new_crash || !crash_history_.HasCrash(crash.crash_id_);
    if (crash_history_.Add(crash, poison_policy(), now)) {
      crash_news_.emplace_back(now, crash);
      changed = true;
    }
  }
  changed =
      crash_history_.ConvictSharedFingerprint(poison_policy(), now) || changed;
  counters_->Add(state::Counter::kFingerprintsConvicted,
                 crash_history_.convictions() - convictions);
  if (is_new_crash) {
    // The guard's own incarnation counts too: its target has crashed.
    crash_abandons_[renew.instance_] =
        CrashAbandon{.incarnation_ = renew.record_.version_.incarnation_ + 1,
                     .crashed_at_ = now};
    SendCrashAbandons(now);
  }
  if (changed) {
    exchange_.SendSoon();
    push_all_ = true;
    PushSoon(now);
  }
}

void ControlService::Impl::Reply(const std::string& instance,
                                 Session* session,
                                 Vouching vouching,
                                 state::Millis now) {
  step_.commands_.push_back(
      ReplyToPeer{.connection_ = session->connection_,
                  .message_ = MakeReply(instance, session, vouching, now)});
}

LeaseReply ControlService::Impl::MakeRefusal(const std::string& instance,
                                             state::Millis now) const {
  const state::MembershipRecord* known = table_.Find(instance);
  return LeaseReply{
      .control_instance_ = self_.instance_,
      .granted_ = false,
      .known_incarnation_ =
          known == nullptr ? 0 : known->record_.version_.incarnation_,
      .staleness_ = Staleness(now),
      .leader_address_ =
          status_.has_value() ? status_->leader_address_ : std::string()};
}

LeaseReply ControlService::Impl::MakeReply(const std::string& instance,
                                           Session* session,
                                           Vouching vouching,
                                           state::Millis now) {
  const state::IndexedConfiguration current = configurations_.current();
  const bool vouched = vouching == Vouching::kVouched;
  const bool sends_configuration =
      current.index_ > session->configuration_index_ &&
      (vouched || !session->requires_confirmed_);
  const std::optional<state::ConfigurationDelta> delta =
      sends_configuration
          ? configurations_.DeltaFrom(session->configuration_index_)
          : std::nullopt;
  const bool has_delta = delta.has_value();
  const bool tells_membership = CanTellMembership(now);
  // A daemon that knows no target at all is told those that are known here,
  // before they are the whole membership.
  const bool knows_nothing = session->membership_epoch_ == 0;
  const bool full = session->membership_epoch_ != epoch_ ||
                    !table_.HasChangesSince(session->membership_version_);
  if (tells_membership || knows_nothing) {
    session->pushed_version_ = table_.version();
  }
  const LeaseReply basis = MakeRefusal(instance, now);
  return LeaseReply{
      .control_instance_ = basis.control_instance_,
      .granted_ = true,
      .known_incarnation_ = basis.known_incarnation_,
      .configuration_index_ =
          sends_configuration || vouched ? current.index_ : 0,
      .configuration_confirmed_ = vouched,
      .delta_base_index_ = has_delta ? delta->base_index_ : 0,
      .removed_services_ =
          has_delta ? delta->removed_services_ : std::vector<std::string>(),
      .configuration_ = has_delta             ? delta->changes_
                        : sends_configuration ? current.configuration_
                                              : nullptr,
      .membership_epoch_ = tells_membership ? epoch_ : 0,
      .membership_version_ = tells_membership ? table_.version() : 0,
      .membership_full_ = tells_membership && full,
      .membership_ =
          tells_membership || knows_nothing
              ? MembershipFor(*session, full ? 0 : session->membership_version_,
                              full)
              : std::vector<state::TargetRecord>(),
      .refused_fingerprints_ = crash_history_.Refused(poison_policy(), now),
      .staleness_ = basis.staleness_,
      .leader_address_ = basis.leader_address_,
      .control_members_ = ControlMembers()};
}

std::vector<state::TargetRecord> ControlService::Impl::MembershipFor(
    const Session& session,
    uint64_t since,
    bool full) const {
  const bool all = session.services_.contains(kAllServices);
  std::vector<state::TargetRecord> records;
  for (const state::MembershipRecord& known : table_.ChangesSince(since)) {
    const bool concerned =
        all || session.services_.contains(known.record_.service_) ||
        (!full && session.services_.contains(known.former_service_));
    const state::TargetRecord record = state::EffectiveRecord(known);
    // A whole table lists only what can be chosen.
    const bool listed = !full || (!record.service_.empty() &&
                                  record.state_ != state::TargetState::kLeft);
    if (concerned && listed) {
      records.push_back(record);
    }
  }
  return records;
}

bool ControlService::Impl::HasUnpushedChanges(const Session& session) const {
  return !MembershipFor(session, session.pushed_version_, false).empty();
}

bool ControlService::Impl::CanTellMembership(state::Millis now) const {
  const state::Millis age = now - started_;
  return age >= kLeaseTime ||
         (age >= kOwnDaemonsHeard && exchange_.HasHeardAll());
}

void ControlService::Impl::PushSoon(state::Millis now) {
  if (!push_at_.has_value()) {
    push_at_ = now + kPushDelay;
  }
}

void ControlService::Impl::Push(state::Millis now) {
  const bool all = std::exchange(push_all_, false);
  push_at_.reset();
  const bool tells_membership = CanTellMembership(now);
  for (auto& [instance, session] : sessions_) {
    const bool may_tell = tells_membership || session.membership_epoch_ == 0;
    if (all || (may_tell && HasUnpushedChanges(session))) {
      Reply(instance, &session, Vouching::kNotVouched, now);
    }
  }
}

void ControlService::Impl::RequestRead(state::Millis now) {
  if (vouch_waiting_.empty() || now < read_at_) {
    return;
  }
  vouch_waiting_.merge(vouch_reading_);
  vouch_reading_ = std::exchange(vouch_waiting_, {});
  read_in_flight_ = next_read_id_++;
  read_at_ = now + kReadTimeout;
  step_.read_ids_.push_back(*read_in_flight_);
}

void ControlService::Impl::On(const ReadIndexAnswered& event,
                              state::Millis now) {
  if (read_in_flight_ != event.read_id_) {
    return;
  }
  read_in_flight_.reset();
  for (const std::string& instance : std::exchange(vouch_reading_, {})) {
    if (event.confirmed_) {
      vouch_applying_.emplace(event.index_, instance);
    } else {
      vouch_waiting_.insert(instance);
    }
  }
  read_at_ = event.confirmed_ ? now : now + kReadRetry;
  ReplyVouched(now);
  RequestRead(now);
}

void ControlService::Impl::ReplyVouched(state::Millis now) {
  while (!vouch_applying_.empty() &&
         vouch_applying_.begin()->first <= applied_index_) {
    const std::string instance = vouch_applying_.begin()->second;
    vouch_applying_.erase(vouch_applying_.begin());
    const auto session = sessions_.find(instance);
    if (session != sessions_.end()) {
      Reply(instance, &session->second, Vouching::kVouched, now);
    }
  }
}

std::vector<ControlAddress> ControlService::Impl::ControlMembers() const {
  std::vector<ControlAddress> members;
  if (!status_.has_value()) {
    return members;
  }
  for (const ControlAddress& member : status_->members_) {
    const state::MembershipRecord* known = table_.Find(member.instance_);
    members.push_back(ControlAddress{
        .instance_ = member.instance_,
        .address_ = member.address_,
        .region_ = known == nullptr ? "" : known->record_.region_});
  }
  return members;
}

state::Millis ControlService::Impl::Staleness(state::Millis now) const {
  if (LeadsWithQuorum()) {
    return state::Millis();
  }
  if (!status_.has_value() || !status_->leader_heard_.has_value()) {
    return kNeverHeard;
  }
  return now - *status_->leader_heard_;
}

state::PoisonPolicy ControlService::Impl::poison_policy() const {
  const state::IndexedConfiguration current = configurations_.current();
  return current.configuration_ == nullptr ? state::PoisonPolicy()
                                           : current.configuration_->poison_;
}

}  // namespace gooseberrygap::coordination
