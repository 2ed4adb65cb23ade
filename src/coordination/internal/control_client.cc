#include <algorithm>
#include <limits>
#include <utility>

#include "coordination/internal/control_choice.h"
#include "coordination/internal/followed_state.h"

namespace gooseberrygap::coordination {

namespace {

constexpr state::Millis kRenewEvery(1000);
// An instance that has not replied for this long is left. Shorter than the
// lease, so that the daemon is known elsewhere before its lease expires.
constexpr state::Millis kReplyTimeout(1000);
// Until a first reply has told the configuration, the daemon refuses all calls.
// Longer than a round trip between regions. After a loss of power the control
// instances start one after the other.
constexpr state::Millis kFirstReplyTimeout(200);
// A renewal that follows a refusal waits this long, so that two daemons with
// one name do not answer each other without pause.
constexpr state::Millis kAfterRefusal(50);
// A crash is reported until a reply has come this long after it, and no longer
// than the second time, when it no longer says anything about its request.
constexpr state::Millis kCrashReportTime(1000);
constexpr state::Millis kCrashReportLimit(60000);

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
                state::Millis now) {
    const state::TargetRecord& old = *record_;
    if (old.target_ == target && old.service_ == service &&
        old.slots_ == slots && old.state_ == target_state) {
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
                                      .version_ = old.version_};
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
    NoteKnowledge(reply, now);
    const bool moves =
        choice_.OnAge(reply.control_instance_, reply.staleness_, now);
    const bool is_current = choice_.IsCurrent(reply.control_instance_, address);
    if (is_current) {
      waiting_since_.reset();
      TakeReply(reply, now, &step);
    }
    if (reply.known_incarnation_ > record_->version_.incarnation_) {
      // Another process had this name, or the wall clock went back.
      SetVersion(state::LeaseVersion{
          .incarnation_ = reply.known_incarnation_ + 1, .sequence_ = 1});
      renew_at_ = now;
    }
    if (moves) {
      choice_.MoveTo(reply.control_instance_);
      OnMoved(now);
    }
    Append(&step.commands_, RenewIfDue(now));
    return step;
  }

  Step Tick(state::Millis now) {
    Step step;
    if (choice_.empty()) {
      return step;
    }
    step.refused_fingerprints_changed_ = followed_.DropExpired(now);
    if (waiting_since_.has_value() && now - *waiting_since_ >= ReplyTimeout()) {
      choice_.MoveOn(now);
      OnMoved(now);
    }
    step.commands_ = RenewIfDue(now);
    const std::string ask = choice_.AddressToAsk(now);
    if (!ask.empty()) {
      step.commands_.push_back(
          SendToPeer{.address_ = ask,
                     .message_ = LeaseRenew{.instance_ = record_->instance_}});
    }
    return step;
  }

  const FollowedState& followed() const { return followed_; }
  const state::TargetRecord& record() const { return *record_; }
  const std::string& leader_address() const { return leader_address_; }

  state::Millis Staleness(state::Millis now) const {
    return knowledge_at_.has_value()
               ? now - *knowledge_at_
               : state::Millis(std::numeric_limits<double>::infinity());
  }

 private:
  struct ReportedCrash {
    CrashReport report_;
    state::Millis at_;
  };

  state::Millis ReplyTimeout() const {
    return followed_.configuration().index_ == 0 ? kFirstReplyTimeout
                                                 : kReplyTimeout;
  }

  void TakeReply(const LeaseReply& reply, state::Millis now, Step* step) {
    if (!reply.granted_) {
      // The lease has expired or is held elsewhere under this version.
      RaiseSequence();
      renew_at_ = std::max(now, renewed_at_ + kAfterRefusal);
      return;
    }
    counters_->Add(state::Counter::kLeasesRenewed);
    if (!reply.leader_address_.empty()) {
      leader_address_ = reply.leader_address_;
    }
    choice_.SetInstances(reply.control_members_);
    ForgetReportedCrashes(now);
    const FollowedState::Changes changes = followed_.Take(reply, now);
    step->configuration_changed_ = changes.configuration_;
    step->membership_changed_ = changes.membership_;
    step->refused_fingerprints_changed_ = changes.refused_fingerprints_;
    if (changes.needs_whole_) {
      renew_at_ = std::max(now, renewed_at_ + kAfterRefusal);
    }
  }

  void NoteKnowledge(const LeaseReply& reply, state::Millis now) {
    const state::Millis known_at = now - reply.staleness_;
    if (reply.staleness_ < kNeverHeard &&
        (!knowledge_at_.has_value() || known_at > *knowledge_at_)) {
      knowledge_at_ = known_at;
    }
  }

  void ForgetReportedCrashes(state::Millis now) {
    while (!crashes_.empty() &&
           now - crashes_.front().at_ >= kCrashReportTime) {
      crashes_.pop_front();
    }
  }

  void OnMoved(state::Millis now) {
    counters_->Add(state::Counter::kLeaseControlMoves);
    waiting_since_.reset();
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
                                        .version_ = version});
  }

  Commands RenewIfDue(state::Millis now) {
    return now >= renew_at_ ? Renew(now) : Commands();
  }

  Commands Renew(state::Millis now) {
    if (choice_.empty()) {
      return {};
    }
    renewed_at_ = now;
    renew_at_ = now + kRenewEvery;
    if (!waiting_since_.has_value()) {
      waiting_since_ = now;
    }
    while (!crashes_.empty() &&
           now - crashes_.front().at_ >= kCrashReportLimit) {
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
            .record_ = *record_,
            .configuration_index_ = followed_.index_to_report(),
            .requires_confirmed_ = followed_.configuration().index_ == 0,
            .membership_epoch_ = followed_.membership_epoch(),
            .membership_version_ = followed_.membership_version(),
            .services_ = options_.services_,
            .crashes_ = crashes}}};
  }

  ControlChoice choice_;
  FollowedState followed_;
  state::Counters* counters_;
  const ControlClientOptions options_;
  std::optional<state::TargetRecord> record_;
  std::deque<ReportedCrash> crashes_;
  state::Millis renew_at_;
  state::Millis renewed_at_;
  // Oldest renewal since the last reply of the current instance.
  std::optional<state::Millis> waiting_since_;
  std::optional<state::Millis> knowledge_at_;
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

ControlClient::Step ControlClient::Announce(const std::string& target,
                                            const std::string& service,
                                            int slots,
                                            state::TargetState target_state,
                                            state::Millis now) {
  return impl_->Announce(target, service, slots, target_state, now);
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

const state::IndexedConfiguration& ControlClient::configuration() const {
  return impl_->followed().configuration();
}

bool ControlClient::knows_membership() const {
  return impl_->followed().membership_epoch() != 0;
}

std::vector<state::TargetRecord> ControlClient::Targets() const {
  return impl_->followed().Targets();
}

const std::vector<RefusedFingerprint>& ControlClient::refused_fingerprints()
    const {
  return impl_->followed().refused_fingerprints();
}

const std::string& ControlClient::leader_address() const {
  return impl_->leader_address();
}

state::Millis ControlClient::Staleness(state::Millis now) const {
  return impl_->Staleness(now);
}

const state::TargetRecord& ControlClient::record() const {
  return impl_->record();
}

}  // namespace gooseberrygap::coordination
