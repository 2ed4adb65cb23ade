#include <algorithm>
#include <utility>

#include "coordination/internal/control_client_impl.h"
#include "coordination/internal/decision_log.h"

namespace gooseberrygap::coordination {

namespace {

constexpr state::Millis kRenewInterval(1000);
// The lease moves away from an instance that has not replied for this time.
// Shorter than the lease, so that another instance holds it before it expires.
constexpr state::Millis kReplyTimeout(1000);
// Reply timeout while the daemon has no configuration and refuses all calls,
// until the instance has replied. Longer than a round trip between regions.
// Short because after a power loss the control instances start one after
// another, so that the first one contacted may not be running yet.
constexpr state::Millis kFirstReplyTimeout(200);
// After this time without a reply, other instances are asked for their
// staleness, so that the lease moves to one that works and not from one silent
// instance to the next. Longer than a round trip between regions.
constexpr state::Millis kQueryAfterSilence(300);
// Minimum time between two renewals while a call waits for recent knowledge.
constexpr state::Millis kMinRenewInterval(100);
// Every renewal repeats a crash report until the control group has stored it,
// for at most this time: then it is too old to say anything about its request.
constexpr state::Millis kCrashReportMaxTime(60000);

}  // namespace

ControlClient::Impl::Impl(const state::TargetRecord& self,
                          std::vector<ControlAddress> control_instances,
                          state::Counters* counters,
                          ControlClientOptions options)
    : choice_(self, std::move(control_instances)),
      followed_(counters),
      counters_(counters),
      options_(std::move(options)) {
  record_.emplace(self);
  // Above the numbers of earlier incarnations, which sent less than one
  // renewal in a millisecond.
  next_renewal_ = std::max<uint64_t>(self.version_.incarnation_, 1);
  SetVersion(state::LeaseVersion{
      .incarnation_ = std::max<uint64_t>(self.version_.incarnation_, 1),
      .sequence_ = 1});
}

void ControlClient::Impl::SetSeeds(const std::vector<std::string>& addresses) {
  choice_.AddSeeds(addresses);
}

ControlClient::Step ControlClient::Impl::Announce(
    const std::string& target,
    const std::string& service,
    int slots,
    state::TargetState target_state,
    state::Millis now,
    const state::TargetWithdrawal& withdrawal) {
  const state::TargetRecord& old = *record_;
  if (old.target_ == target && old.service_ == service && old.slots_ == slots &&
      old.state_ == target_state && old.withdrawal_ == withdrawal) {
    return {};
  }
  const state::TargetRecord changed{.target_ = target,
                                    .service_ = service,
                                    .instance_ = old.instance_,
                                    .guard_address_ = old.guard_address_,
                                    .region_ = old.region_,
                                    .failure_domain_ = old.failure_domain_,
                                    .slots_ = slots,
                                    .state_ = target_state,
                                    .version_ = old.version_,
                                    .withdrawal_ = withdrawal};
  record_.emplace(changed);
  RaiseSequence();
  return Step{.commands_ = Renew(now)};
}

ControlClient::Step ControlClient::Impl::ReportCrash(
    const std::vector<CrashReport>& crashes,
    state::Millis now) {
  for (const CrashReport& crash : crashes) {
    crashes_.push_back(ReportedCrash{.report_ = crash, .at_ = now});
  }
  return crashes.empty() ? Step() : Step{.commands_ = Renew(now)};
}

ControlClient::Step ControlClient::Impl::Tick(state::Millis now) {
  Step step;
  if (choice_.empty()) {
    return step;
  }
  step.refused_fingerprints_changed_ = followed_.RemoveExpired(now);
  if (IsSilentFor(ReplyTimeout(), now)) {
    const std::string from = choice_.address();
    choice_.MoveToNext(now);
    OnLeaseMoved(from, ControlMoveReason::kSilent, now, &step);
  }
  Append(&step.commands_, RenewIfDue(now));
  const std::string query_address =
      choice_.AddressToQuery(IsSilentFor(kQueryAfterSilence, now), now);
  if (!query_address.empty()) {
    step.commands_.push_back(
        SendToPeer{.address_ = query_address,
                   .message_ = LeaseRenew{.instance_ = record_->instance_}});
  }
  return step;
}

void ControlClient::Impl::RenewSoon() {
  renew_at_ = std::min(renew_at_, renewed_at_ + kSuspectRenewInterval);
}

ControlClient::Step ControlClient::Impl::RenewNow(state::Millis now) {
  renew_at_ = std::min(renew_at_, renewed_at_ + kMinRenewInterval);
  return Step{.commands_ = RenewIfDue(now)};
}

state::Millis ControlClient::Impl::Staleness(state::Millis now) const {
  return now - up_to_date_at_;
}

state::Millis ControlClient::Impl::ReplyTimeout() const {
  const bool is_first_contact =
      followed_.configuration().index_ == 0 && received_reply_ == 0;
  return is_first_contact ? kFirstReplyTimeout : kReplyTimeout;
}

void ControlClient::Impl::OnLeaseMoved(const std::string& from,
                                       ControlMoveReason reason,
                                       state::Millis now,
                                       Step* step) {
  counters_->Add(state::Counter::kLeaseControlMoves);
  step->commands_.emplace_back(
      WriteLog{.event_ = ControlMovedLine(from, choice_.address(), reason,
                                          current_staleness_)});
  awaiting_reply_since_.reset();
  received_reply_ = 0;
  followed_since_ = now;
  RaiseSequence();
  renew_at_ = now;
}

void ControlClient::Impl::RaiseSequence() {
  const state::LeaseVersion version = record_->version_;
  SetVersion(state::LeaseVersion{.incarnation_ = version.incarnation_,
                                 .sequence_ = version.sequence_ + 1});
}

void ControlClient::Impl::SetVersion(const state::LeaseVersion& version) {
  const state::TargetRecord old = *record_;
  record_.emplace(state::TargetRecord{.target_ = old.target_,
                                      .service_ = old.service_,
                                      .instance_ = old.instance_,
                                      .guard_address_ = old.guard_address_,
                                      .region_ = old.region_,
                                      .failure_domain_ = old.failure_domain_,
                                      .slots_ = old.slots_,
                                      .state_ = old.state_,
                                      .version_ = version,
                                      .withdrawal_ = old.withdrawal_});
}

state::TargetRecord ControlClient::Impl::RecordToSend() const {
  const state::TargetRecord& record = *record_;
  return knows_withdrawal_
             ? record
             : state::TargetRecord{.instance_ = record.instance_,
                                   .guard_address_ = record.guard_address_,
                                   .region_ = record.region_,
                                   .failure_domain_ = record.failure_domain_,
                                   .version_ = record.version_};
}

Commands ControlClient::Impl::RenewIfDue(state::Millis now) {
  return now >= renew_at_ ? Renew(now) : Commands();
}

Commands ControlClient::Impl::Renew(state::Millis now) {
  if (choice_.empty()) {
    return {};
  }
  renewed_at_ = now;
  renew_at_ = now + kRenewInterval;
  renewals_.Record(next_renewal_, now);
  if (!awaiting_reply_since_.has_value()) {
    awaiting_reply_since_ = now;
  }
  while (!crashes_.empty() &&
         now - crashes_.front().at_ >= kCrashReportMaxTime) {
    crashes_.pop_front();
  }
  std::vector<CrashReport> crashes;
  crashes.reserve(crashes_.size());
  for (const ReportedCrash& crash : crashes_) {
    crashes.push_back(crash.report_);
  }
  return {SendToPeer{
      .address_ = choice_.address(),
      .message_ = LeaseRenew{
          .instance_ = record_->instance_,
          .record_ = RecordToSend(),
          .configuration_index_ = followed_.configuration().index_,
          .requires_confirmed_ = followed_.configuration().index_ == 0,
          .membership_epoch_ = followed_.membership_epoch(),
          .membership_version_ = followed_.membership_version(),
          .services_ = options_.services_,
          .crashes_ = crashes,
          .renewal_ = next_renewal_++,
          .requires_confirmed_keys_ = options_.requires_confirmed_keys_,
          .received_reply_ = received_reply_}}};
}

ControlClient::ControlClient(state::TargetRecord self,
                             std::vector<ControlAddress> control_instances,
                             state::Counters* counters,
                             ControlClientOptions options)
    : impl_(std::make_unique<Impl>(self,
                                   std::move(control_instances),
                                   counters,
                                   std::move(options))) {}

ControlClient::~ControlClient() = default;

void ControlClient::SetSeeds(const std::vector<std::string>& addresses) {
  impl_->SetSeeds(addresses);
}

ControlClient::Step ControlClient::Announce(
    const std::string& target,
    const std::string& service,
    int slots,
    state::TargetState target_state,
    state::Millis now,
    const state::TargetWithdrawal& withdrawal) {
  return impl_->Announce(target, service, slots, target_state, now, withdrawal);
}

ControlClient::Step ControlClient::ReportCrash(
    const std::vector<CrashReport>& crashes,
    state::Millis now) {
  return impl_->ReportCrash(crashes, now);
}

ControlClient::Step ControlClient::OnReply(const std::string& address,
                                           const LeaseReply& reply,
                                           state::Millis now) {
  return impl_->OnReply(address, reply, now);
}

ControlClient::Step ControlClient::Tick(state::Millis now) {
  return impl_->Tick(now);
}

void ControlClient::RenewSoon() {
  impl_->RenewSoon();
}

const state::IndexedConfiguration& ControlClient::configuration() const {
  return impl_->followed().configuration();
}

bool ControlClient::has_membership() const {
  return impl_->followed().membership_epoch() != 0;
}

std::vector<state::TargetRecord> ControlClient::Targets() const {
  return impl_->followed().Targets();
}

const std::vector<RefusedFingerprint>& ControlClient::refused_fingerprints()
    const {
  return impl_->followed().refused_fingerprints();
}

const state::Evacuations& ControlClient::evacuations() const {
  return impl_->followed().evacuations();
}

const std::string& ControlClient::leader_address() const {
  return impl_->leader_address();
}

ControlClient::Step ControlClient::RenewNow(state::Millis now) {
  return impl_->RenewNow(now);
}

state::Millis ControlClient::Staleness(state::Millis now) const {
  return impl_->Staleness(now);
}

const state::TargetWithdrawal& ControlClient::kept_withdrawal() const {
  return impl_->kept_withdrawal();
}

const state::TargetWithdrawal& ControlClient::stored_withdrawal() const {
  return impl_->stored_withdrawal();
}

const state::TargetRecord& ControlClient::record() const {
  return impl_->record();
}

}  // namespace gooseberrygap::coordination
