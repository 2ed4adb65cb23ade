#include <algorithm>
#include <utility>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Delay before a push, so that changes within this time are sent together.
constexpr state::Millis kPushDelay(20);
// Upper bound of the records that are pushed per millisecond, on average. While
// a large fleet starts, each record goes to each daemon, and what changes in
// the pause after a push shares a message.
constexpr double kPushedRecordsPerMilli = 10;
// Delay before a read index that was not confirmed is requested again.
constexpr state::Millis kReadRetryDelay(200);
// A read index that is not answered within this time is requested again.
constexpr state::Millis kReadTimeout(1000);
// This long after its start, an instance has received a renewal from each of
// its daemons. It waits at most kLeaseTime for the tables of the other control
// instances. Sending membership earlier would make daemons remove targets that
// are alive.
constexpr state::Millis kRenewalCollectionTime(1200);

constexpr char kAllServices[] = "*";

}  // namespace

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const LeaseRenew& renew,
                                     state::Millis now) {
  // A renewal without an incarnation only queries this instance's staleness.
  const bool is_query = renew.record_.version_.incarnation_ == 0;
  const bool granted = !is_query && MergeRecord(renew, now);
  if (!is_query) {
    ReceiveCrashes(renew, now);
  }
  if (!granted) {
    step_.commands_.push_back(
        ReplyToPeer{.connection_ = connection,
                    .message_ = MakeRefusal(renew.instance_, now)});
    return;
  }
  counters_->Add(state::Counter::kLeasesRenewed);
  Session* session = UpdateSession(connection, renew, now);
  if (renew.requires_confirmed_keys_) {
    key_confirmation_.Require(session->lease_until_, now);
  }
  StoreWithdrawal(renew.instance_, renew.record_.withdrawal_, now);
  Reply(renew.instance_, session, Confirmation::kUnconfirmed, now);
  if (session->AwaitsConfirmed()) {
    awaiting_read_request_.insert(renew.instance_);
    RequestRead(now);
  }
}

