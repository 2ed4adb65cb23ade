#include <utility>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Interval between proposals to expire register keys. Keys are retained for
// hours, so a minute more does not matter.
constexpr state::Millis kExpireKeysInterval(60000);
// An abandon that is not applied within this time after the crash is discarded:
// the callers that wait for its result have given up.
constexpr state::Millis kCrashAbandonTime(10000);
// An abandon that has not been applied is sent again after this time. Longer
// than a commit takes, since a repetition also abandons the actions that the
// guard has started since the crash.
constexpr state::Millis kCrashAbandonRepeat(500);
// Memory of the configurations that are proposed and not applied.
constexpr size_t kMaxPendingBytes = state::kMaxConfigurationBytes;

struct OperationCounter {
  state::RegisterOperation operation_;
  state::Counter counter_;
};

constexpr OperationCounter kOperationCounters[] = {
    {state::RegisterOperation::kBegin, state::Counter::kRegisterBegins},
    {state::RegisterOperation::kStart, state::Counter::kRegisterStarts},
    {state::RegisterOperation::kFence, state::Counter::kRegisterFences},
    {state::RegisterOperation::kRelease, state::Counter::kRegisterReleases},
    {state::RegisterOperation::kFinish, state::Counter::kRegisterFinishes},
    {state::RegisterOperation::kAbandon, state::Counter::kRegisterAbandons},
};

}  // namespace

bool ControlService::Impl::LeadsWithQuorum() const {
  return status_.has_value() && status_->leads_ && status_->has_quorum_;
}

uint64_t ControlService::Impl::Propose(const state::LogChange& change,
                                       const PendingProposal& pending,
                                       state::Millis now) {
  const uint64_t tag = next_tag_++;
  const double since_tick = (now - wall_at_).value();
  pending_.emplace(tag, pending);
  step_.proposals_.push_back(Proposal{
      .tag_ = tag,
      .command_ = state::LogCommand{
          .proposer_ = epoch_,
          .tag_ = tag,
          .wall_millis_ = wall_millis_ + static_cast<uint64_t>(since_tick),
          .change_ = change}});
  return tag;
}

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const RegisterCall& call,
                                     state::Millis now) {
  const Caller caller{.connection_ = connection, .call_id_ = call.call_id_};
  if (!LeadsWithQuorum()) {
    RefuseCall(caller);
    return;
  }
  // The reply to a call that is already in progress also answers its resend.
  // Calls with id 0 come from control instances, which expect no reply.
  if (call.call_id_ != 0 && !pending_callers_.insert(caller).second) {
    return;
  }
  for (const OperationCounter& row : kOperationCounters) {
    if (row.operation_ == call.command_.operation_) {
      counters_->Add(row.counter_);
    }
  }
  Propose(
      call.command_,
      PendingProposal{.kind_ = ProposalKind::kRegisterCall, .caller_ = caller},
      now);
}

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const ConfigSubmit& submit,
                                     state::Millis now) {
  const Caller caller{.connection_ = connection, .call_id_ = submit.call_id_};
  if (submit.configuration_ == nullptr) {
    return;
  }
  if (!LeadsWithQuorum()) {
    RefuseSubmit(caller);
    return;
  }
  const state::SubmittedConfiguration submitted{
      .submission_ = submit.submission_,
      .base_version_ = submit.base_version_,
      .configuration_ = submit.configuration_};
  // A document that cannot be accepted any more would only lengthen the log.
  const std::optional<state::SubmissionResult> known =
      configurations_.FinalResult(submitted);
  if (known.has_value()) {
    ReplyToSubmit(caller, *known);
    return;
  }
  const size_t bytes = state::SizeOf(*submit.configuration_);
  // The sender tries again. One document alone always fits.
  if (pending_bytes_ > 0 && pending_bytes_ + bytes > kMaxPendingBytes) {
    RefuseSubmit(caller);
    return;
  }
  pending_bytes_ += bytes;
  Propose(submitted,
          PendingProposal{.kind_ = ProposalKind::kConfigSubmit,
                          .caller_ = caller,
                          .bytes_ = bytes},
          now);
}

void ControlService::Impl::ReplyToSubmit(
    const Caller& caller,
    const state::SubmissionResult& result) {
  constexpr std::pair<state::SubmissionStatus, SubmitStatus> kStatuses[] = {
      {state::SubmissionStatus::kAccepted, SubmitStatus::kAccepted},
      {state::SubmissionStatus::kConflict, SubmitStatus::kConflict},
      {state::SubmissionStatus::kWrongVersion, SubmitStatus::kWrongVersion}};
  for (const auto& [from, to] : kStatuses) {
    if (from == result.status_) {
      step_.commands_.push_back(
          ReplyToPeer{.connection_ = caller.connection_,
                      .message_ = ConfigSubmitReply{
                          .call_id_ = caller.call_id_,
                          .status_ = to,
                          .index_ = result.index_,
                          .current_version_ = result.current_version_,
                          .winner_submission_ = result.winner_submission_}});
    }
  }
}

