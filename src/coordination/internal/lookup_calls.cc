#include "coordination/internal/lookup_calls.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Refused attempts after which a call is not sent again. Refusals cost the
// targets nothing, so this only limits the number of messages of one call.
constexpr uint32_t kMaxRefusals = 4;
// Refused attempts after which the guard may queue the next one. Giving up
// instead failed 1 to 7% of the calls in a trial.
constexpr uint32_t kRefusalsBeforeQueueing = 2;
// Refusals by cold targets after which a call is not sent again. They count
// apart: a failure domain that returns is cold as a whole, while the targets of
// other domains have room.
constexpr uint32_t kMaxColdRefusals = 8;

// Links to the guard of an open attempt that may be replaced before a call that
// may not be sent elsewhere is given up. Each was silent for 400 ms, so that
// the guard's instance has most likely failed; the caller should not be held
// until its deadline.
constexpr uint32_t kMaxResumes = 2;

// Delay of the answer to a call whose targets crashed. In that time all daemons
// receive its fingerprint as a suspect, so that the caller's resend runs alone
// and the next crash can be attributed to it. A report takes two trips between
// regions, 50 ms, and a push.
constexpr state::Millis kCrashAnswerWait(300);

bool IsServerError(int status) {
  return status >= 500;
}

}  // namespace

Commands LookupCalls::OnCall(const ClassifiedCall& call, state::Millis now) {
  const auto [entry, inserted] = lookups_.emplace(
      call.request_id_, std::make_unique<Lookup>(call, router_, access_));
  Lookup* lookup = entry->second.get();
  const bool is_outermost = call.depth_ == 0;
  // A suspect is not hedged: two copies of a request that crashes its targets
  // would crash two at once, and neither crash could be attributed to it with
  // certainty.
  request_by_call_[call.call_id_] = call.request_id_;
  if (is_outermost && !call.is_suspect_ && !call.is_unkeyed_ &&
      call.service_->hedge_.enabled_) {
    const auto delay = router_->HedgeDelay(call.service_->name_);
    if (delay.has_value()) {
      lookup->hedge_at_ = now + *delay;
    }
  }
  return SendNext(lookup, now);
}

Commands LookupCalls::SendNext(Lookup* lookup, state::Millis now) {
  AttemptSet& attempts = lookup->attempts_;
  const state::RefusalReason denial = attempts.CheckAccess(now);
  if (denial != state::RefusalReason::kNone) {
    lookup->last_reason_ = denial;
    return attempts.open().empty() ? GiveUp(lookup, now) : Commands();
  }
  const AttemptSet::NextTarget next = attempts.ChooseNext(now);
  if (!next.target_.has_value()) {
    if (lookup->last_reason_ == state::RefusalReason::kNone) {
      lookup->last_reason_ = ReasonWithoutTarget(lookup->call_);
    }
    return attempts.open().empty() ? GiveUp(lookup, now) : Commands();
  }
  const bool may_queue =
      next.all_tried_ ||
      lookup->refusals_ - lookup->cold_refusals_ >= kRefusalsBeforeQueueing;
  return {attempts.Send(
      *next.target_,
      AttemptSet::SendOptions{
          .may_queue_ = may_queue,
          .is_hedged_ = !attempts.open().empty(),
          .run_alone_ = lookup->call_.is_suspect_ || lookup->crashes_ > 0},
      now)};
}

state::RefusalReason LookupCalls::ReasonWithoutTarget(
    const ClassifiedCall& call) const {
  const std::string& service = call.service_->name_;
  if (router_->IsEvacuated(service, call.allowed_regions_)) {
    return state::RefusalReason::kEvacuated;
  }
  if (router_->HasTarget(service, call.allowed_regions_)) {
    return state::RefusalReason::kOverloaded;
  }
  return router_->HasTarget(service) ? state::RefusalReason::kNoAllowedRegion
                                     : state::RefusalReason::kNoTarget;
}

std::optional<Commands> LookupCalls::OnAnswer(const AttemptAnswer& answer,
                                              state::Millis now) {
  const auto entry = lookups_.find(answer.request_id_);
  if (entry == lookups_.end()) {
    return std::nullopt;
  }
  Lookup* lookup = entry->second.get();
  const bool is_served = answer.result_ == AttemptResult::kComplete &&
                         !IsServerError(answer.answer_.status_);
  const bool is_refused = answer.result_ == AttemptResult::kRefused;
  const AttemptEnd end = is_served    ? AttemptEnd::kServed
                         : is_refused ? AttemptEnd::kRefused
                                      : AttemptEnd::kFailed;
  if (!lookup->attempts_.End(answer.attempt_, end, answer.load_, now,
                             ServedBy(lookup->call_, answer))) {
    counters_->Add(state::Counter::kAnswersLate);
    return Commands();
  }
  if (is_served) {
    return Finish(lookup, CompleteAnswer(lookup->call_, answer, now), now);
  }
  if (is_refused) {
    return OnRefused(lookup, answer, now);
  }
  if (answer.result_ == AttemptResult::kComplete) {
    lookup->error_answer_.emplace(answer);
  }
  Commands commands;
  if (answer.refusal_ == state::RefusalReason::kTargetCrashed) {
    ++lookup->crashes_;
    // A second copy that is still running would crash its target too.
    lookup->hedge_at_.reset();
    commands = lookup->attempts_.CancelAll(now);
  }
  lookup->last_reason_ = answer.refusal_;
  Append(&commands, OnFailed(lookup, now));
  return commands;
}

