#include <algorithm>

#include "coordination/internal/control_client_impl.h"
#include "coordination/internal/decision_log.h"

namespace gooseberrygap::coordination {

namespace {

// Minimum time between a renewal and the next one after a refusal or a lost
// reply, so that two daemons with the same name do not displace each
// other in a tight loop.
constexpr state::Millis kRefusalRetryDelay(50);
// Delay before a target is announced that was held back until the first granted
// reply: shorter than the time between two ticks.
constexpr state::Millis kHeldTargetDelay(1);
// A reply that is handled this long after its renewal was sent is logged: it
// has waited on the way, or in a process that did not run.
constexpr state::Millis kLateReply(500);

}  // namespace

ControlClient::Step ControlClient::Impl::OnReply(const std::string& address,
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
    step.commands_.emplace_back(
        WriteLog{.event_ = ControlQueryAnsweredLine(choice_.address(), reply)});
  }
  if (reply.known_incarnation_ > record_->version_.incarnation_) {
    // Another process used this name, or the wall clock was set back.
    SetVersion(state::LeaseVersion{.incarnation_ = reply.known_incarnation_ + 1,
                                   .sequence_ = 1});
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

void ControlClient::Impl::LogIfLate(const LeaseReply& reply,
                                    state::Millis now,
                                    Step* step) {
  if (reply.renewal_ <= answered_renewal_) {
    return;
  }
  answered_renewal_ = reply.renewal_;
  const std::optional<state::Millis> sent_at = renewals_.SentAt(reply.renewal_);
  if (sent_at.has_value() && now - *sent_at >= kLateReply) {
    step->commands_.emplace_back(
        WriteLog{.event_ = ControlReplyLateLine(reply, now - *sent_at)});
  }
}

state::Millis ControlClient::Impl::UsableStaleness(const LeaseReply& reply,
                                                   const std::string& address,
                                                   state::Millis now) const {
  const bool has_keys =
      options_.requires_confirmed_keys_ && followed_.configuration().index_ > 0;
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

void ControlClient::Impl::RenewEarlyIfSuspect(state::Millis staleness,
                                              state::Millis now) {
  if (staleness > kSuspectStaleness && staleness < kNeverContacted) {
    renew_at_ = std::min(renew_at_, now + kSuspectRenewInterval);
  }
}

void ControlClient::Impl::ApplyReply(const LeaseReply& reply,
                                     state::Millis now,
                                     Step* step) {
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
  const bool was_without_configuration = followed_.configuration().index_ == 0;
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

void ControlClient::Impl::AnnounceHeldTarget(state::Millis now) {
  if (!record_->target_.empty() || !record_->withdrawal_.target_.empty()) {
    RaiseSequence();
    renew_at_ = now + kHeldTargetDelay;
  }
}

void ControlClient::Impl::UpdateUpToDate(const LeaseReply& reply,
                                         state::Millis now) {
  const std::optional<state::Millis> sent_at = renewals_.SentAt(reply.renewal_);
  if (sent_at.has_value() && reply.staleness_ < kNeverContacted) {
    up_to_date_at_ =
        std::max(up_to_date_at_, std::min(*sent_at, now) - reply.staleness_);
  }
}

void ControlClient::Impl::RemoveStoredCrashes(const LeaseReply& reply) {
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

}  // namespace gooseberrygap::coordination