void ControlService::Impl::RefuseCall(const Caller& caller) {
  const bool other_leads = status_.has_value() && !status_->leads_ &&
                           !status_->leader_address_.empty();
  std::string leader = other_leads ? status_->leader_address_ : std::string();
  const RegisterStatus status =
      other_leads ? RegisterStatus::kNotLeader : RegisterStatus::kNoQuorum;
  const RegisterReply reply{.call_id_ = caller.call_id_,
                            .status_ = status,
                            .leader_address_ = std::move(leader)};
  step_.commands_.push_back(
      ReplyToPeer{.connection_ = caller.connection_, .message_ = reply});
}

void ControlService::Impl::RefuseSubmit(const Caller& caller) {
  const bool formed = status_.has_value() && status_->formed_;
  const bool other_leads =
      formed && !status_->leads_ && !status_->leader_address_.empty();
  const std::string leader =
      other_leads ? status_->leader_address_ : std::string();
  const ConfigSubmitReply reply{.call_id_ = caller.call_id_,
                                .status_ = !formed ? SubmitStatus::kNotFormed
                                           : other_leads
                                               ? SubmitStatus::kNotLeader
                                               : SubmitStatus::kNoQuorum,
                                .leader_address_ = leader};
  step_.commands_.push_back(
      ReplyToPeer{.connection_ = caller.connection_, .message_ = reply});
}

void ControlService::Impl::On(const ProposalEnded& event, state::Millis) {
  const auto pending = pending_.find(event.tag_);
  if (pending == pending_.end() ||
      event.outcome_ == ProposalOutcome::kCommitted) {
    return;
  }
  // When the outcome is unknown, any reply could be wrong, so none is sent and
  // the caller sends its request again.
  if (event.outcome_ == ProposalOutcome::kRefused) {
    if (pending->second.kind_ == ProposalKind::kRegisterCall) {
      RefuseCall(pending->second.caller_);
    } else if (pending->second.kind_ == ProposalKind::kConfigSubmit) {
      RefuseSubmit(pending->second.caller_);
    } else if (pending->second.kind_ == ProposalKind::kEvacuation) {
      RefuseEvacuation(pending->second.caller_);
    }
  }
  RemovePending(pending);
}

void ControlService::Impl::RemovePending(
    std::map<uint64_t, PendingProposal>::iterator pending) {
  pending_bytes_ -= pending->second.bytes_;
  pending_callers_.erase(pending->second.caller_);
  pending_abandons_.erase(pending->second.guard_);
  pending_.erase(pending);
}

void ControlService::Impl::On(const EntryCommitted& event, state::Millis now) {
  // After a snapshot, entries that it already contains are passed again.
  if (event.index_ <= applied_index_) {
    return;
  }
  applied_index_ = event.index_;
  if (event.command_.has_value()) {
    std::visit(
        [this, &event, now](const auto& change) { Apply(change, event, now); },
        event.command_->change_);
  }
  ReplyWithConfirmed(now);
}

std::optional<ControlService::Impl::PendingProposal>
ControlService::Impl::TakePending(const state::LogCommand& command) {
  if (command.proposer_ != epoch_) {
    return std::nullopt;
  }
  const auto entry = pending_.find(command.tag_);
  if (entry == pending_.end()) {
    return std::nullopt;
  }
  PendingProposal pending = entry->second;
  RemovePending(entry);
  return pending;
}

void ControlService::Impl::Apply(const state::SubmittedConfiguration& change,
                                 const EntryCommitted& entry,
                                 state::Millis now) {
  const state::SubmissionResult result =
      configurations_.Submit(entry.index_, change);
  if (result.index_ == entry.index_) {
    // Proposed in this leadership, it was in force under no other leader.
    const bool is_own = entry.command_->proposer_ == epoch_ &&
                        entry.command_->tag_ >= first_tag_of_leadership_;
    ApplyConfigurationPolicy(is_own ? QuotaOwner::NewTenants::kHoldNoTokens
                                    : QuotaOwner::NewTenants::kMayHoldTokens,
                             now);
    for (const auto& [instance, session] : sessions_) {
      if (session.AwaitsConfirmed()) {
        awaiting_read_request_.insert(instance);
      }
    }
    push_all_ = true;
    SchedulePush(now);
  }
  const std::optional<PendingProposal> pending = TakePending(*entry.command_);
  if (pending.has_value()) {
    ReplyToSubmit(pending->caller_, result);
  }
}

void ControlService::Impl::Apply(const state::RegisterCommand& change,
                                 const EntryCommitted& entry,
                                 state::Millis) {
  const state::RegisterResult result =
      register_.Apply(change, entry.command_->wall_millis_);
  RemoveAppliedCrashAbandon(change);
  const std::optional<PendingProposal> pending = TakePending(*entry.command_);
  if (!pending.has_value() || pending->kind_ != ProposalKind::kRegisterCall) {
    return;
  }
  step_.commands_.push_back(ReplyToPeer{
      .connection_ = pending->caller_.connection_,
      .message_ = RegisterReply{
          .call_id_ = pending->caller_.call_id_,
          .status_ = RegisterStatus::kApplied,
          .result_ = result,
          .leader_address_ =
              status_.has_value() ? status_->leader_address_ : std::string()}});
}