bool ControlService::Impl::MergeRecord(const LeaseRenew& renew,
                                       state::Millis now) {
  if (renew.record_.instance_ != renew.instance_) {
    return false;
  }
  switch (table_.Merge(renew.record_, self_.instance_, epoch_, now)) {
    case state::MergeResult::kNewer:
      counters_->Add(state::Counter::kMembershipChanges);
      return true;
    case state::MergeResult::kSame:
      // When another instance holds the lease, the daemon must raise its
      // sequence to move it here.
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
  const bool is_same_connection = session.connection_ == connection;
  session.configuration_.OnReported(renew.configuration_index_,
                                    renew.received_reply_, is_same_connection);
  session.membership_.OnReported(
      renew.membership_epoch_ == epoch_ ? renew.membership_version_ : 0,
      renew.received_reply_, is_same_connection);
  session.connection_ = connection;
  session.services_ = {renew.services_.begin(), renew.services_.end()};
  session.membership_epoch_ = renew.membership_epoch_;
  session.requires_confirmed_ = renew.requires_confirmed_;
  session.renewal_ = renew.renewal_;
  std::vector<CrashReport> crashes = renew.crashes_;
  session.crashes_.swap(crashes);
  session.lease_until_ = now + kLeaseTime;
  return &session;
}

size_t ControlService::Impl::Reply(const std::string& instance,
                                   Session* session,
                                   Confirmation confirmation,
                                   state::Millis now) {
  const LeaseReply reply = MakeReply(instance, session, confirmation, now);
  step_.commands_.push_back(
      ReplyToPeer{.connection_ = session->connection_, .message_ = reply});
  return reply.membership_.size();
}

LeaseReply ControlService::Impl::MakeRefusal(const std::string& instance,
                                             state::Millis now) const {
  const state::MembershipRecord* known = table_.Find(instance);
  const std::optional<KeyConfirmation::Confirmed> confirmed =
      key_confirmation_.Last(now);
  return LeaseReply{
      .control_instance_ = self_.instance_,
      .granted_ = false,
      .known_incarnation_ =
          known == nullptr ? 0 : known->record_.version_.incarnation_,
      .staleness_ = Staleness(now),
      .leader_address_ =
          status_.has_value() ? status_->leader_address_ : std::string(),
      .confirmed_index_ = confirmed.has_value() ? confirmed->index_ : 0,
      .confirmed_age_ =
          confirmed.has_value() ? now - confirmed->at_ : state::Millis(0)};
}

LeaseReply ControlService::Impl::MakeReply(const std::string& instance,
                                           Session* session,
                                           Confirmation confirmation,
                                           state::Millis now) {
  const uint64_t number = next_reply_++;
  const state::IndexedConfiguration current = configurations_.current();
  const bool is_confirmed = confirmation == Confirmation::kConfirmed;
  const uint64_t base = session->configuration_.base();
  const bool sends_configuration =
      current.index_ > base && (is_confirmed || !session->AwaitsConfirmed());
  const std::optional<state::ConfigurationDelta> delta =
      sends_configuration ? configurations_.DeltaFrom(base) : std::nullopt;
  const bool has_delta = delta.has_value();
  if (sends_configuration) {
    session->configuration_.OnSent(current.index_, number);
    counters_->Add(has_delta ? state::Counter::kConfigurationDeltasSent
                             : state::Counter::kConfigurationDocumentsSent);
  }
  const bool sends_membership = CanSendMembership(now);
  // A daemon without a membership table receives the records known here even
  // while they may be incomplete.
  const bool has_no_membership = session->membership_epoch_ == 0;
  const uint64_t membership_base = session->membership_.base();
  const bool full =
      membership_base == 0 || !table_.HasChangesSince(membership_base);
  if (sends_membership || has_no_membership) {
    session->pushed_version_ = table_.version();
  }
  if (sends_membership) {
    session->membership_.OnSent(table_.version(), number);
  }
  const LeaseReply common_fields = MakeRefusal(instance, now);
  const state::MembershipRecord* known = table_.Find(instance);
  const state::TargetWithdrawal& stored = withdrawals_.Find(instance);
  const bool has_later_record =
      known != nullptr && state::Covers(known->record_.withdrawal_, stored);
  return LeaseReply{
      .control_instance_ = common_fields.control_instance_,
      .granted_ = true,
      .known_incarnation_ = common_fields.known_incarnation_,
      .configuration_index_ = current.index_,
      .configuration_confirmed_ = is_confirmed,
      .delta_base_index_ = has_delta ? delta->base_index_ : 0,
      .removed_ = has_delta ? delta->removed_ : state::RemovedItems(),
      .configuration_ = has_delta             ? delta->changes_
                        : sends_configuration ? current.configuration_
                                              : nullptr,
      .membership_epoch_ = sends_membership ? epoch_ : 0,
      .membership_version_ = sends_membership ? table_.version() : 0,
      .membership_base_version_ =
          sends_membership && !full ? membership_base : 0,
      .membership_full_ = sends_membership && full,
      .membership_ =
          sends_membership || has_no_membership
              ? MembershipFor(*session, full ? 0 : membership_base, full)
              : std::vector<state::TargetRecord>(),
      .refused_fingerprints_ = crash_history_.Refused(poison_policy(), now),
      .staleness_ = common_fields.staleness_,
      .leader_address_ = common_fields.leader_address_,
      .control_members_ = ControlMembers(),
      .withdrawal_ = has_later_record ? known->record_.withdrawal_ : stored,
      .stored_withdrawal_ = stored,
      .renewal_ = session->renewal_,
      .confirmed_index_ = common_fields.confirmed_index_,
      .confirmed_age_ = common_fields.confirmed_age_,
      .evacuations_ = evacuations_.Snapshot(),
      .stored_crashes_ = StoredCrashIds(session->crashes_),
      .number_ = number};
}

bool ControlService::Impl::Concerns(const Session& session,
                                    const state::MembershipRecord& known,
                                    bool full) {
  return session.services_.contains(kAllServices) ||
         session.services_.contains(known.record_.service_) ||
         (!full && session.services_.contains(known.former_service_));
}

std::vector<state::TargetRecord> ControlService::Impl::MembershipFor(
    const Session& session,
    uint64_t since,
    bool full) const {
  std::vector<state::TargetRecord> records;
  table_.FindChange(since, [&](const state::MembershipRecord& known) {
    const state::TargetRecord record = state::EffectiveRecord(known);
    // A whole table contains only targets that can be chosen.
    const bool listed = !full || (!record.service_.empty() &&
                                  record.state_ != state::TargetState::kLeft);
    if (listed && Concerns(session, known, full)) {
      records.push_back(record);
    }
    return false;
  });
  return records;
}

bool ControlService::Impl::HasUnpushedChanges(const Session& session) const {
  return table_.FindChange(session.pushed_version_,
                           [&session](const state::MembershipRecord& known) {
                             return Concerns(session, known, false);
                           }) != nullptr;
}

bool ControlService::Impl::CanSendMembership(state::Millis now) const {
  const state::Millis uptime = now - started_at_;
  return uptime >= kLeaseTime ||
         (uptime >= kRenewalCollectionTime && exchange_.HasAllTables());
}

void ControlService::Impl::SchedulePush(state::Millis now) {
  if (!push_at_.has_value()) {
    push_at_ = std::max(now + kPushDelay, next_push_at_);
  }
}

void ControlService::Impl::Push(state::Millis now) {
  const bool all = std::exchange(push_all_, false);
  push_at_.reset();
  const bool sends_membership = CanSendMembership(now);
  size_t records = 0;
  for (auto& [instance, session] : sessions_) {
    const bool may_send = sends_membership || session.membership_epoch_ == 0;
    if (all || (may_send && HasUnpushedChanges(session))) {
      records += Reply(instance, &session, Confirmation::kUnconfirmed, now);
    }
  }
  next_push_at_ = now + state::Millis(static_cast<double>(records) /
                                      kPushedRecordsPerMilli);
}

void ControlService::Impl::RequestRead(state::Millis now) {
  if (awaiting_read_request_.empty() || now < read_at_) {
    return;
  }
  awaiting_read_request_.merge(awaiting_read_answer_);
  awaiting_read_answer_ = std::exchange(awaiting_read_request_, {});
  read_in_flight_ = next_read_id_++;
  read_at_ = now + kReadTimeout;
  step_.read_ids_.push_back(*read_in_flight_);
}

void ControlService::Impl::RequestKeyRead(state::Millis now) {
  if (!key_confirmation_.IsReadDue(now)) {
    return;
  }
  const uint64_t read_id = next_read_id_++;
  key_confirmation_.OnReadStarted(read_id, now);
  step_.read_ids_.push_back(read_id);
}

void ControlService::Impl::On(const ReadIndexAnswered& event,
                              state::Millis now) {
  if (key_confirmation_.OnReadAnswered(event)) {
    key_confirmation_.OnApplied(applied_index_,
                                configurations_.current().index_);
    return;
  }
  if (read_in_flight_ != event.read_id_) {
    return;
  }
  read_in_flight_.reset();
  for (const std::string& instance : std::exchange(awaiting_read_answer_, {})) {
    if (event.confirmed_) {
      awaiting_apply_.emplace(event.index_, instance);
    } else {
      awaiting_read_request_.insert(instance);
    }
  }
  read_at_ = event.confirmed_ ? now : now + kReadRetryDelay;
  ReplyWithConfirmed(now);
  RequestRead(now);
}

void ControlService::Impl::ReplyWithConfirmed(state::Millis now) {
  key_confirmation_.OnApplied(applied_index_, configurations_.current().index_);
  while (!awaiting_apply_.empty() &&
         awaiting_apply_.begin()->first <= applied_index_) {
    const std::string instance = awaiting_apply_.begin()->second;
    awaiting_apply_.erase(awaiting_apply_.begin());
    const auto session = sessions_.find(instance);
    if (session != sessions_.end()) {
      Reply(instance, &session->second, Confirmation::kConfirmed, now);
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
  if (!status_.has_value() || !status_->last_up_to_date_.has_value()) {
    return kNeverContacted;
  }
  return now - *status_->last_up_to_date_;
}

state::PoisonPolicy ControlService::Impl::poison_policy() const {
  const state::IndexedConfiguration current = configurations_.current();
  return current.configuration_ == nullptr ? state::PoisonPolicy()
                                           : current.configuration_->poison_;
}

}  // namespace gooseberrygap::coordination
