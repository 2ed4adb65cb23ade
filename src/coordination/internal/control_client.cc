#include <algorithm>
#include <limits>
#include <utility>

#include "coordination/internal/control_choice.h"
#include "coordination/internal/decision_log.h"
#include "coordination/internal/followed_state.h"
#include "coordination/internal/sent_times.h"

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
// An instance that reports more than this has missed several heartbeats of its
// leader, and the next renewal is sent after the shorter interval.
constexpr state::Millis kSuspectStaleness(300);
constexpr state::Millis kSuspectRenewInterval(250);
// Minimum time between two renewals while a call waits for recent knowledge.
constexpr state::Millis kMinRenewInterval(100);
// Minimum time between a renewal and the next one after a refusal or a lost
// reply, so that two daemons with the same name do not displace each
// other in a tight loop.
constexpr state::Millis kRefusalRetryDelay(50);
// Delay before a target is announced that was held back until the first granted
// reply: shorter than the time between two ticks.
constexpr state::Millis kHeldTargetDelay(1);
// Every renewal repeats a crash report until the control group has stored it,
// for at most this time: then it is too old to say anything about its request.
constexpr state::Millis kCrashReportMaxTime(60000);
// A reply that is handled this long after its renewal was sent is logged: it
// has waited on the way, or in a process that did not run.
constexpr state::Millis kLateReply(500);

}  // namespace