void ControlService::Impl::Apply(const state::ExpireKeys&,
                                 const EntryCommitted& entry,
                                 state::Millis) {
  register_.Expire(entry.command_->wall_millis_);
  TakePending(*entry.command_);
}

void ControlService::Impl::ApplyConfigurationPolicy(
    QuotaOwner::NewTenants new_tenants,
    state::Millis now) {
  const state::IndexedConfiguration current = configurations_.current();
  if (current.configuration_ != nullptr) {
    register_.SetPolicy(current.configuration_->actions_);
    quota_owner_.UpdateConfiguration(*current.configuration_, new_tenants, now);
  }
}

void ControlService::Impl::On(const SnapshotRestored& event,
                              state::Millis now) {
  applied_index_ = event.index_;
  register_.Restore(event.state_.register_);
  configurations_.Restore(event.state_.configurations_, event.state_.accepted_);
  evacuations_.Restore(event.state_.evacuations_);
  withdrawals_.Restore(event.state_.withdrawals_);
  crash_table_.Restore(event.state_.crashes_);
  UpdateEvacuationGauge();
  ApplyConfigurationPolicy(QuotaOwner::NewTenants::kMayHoldTokens, now);
  ReplayCrashes(now);
  push_all_ = true;
  SchedulePush(now);
  ReplyWithConfirmed(now);
}

state::ReplicatedState ControlService::Impl::Snapshot() const {
  return state::ReplicatedState{
      .register_ = register_.Snapshot(),
      .configurations_ = configurations_.Snapshot(),
      .accepted_ = configurations_.AcceptedSubmissions(),
      .evacuations_ = evacuations_.Snapshot(),
      .withdrawals_ = withdrawals_.Snapshot(),
      .crashes_ = crash_table_.Snapshot()};
}

void ControlService::Impl::ProposeAbandon(const std::string& guard,
                                          uint64_t incarnation,
                                          state::Millis now) {
  if (!pending_abandons_.insert(guard).second) {
    return;
  }
  counters_->Add(state::Counter::kRegisterAbandons);
  Propose(
      state::RegisterCommand{.operation_ = state::RegisterOperation::kAbandon,
                             .guard_ = guard,
                             .incarnation_ = incarnation},
      PendingProposal{.kind_ = ProposalKind::kAbandon, .guard_ = guard}, now);
}

void ControlService::Impl::AbandonOutdatedIncarnations(state::Millis now) {
  if (!LeadsWithQuorum()) {
    return;
  }
  for (const state::GuardIncarnation& started : register_.StartedGuards()) {
    const state::MembershipRecord* known = table_.Find(started.guard_);
    if (known != nullptr &&
        known->record_.version_.incarnation_ > started.incarnation_) {
      ProposeAbandon(started.guard_, known->record_.version_.incarnation_, now);
    }
  }
}

void ControlService::Impl::SendCrashAbandons(state::Millis now) {
  for (auto entry = crash_abandons_.begin(); entry != crash_abandons_.end();) {
    const std::string& guard = entry->first;
    CrashAbandon& abandon = entry->second;
    if (now - abandon.crashed_at_ >= kCrashAbandonTime) {
      entry = crash_abandons_.erase(entry);
      continue;
    }
    ++entry;
    const bool is_due = !abandon.sent_at_.has_value() ||
                        now - *abandon.sent_at_ >= kCrashAbandonRepeat;
    const bool other_leads = status_.has_value() && !status_->leads_ &&
                             !status_->leader_address_.empty();
    if (!is_due || (!LeadsWithQuorum() && !other_leads)) {
      continue;
    }
    abandon.sent_at_ = now;
    if (!other_leads) {
      ProposeAbandon(guard, abandon.incarnation_, now);
      continue;
    }
    step_.commands_.push_back(SendToPeer{
        .address_ = status_->leader_address_,
        .message_ =
            RegisterCall{.command_ = state::RegisterCommand{
                             .operation_ = state::RegisterOperation::kAbandon,
                             .guard_ = guard,
                             .incarnation_ = abandon.incarnation_}}});
  }
}

void ControlService::Impl::RemoveAppliedCrashAbandon(
    const state::RegisterCommand& applied) {
  const auto entry = crash_abandons_.find(applied.guard_);
  if (applied.operation_ == state::RegisterOperation::kAbandon &&
      entry != crash_abandons_.end() && entry->second.sent_at_.has_value() &&
      entry->second.incarnation_ <= applied.incarnation_) {
    crash_abandons_.erase(entry);
  }
}

void ControlService::Impl::ProposeExpiry(state::Millis now) {
  if (!LeadsWithQuorum() || now < expire_keys_at_) {
    return;
  }
  expire_keys_at_ = now + kExpireKeysInterval;
  Propose(state::ExpireKeys{}, PendingProposal{.kind_ = ProposalKind::kExpire},
          now);
}

}  // namespace gooseberrygap::coordination