Commands LookupCalls::OnRefused(Lookup* lookup,
                                const AttemptAnswer& answer,
                                state::Millis now) {
  ++lookup->refusals_;
  lookup->cold_refusals_ +=
      answer.refusal_ == state::RefusalReason::kWarmingUp ? 1 : 0;
  lookup->last_reason_ = answer.refusal_;
  // Guards with a newer route refuse the call on every target of the service.
  const bool is_rerouted =
      !lookup->call_.host_.empty() &&
      answer.refusal_ == state::RefusalReason::kStaleConfiguration;
  const bool is_final =
      answer.refusal_ == state::RefusalReason::kPoisoned || is_rerouted ||
      lookup->refusals_ - lookup->cold_refusals_ >= kMaxRefusals ||
      lookup->cold_refusals_ >= kMaxColdRefusals ||
      now >= lookup->call_.deadline_;
  if (is_final) {
    return lookup->attempts_.open().empty() ? GiveUp(lookup, now) : Commands();
  }
  // A shed attempt has reached its target and costs it as much as a retry, so
  // that the next one uses the retry budget.
  if (answer.refusal_ == state::RefusalReason::kTargetShed &&
      !router_->TakeRetry(lookup->call_.service_->name_, now)) {
    counters_->Add(state::RetryReason::kBudgetExhausted);
    return lookup->attempts_.open().empty() ? GiveUp(lookup, now) : Commands();
  }
  counters_->Add(state::RetryReason::kRefused);
  return SendNext(lookup, now);
}

Commands LookupCalls::OnFailed(Lookup* lookup, state::Millis now) {
  ++lookup->failures_;
  if (!lookup->attempts_.open().empty()) {
    return {};
  }
  const ClassifiedCall& call = lookup->call_;
  const auto crash_limit =
      static_cast<uint32_t>(call.configuration_->poison_.crashes_);
  const bool is_final = !MayReachAnotherTarget(*lookup) || call.is_unkeyed_ ||
                        lookup->crashes_ >= crash_limit ||
                        now >= call.deadline_;
  if (is_final) {
    return GiveUp(lookup, now);
  }
  if (!router_->TakeRetry(call.service_->name_, now)) {
    counters_->Add(state::RetryReason::kBudgetExhausted);
    return GiveUp(lookup, now);
  }
  counters_->Add(state::RetryReason::kConnectionLost);
  return SendNext(lookup, now);
}

Commands LookupCalls::GiveUp(Lookup* lookup, state::Millis now) {
  const ClassifiedCall& call = lookup->call_;
  if (lookup->crashes_ > 0 && !lookup->give_up_at_.has_value()) {
    lookup->give_up_at_ = now + kCrashAnswerWait;
    lookup->hedge_at_.reset();
    return {};
  }
  if (lookup->error_answer_.has_value()) {
    const AttemptAnswer answer = *lookup->error_answer_;
    return Finish(lookup, CompleteAnswer(call, answer, now), now);
  }
  if (lookup->failures_ == 0) {
    return Finish(lookup, NotRunAnswer(call, lookup->last_reason_), now);
  }
  return Finish(lookup, UnknownOutcomeAnswer(call, lookup->last_reason_), now);
}

Commands LookupCalls::Finish(Lookup* lookup,
                             AnswerCall answer,
                             state::Millis now) {
  Commands commands = lookup->attempts_.CancelAll(now);
  commands.push_back(std::move(answer));
  const std::string request_id = lookup->call_.request_id_;
  request_by_call_.erase(lookup->call_.call_id_);
  lookups_.erase(request_id);
  return commands;
}

Commands LookupCalls::OnCallerDisconnected(uint64_t call_id,
                                           state::Millis now) {
  const auto entry = request_by_call_.find(call_id);
  if (entry == request_by_call_.end()) {
    return {};
  }
  const auto lookup = lookups_.find(entry->second);
  Commands commands = lookup->second->attempts_.CancelAll(now);
  lookups_.erase(lookup);
  request_by_call_.erase(entry);
  return commands;
}