class ControlClient::Impl {
 public:
  Impl(const state::TargetRecord& self,
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

  void SetSeeds(const std::vector<std::string>& addresses) {
    choice_.AddSeeds(addresses);
  }

  Step Announce(const std::string& target,
                const std::string& service,
                int slots,
                state::TargetState target_state,
                state::Millis now,
                const state::TargetWithdrawal& withdrawal) {
    const state::TargetRecord& old = *record_;
    if (old.target_ == target && old.service_ == service &&
        old.slots_ == slots && old.state_ == target_state &&
        old.withdrawal_ == withdrawal) {
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

  Step ReportCrash(const std::vector<CrashReport>& crashes, state::Millis now) {
    for (const CrashReport& crash : crashes) {
      crashes_.push_back(ReportedCrash{.report_ = crash, .at_ = now});
    }
    return crashes.empty() ? Step() : Step{.commands_ = Renew(now)};
  }

  Step OnReply(const std::string& address,
               const LeaseReply& reply,
               state::Millis now) {
    Step step;
    if (choice_.empty()) {
      return step;
    }
    LogIfLate(reply, now, &step);
    step.evacuations_changed_ = followed_.ApplyEvacuations(reply);
    const std::optional<ControlMoveReason> move_reason =
        choice_.OnStalenessReport(reply.control_instance_,
                                  UsableStaleness(reply, address, now), now);
    const bool is_current = choice_.IsCurrent(reply.control_instance_, address);
    if (is_current) {
      awaiting_reply_since_.reset();
      current_staleness_ = reply.staleness_;
      if (reply.number_ != 0) {
        received_reply_ = reply.number_;
      }
      ApplyReply(reply, now, &step);
      RenewEarlyIfSuspect(reply.staleness_, now);
    } else {
      step.commands_.emplace_back(WriteLog{
          .event_ = ControlQueryAnsweredLine(choice_.address(), reply)});
    }
    if (reply.known_incarnation_ > record_->version_.incarnation_) {
      // Another process used this name, or the wall clock was set back.
      SetVersion(state::LeaseVersion{
          .incarnation_ = reply.known_incarnation_ + 1, .sequence_ = 1});
      renew_at_ = now;
    }
    if (move_reason.has_value()) {
      const std::string from = choice_.address();
      choice_.MoveTo(reply.control_instance_);
      OnLeaseMoved(from, *move_reason, now, &step);
    }
    Append(&step.commands_, RenewIfDue(now));
    return step;
  }

  Step Tick(state::Millis now) {
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

  void RenewSoon() {
    renew_at_ = std::min(renew_at_, renewed_at_ + kSuspectRenewInterval);
  }

  Step RenewNow(state::Millis now) {
    renew_at_ = std::min(renew_at_, renewed_at_ + kMinRenewInterval);
    return Step{.commands_ = RenewIfDue(now)};
  }

  const FollowedState& followed() const { return followed_; }
  const state::TargetRecord& record() const { return *record_; }
  const state::TargetWithdrawal& kept_withdrawal() const {
    return *kept_withdrawal_;
  }
  const state::TargetWithdrawal& stored_withdrawal() const {
    return *stored_withdrawal_;
  }
  const std::string& leader_address() const { return leader_address_; }

  state::Millis Staleness(state::Millis now) const {
    return now - up_to_date_at_;
  }

 private:
  struct ReportedCrash {
    CrashReport report_;
    state::Millis at_;
  };

  // An instance that has replied is running, and its next reply may wait behind
  // the configuration: a document of thousands of routes takes a slow link more
  // than kFirstReplyTimeout, and another instance would only send it again.
  state::Millis ReplyTimeout() const {
    const bool is_first_contact =
        followed_.configuration().index_ == 0 && received_reply_ == 0;
    return is_first_contact ? kFirstReplyTimeout : kReplyTimeout;
  }

  // Returns whether a renewal has been without a reply for that time.
  bool IsSilentFor(state::Millis time, state::Millis now) const {
    return awaiting_reply_since_.has_value() &&
           now - *awaiting_reply_since_ >= time;
  }

  // Pushes name the renewal before them, too, however long ago it was answered.
  void LogIfLate(const LeaseReply& reply, state::Millis now, Step* step) {
    if (reply.renewal_ <= answered_renewal_) {
      return;
    }
    answered_renewal_ = reply.renewal_;
    const std::optional<state::Millis> sent_at =
        renewals_.SentAt(reply.renewal_);
    if (sent_at.has_value() && now - *sent_at >= kLateReply) {
      step->commands_.emplace_back(
          WriteLog{.event_ = ControlReplyLateLine(reply, now - *sent_at)});
    }
  }

  // Returns how stale the replying instance is for this daemon. One that hears
  // its leader but cannot confirm the API keys, because its own messages to the
  // leader are lost, is of no use to a daemon that needs the confirmation.
  state::Millis UsableStaleness(const LeaseReply& reply,
                                const std::string& address,
                                state::Millis now) const {
    const bool has_keys = options_.requires_confirmed_keys_ &&
                          followed_.configuration().index_ > 0;
    if (!has_keys) {
      return reply.staleness_;
    }
    if (reply.confirmed_index_ > 0) {
      return std::max(reply.staleness_, reply.confirmed_age_);
    }
    return choice_.IsCurrent(reply.control_instance_, address)
               ? std::max(reply.staleness_, now - followed_since_)
               : reply.staleness_;
  }

  // An instance that may have lost its leader is asked again soon, since a
  // daemon learns only from its replies that it is stale.
  void RenewEarlyIfSuspect(state::Millis staleness, state::Millis now) {
    if (staleness > kSuspectStaleness && staleness < kNeverContacted) {
      renew_at_ = std::min(renew_at_, now + kSuspectRenewInterval);
    }
  }

  void ApplyReply(const LeaseReply& reply, state::Millis now, Step* step) {
    if (!reply.granted_) {
      // The lease has expired, or another instance holds it with this version.
      RaiseSequence();
      renew_at_ = std::max(now, renewed_at_ + kRefusalRetryDelay);
      return;
    }
    counters_->Add(state::Counter::kLeasesRenewed);
    kept_withdrawal_.emplace(reply.withdrawal_);
    stored_withdrawal_.emplace(reply.stored_withdrawal_);
    // An instance that has just started may lack a withdrawal that is in the
    // log.
    if (!knows_withdrawal_ && reply.staleness_ < kNeverContacted) {
      knows_withdrawal_ = true;
      AnnounceHeldTarget(now);
    }
    if (!reply.leader_address_.empty()) {
      leader_address_ = reply.leader_address_;
    }
    choice_.SetInstances(reply.control_members_);
    RemoveStoredCrashes(reply);
    const bool was_without_configuration =
        followed_.configuration().index_ == 0;
    const FollowedState::Changes changes = followed_.Apply(reply, now);
    step->configuration_changed_ = changes.configuration_;
    if (changes.configuration_ && was_without_configuration) {
      followed_since_ = now;
    }
    step->membership_changed_ = changes.membership_;
    step->refused_fingerprints_changed_ = changes.refused_fingerprints_;
    if (changes.misses_configuration_) {
      step->commands_.emplace_back(
          WriteLog{.event_ = ConfigurationMissedLine(
                       reply, followed_.configuration().index_)});
    }
    if (changes.misses_configuration_ || changes.misses_membership_) {
      renew_at_ = std::max(now, renewed_at_ + kRefusalRetryDelay);
    }
    if (reply.configuration_index_ <= followed_.configuration().index_) {
      UpdateUpToDate(reply, now);
    }
  }

  // Announces the target that was not sent before its withdrawal was known. Not
  // with this call: the reply's withdrawal must be applied to the target first.
  void AnnounceHeldTarget(state::Millis now) {
    if (!record_->target_.empty() || !record_->withdrawal_.target_.empty()) {
      RaiseSequence();
      renew_at_ = now + kHeldTargetDelay;
    }
  }

  // Call it only for a reply whose configuration is in force here: an answer to
  // a query or a refusal carries none. Counts from the sending of the renewal,
  // since the reply was made after it and may have waited for any time.
  void UpdateUpToDate(const LeaseReply& reply, state::Millis now) {
    const std::optional<state::Millis> sent_at =
        renewals_.SentAt(reply.renewal_);
    if (sent_at.has_value() && reply.staleness_ < kNeverContacted) {
      up_to_date_at_ =
          std::max(up_to_date_at_, std::min(*sent_at, now) - reply.staleness_);
    }
  }

  void RemoveStoredCrashes(const LeaseReply& reply) {
    std::deque<ReportedCrash> unstored;
    for (const ReportedCrash& crash : crashes_) {
      const bool is_stored =
          std::count(reply.stored_crashes_.begin(), reply.stored_crashes_.end(),
                     crash.report_.crash_id_) > 0;
      if (!is_stored) {
        unstored.push_back(crash);
      }
    }
    crashes_.swap(unstored);
  }

  void OnLeaseMoved(const std::string& from,
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

  void RaiseSequence() {
    const state::LeaseVersion version = record_->version_;
    SetVersion(state::LeaseVersion{.incarnation_ = version.incarnation_,
                                   .sequence_ = version.sequence_ + 1});
  }

  void SetVersion(const state::LeaseVersion& version) {
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

  // Returns the record that a renewal carries. Before the first granted reply
  // of an instance that has been up to date, the daemon does not know whether
  // its target has withdrawn, so that no other daemon may choose the target
  // yet.
  state::TargetRecord RecordToSend() const {
    const state::TargetRecord& record = *record_;
    return knows_withdrawal_
               ? record
               : state::TargetRecord{.instance_ = record.instance_,
                                     .guard_address_ = record.guard_address_,
                                     .region_ = record.region_,
                                     .failure_domain_ = record.failure_domain_,
                                     .version_ = record.version_};
  }

  Commands RenewIfDue(state::Millis now) {
    return now >= renew_at_ ? Renew(now) : Commands();
  }

  Commands Renew(state::Millis now) {
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

  ControlChoice choice_;
  FollowedState followed_;
  state::Counters* counters_;
  const ControlClientOptions options_;
  std::optional<state::TargetRecord> record_;
  std::optional<state::TargetWithdrawal> kept_withdrawal_ =
      state::TargetWithdrawal();
  std::optional<state::TargetWithdrawal> stored_withdrawal_ =
      state::TargetWithdrawal();
  bool knows_withdrawal_ = false;
  std::deque<ReportedCrash> crashes_;
  state::Millis renew_at_;
  state::Millis renewed_at_;
  uint64_t next_renewal_ = 1;
  SentTimes renewals_;
  uint64_t answered_renewal_ = 0;  // Number of the last one.
  // Number of the current instance's last reply; 0 until it replies.
  uint64_t received_reply_ = 0;
  // Time at which the current instance was chosen, or at which the first
  // configuration came into force.
  state::Millis followed_since_;
  // Time of the oldest renewal that the current instance has not replied to.
  std::optional<state::Millis> awaiting_reply_since_;
  // Staleness that the current instance, or the one before it, reported last.
  state::Millis current_staleness_;
  // Last time at which the configuration in force here was the newest one, as
  // far as the instances that this daemon has followed could tell.
  state::Millis up_to_date_at_ =
      state::Millis(-std::numeric_limits<double>::infinity());
  std::string leader_address_;
};

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