Commands LookupCalls::OnTargetSlow(const std::string& target,
                                   state::Millis now) {
  std::vector<Lookup*> affected;
  for (const auto& [request_id, lookup] : lookups_) {
    const std::vector<OpenAttempt>& open = lookup->attempts_.open();
    const ClassifiedCall& call = lookup->call_;
    const bool is_only_at_target =
        open.size() == 1 && open.front().target_.target_ == target;
    // A second copy helps only if it can still answer within the objective.
    const state::Millis usual_latency =
        router_->UsualLatency(call.service_->name_);
    if (is_only_at_target && !call.is_unkeyed_ && !call.is_suspect_ &&
        now + usual_latency < call.objective_) {
      affected.push_back(lookup.get());
    }
  }
  Commands commands;
  for (Lookup* lookup : affected) {
    if (!MayReachAnotherTarget(*lookup) ||
        !router_->TakeRetry(lookup->call_.service_->name_, now)) {
      continue;
    }
    counters_->Add(state::RetryReason::kSlowTarget);
    Append(&commands, SendNext(lookup, now));
  }
  return commands;
}

Commands LookupCalls::OnLinkLost(const std::string& address,
                                 state::Millis now) {
  Commands commands;
  std::vector<Lookup*> affected;
  for (const auto& [request_id, lookup] : lookups_) {
    // The target may be working on a call that may not be sent elsewhere, so
    // the guard is asked for its answer on the new link.
    const bool stays =
        lookup->call_.is_unkeyed_ || !MayReachAnotherTarget(*lookup);
    if (stays && lookup->resumes_ < kMaxResumes) {
      Commands resumes = lookup->attempts_.ResumeAttemptsTo(address);
      lookup->resumes_ += resumes.empty() ? 0 : 1;
      Append(&commands, std::move(resumes));
    } else if (lookup->attempts_.EndAttemptsTo(address, now) > 0) {
      affected.push_back(lookup.get());
    }
  }
  for (Lookup* lookup : affected) {
    ++lookup->failures_;
    lookup->last_reason_ = state::RefusalReason::kLinkLost;
    if (!lookup->attempts_.open().empty()) {
      continue;
    }
    if (lookup->call_.is_unkeyed_ || !MayReachAnotherTarget(*lookup)) {
      Append(&commands, GiveUp(lookup, now));
      continue;
    }
    // Not taken from the retry budget: a lost link does not indicate load, and
    // the number of links limits these retries.
    counters_->Add(state::RetryReason::kSilentLink);
    Append(&commands, SendNext(lookup, now));
  }
  return commands;
}

Commands LookupCalls::Tick(state::Millis now) {
  Commands commands;
  std::vector<Lookup*> due;
  for (const auto& [request_id, lookup] : lookups_) {
    if (now >= DueAt(*lookup)) {
      due.push_back(lookup.get());
    }
  }
  for (Lookup* lookup : due) {
    Append(&commands, now >= lookup->call_.deadline_ ? OnDeadline(lookup, now)
                      : lookup->give_up_at_.has_value() ? GiveUp(lookup, now)
                                                        : Hedge(lookup, now));
  }
  return commands;
}

state::Millis LookupCalls::DueAt(const Lookup& lookup) {
  const state::Millis deadline = lookup.call_.deadline_;
  return std::min({deadline, lookup.hedge_at_.value_or(deadline),
                   lookup.give_up_at_.value_or(deadline)});
}

std::optional<state::Millis> LookupCalls::NextDue() const {
  std::optional<state::Millis> next;
  for (const auto& [request_id, lookup] : lookups_) {
    const state::Millis due = DueAt(*lookup);
    next = std::min(next.value_or(due), due);
  }
  return next;
}

bool LookupCalls::MayReachAnotherTarget(const Lookup& lookup) {
  return lookup.attempts_.sent() - lookup.refusals_ <
         lookup.call_.max_attempts_;
}

Commands LookupCalls::OnDeadline(Lookup* lookup, state::Millis now) {
  const bool may_have_run =
      !lookup->attempts_.open().empty() || lookup->failures_ > 0;
  const auto reason = state::RefusalReason::kDeadline;
  return Finish(lookup,
                may_have_run ? UnknownOutcomeAnswer(lookup->call_, reason)
                             : NotRunAnswer(lookup->call_, reason),
                now);
}

Commands LookupCalls::Hedge(Lookup* lookup, state::Millis now) {
  lookup->hedge_at_.reset();
  const bool may_hedge =
      lookup->attempts_.open().size() == 1 && MayReachAnotherTarget(*lookup);
  if (!may_hedge || !router_->TakeHedge(lookup->call_.service_->name_, now)) {
    return {};
  }
  counters_->Add(state::RetryReason::kHedge);
  return SendNext(lookup, now);
}

}  // namespace gooseberrygap::coordination
