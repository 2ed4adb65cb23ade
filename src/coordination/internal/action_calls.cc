#include "coordination/internal/action_calls.h"

#include <algorithm>

#include "coordination/internal/register_tags.h"

namespace gooseberrygap::coordination {

namespace {

using state::ActionState;
using state::RefusalReason;
using state::RegisterOperation;

// Refused attempts after which an action is fenced and not sent again.
constexpr uint32_t kMaxRefusals = 8;
// Refused attempts after which the guard may queue the next one.
constexpr uint32_t kRefusalsBeforeQueueing = 2;
// Refusals by cold targets after which an action is fenced. They count apart,
// since other targets have room.
constexpr uint32_t kMaxColdRefusals = 8;
// Number of attempts lost with their link that may be retried.
constexpr uint32_t kMaxLostAttempts = 3;
// Time between two polls of the register for a started action.
constexpr state::Millis kPollInterval(100);
// An unanswered attempt is fenced this long before the deadline, so that
// not-run can be returned to the caller in time. At most a quarter of the
// call's time limit.
constexpr state::Millis kFenceMargin(500);

// Final refusals, which leave the entry of the key unchanged.
bool IsPermanentRefusal(RefusalReason reason) {
  return reason == RefusalReason::kKeyReused ||
         reason == RefusalReason::kRegisterFull;
}

// Another request under the same key has changed the entry, so that the attempt
// may not be retried.
bool MeansEntryChanged(RefusalReason reason) {
  return reason == RefusalReason::kStaleAttempt ||
         reason == RefusalReason::kAlreadyStarted;
}

// The guard was granted the start and has released it, which raised the attempt
// number of the key by one.
bool MeansStartReleased(RefusalReason reason) {
  return reason == RefusalReason::kConnectFailed ||
         reason == RefusalReason::kTargetShed;
}

// The guard may have refused before it asked the register, or have released a
// granted start, which raised the attempt number: only the register tells.
bool MayMeanStartReleased(RefusalReason reason) {
  return reason == RefusalReason::kWarmingUp ||
         reason == RefusalReason::kInternalQueueFull ||
         reason == RefusalReason::kMisdirected;
}

}  // namespace

Commands ActionCalls::OnCall(const ClassifiedCall& call, state::Millis now) {
  const auto [entry, inserted] = actions_.emplace(
      call.request_id_, std::make_unique<Action>(call, router_, access_));
  Action* action = entry->second.get();
  const state::Millis margin =
      std::min(kFenceMargin, (call.deadline_ - now) / 4);
  action->fence_at_ = call.deadline_ - margin;
  return Begin(action, now);
}

Commands ActionCalls::CallRegister(Action* action,
                                   RegisterOperation operation,
                                   uint64_t attempt,
                                   state::Millis now) {
  const uint64_t tag = IngressTag(next_tag_++);
  request_by_tag_.emplace(tag, action->call_.request_id_);
  return register_client_->Call(
      state::RegisterCommand{.operation_ = operation,
                             .key_ = action->call_.key_,
                             .attempt_ = attempt,
                             .digest_ = action->call_.digest_,
                             .request_id_ = action->call_.request_id_},
      tag, action->call_.deadline_, now);
}

Commands ActionCalls::Begin(Action* action, state::Millis now) {
  action->poll_at_.reset();
  return CallRegister(action, RegisterOperation::kBegin, 0, now);
}

Commands ActionCalls::Fence(Action* action,
                            uint64_t attempt,
                            state::Millis now) {
  action->phase_ = ActionPhase::kFencing;
  action->poll_at_.reset();
  return CallRegister(action, RegisterOperation::kFence, attempt, now);
}

Commands ActionCalls::OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
  const auto tagged = request_by_tag_.find(end.tag_);
  if (tagged == request_by_tag_.end()) {
    return {};
  }
  const auto entry = actions_.find(tagged->second);
  request_by_tag_.erase(tagged);
  if (entry == actions_.end()) {
    return {};
  }
  Action* action = entry->second.get();
  return end.command_.operation_ == RegisterOperation::kBegin
             ? OnBegun(action, end, now)
             : OnFenced(action, end, now);
}

Commands ActionCalls::OnBegun(Action* action,
                              const RegisterEnd& end,
                              state::Millis now) {
  const bool was_sent = action->attempts_.sent() > 0;
  if (!end.answered_) {
    // This request cannot have run the action without sending an attempt.
    return Finish(
        action,
        was_sent || action->phase_ == ActionPhase::kPolling
            ? UnknownOutcomeAnswer(action->call_, RefusalReason::kNoQuorum)
            : NotRunAnswer(action->call_, RefusalReason::kNoQuorum),
        now);
  }
  const state::RegisterResult& result = end.result_;
  if (IsPermanentRefusal(result.refusal_)) {
    // After an attempt, this refusal means that the key's entry has expired and
    // the outcome that it held is lost.
    return Finish(action,
                  was_sent
                      ? UnknownOutcomeAnswer(action->call_, result.refusal_)
                      : NotRunAnswer(action->call_, result.refusal_),
                  now);
  }
  if (result.state_ != ActionState::kOpen) {
    return OnEntryNotOpen(action, result, now);
  }
  if (action->phase_ == ActionPhase::kPolling) {
    // The request that started the action has released it without running it.
    action->no_more_attempts_ = true;
    return Fence(action, result.attempt_, now);
  }
  action->register_attempt_ = result.attempt_;
  return SendNext(action, now);
}

Commands ActionCalls::SendNext(Action* action, state::Millis now) {
  const ClassifiedCall& call = action->call_;
  AttemptSet& attempts = action->attempts_;
  const RefusalReason denial = attempts.CheckAccess(now);
  const AttemptSet::NextTarget next = denial == RefusalReason::kNone
                                          ? attempts.ChooseNext(now)
                                          : AttemptSet::NextTarget();
  if (!next.target_.has_value()) {
    if (attempts.sent() == 0) {
      return Finish(action,
                    NotRunAnswer(call, denial == RefusalReason::kNone
                                           ? ReasonWithoutTarget(call)
                                           : denial),
                    now);
    }
    if (denial != RefusalReason::kNone) {
      action->last_reason_ = denial;
    }
    action->no_more_attempts_ = true;
    return Fence(action, action->register_attempt_, now);
  }
  action->phase_ = ActionPhase::kRunning;
  return {attempts.Send(
      *next.target_,
      AttemptSet::SendOptions{
          .may_queue_ =
              next.all_tried_ || action->refusals_ >= kRefusalsBeforeQueueing,
          .register_attempt_ = action->register_attempt_},
      now)};
}

RefusalReason ActionCalls::ReasonWithoutTarget(
    const ClassifiedCall& call) const {
  return router_->IsEvacuated(call.service_->name_, call.allowed_regions_)
             ? RefusalReason::kEvacuated
             : RefusalReason::kNoTarget;
}

std::optional<Commands> ActionCalls::OnAnswer(const AttemptAnswer& answer,
                                              state::Millis now) {
  const auto entry = actions_.find(answer.request_id_);
  if (entry == actions_.end()) {
    return std::nullopt;
  }
  Action* action = entry->second.get();
  const AttemptEnd end =
      answer.result_ == AttemptResult::kComplete  ? AttemptEnd::kServed
      : answer.result_ == AttemptResult::kRefused ? AttemptEnd::kRefused
                                                  : AttemptEnd::kFailed;
  if (!action->attempts_.End(answer.attempt_, end, answer.load_, now,
                             ServedBy(action->call_, answer))) {
    counters_->Add(state::Counter::kAnswersLate);
    return Commands();
  }
  if (answer.result_ == AttemptResult::kComplete) {
    return Finish(action, CompleteAnswer(action->call_, answer, now), now);
  }
  if (answer.result_ != AttemptResult::kRefused) {
    return Finish(action, UnknownOutcomeAnswer(action->call_, answer.refusal_),
                  now);
  }
  action->last_reason_ = answer.refusal_;
  if (action->phase_ != ActionPhase::kRunning) {
    return Commands();
  }
  action->no_more_attempts_ =
      action->no_more_attempts_ || MeansEntryChanged(answer.refusal_);
  const bool is_cold = answer.refusal_ == RefusalReason::kWarmingUp;
  ++(is_cold ? action->cold_refusals_ : action->refusals_);
  if (MeansStartReleased(answer.refusal_)) {
    ++action->register_attempt_;
  }
  const bool is_final =
      action->no_more_attempts_ || action->refusals_ >= kMaxRefusals ||
      action->cold_refusals_ >= kMaxColdRefusals ||
      answer.refusal_ == RefusalReason::kPoisoned ||
      answer.refusal_ == RefusalReason::kAuthorizationExpired ||
      now >= action->fence_at_;
  if (is_final) {
    action->no_more_attempts_ = true;
    return Fence(action, action->register_attempt_, now);
  }
  counters_->Add(state::RetryReason::kRefused);
  if (MayMeanStartReleased(answer.refusal_)) {
    action->phase_ = ActionPhase::kBeginning;
    return Begin(action, now);
  }
  // The same register attempt can be sent again: the register grants at most
  // one start of it.
  return SendNext(action, now);
}

Commands ActionCalls::OnFenced(Action* action,
                               const RegisterEnd& end,
                               state::Millis now) {
  const ClassifiedCall& call = action->call_;
  if (!end.answered_) {
    return Finish(action, UnknownOutcomeAnswer(call, RefusalReason::kNoQuorum),
                  now);
  }
  const state::RegisterResult& result = end.result_;
  if (IsPermanentRefusal(result.refusal_)) {
    // The key's entry has expired, and the outcome that it held is lost.
    return Finish(action, UnknownOutcomeAnswer(call, result.refusal_), now);
  }
  if (result.state_ != ActionState::kOpen) {
    return OnEntryNotOpen(action, result, now);
  }
  if (!result.granted_) {
    // Another request has fenced a later attempt; fence that one too.
    action->no_more_attempts_ = true;
    return Fence(action, result.attempt_, now);
  }
  action->register_attempt_ = result.attempt_;
  Commands commands = action->attempts_.CancelAll(now);
  const bool may_retry = !action->no_more_attempts_ &&
                         now < action->fence_at_ &&
                         action->lost_attempts_ <= kMaxLostAttempts;
  Append(&commands,
         may_retry
             ? SendNext(action, now)
             : Finish(action, NotRunAnswer(call, action->last_reason_), now));
  return commands;
}

Commands ActionCalls::OnEntryNotOpen(Action* action,
                                     const state::RegisterResult& result,
                                     state::Millis now) {
  const ClassifiedCall& call = action->call_;
  if (result.state_ == ActionState::kDone) {
    return Finish(action,
                  result.refusal_ == RefusalReason::kAnswerTooLarge
                      ? CompleteWithoutAnswer(call)
                      : StoredAnswer(call, result.answer_),
                  now);
  }
  if (result.state_ == ActionState::kUnknown) {
    return Finish(
        action, UnknownOutcomeAnswer(call, RefusalReason::kTargetCrashed), now);
  }
  action->phase_ = ActionPhase::kPolling;
  action->poll_at_ = now + kPollInterval;
  return {};
}

Commands ActionCalls::Finish(Action* action,
                             AnswerCall answer,
                             state::Millis now) {
  Commands commands = action->attempts_.CancelAll(now);
  commands.push_back(std::move(answer));
  const std::string request_id = action->call_.request_id_;
  actions_.erase(request_id);
  return commands;
}

Commands ActionCalls::OnLinkLost(const std::string& address,
                                 state::Millis now) {
  Commands commands;
  for (const auto& [request_id, action] : actions_) {
    const bool is_affected = action->attempts_.EndAttemptsTo(address, now) > 0;
    if (!is_affected || action->phase_ != ActionPhase::kRunning) {
      continue;
    }
    ++action->lost_attempts_;
    action->last_reason_ = RefusalReason::kLinkLost;
    counters_->Add(state::RetryReason::kSilentLink);
    Append(&commands, Fence(action.get(), action->register_attempt_, now));
  }
  return commands;
}

state::Millis ActionCalls::DueAt(const Action& action) {
  const state::Millis deadline = action.call_.deadline_;
  const state::Millis fence_at =
      action.phase_ == ActionPhase::kRunning ? action.fence_at_ : deadline;
  return std::min({deadline, fence_at, action.poll_at_.value_or(deadline)});
}

std::optional<state::Millis> ActionCalls::NextDue() const {
  std::optional<state::Millis> next;
  for (const auto& [request_id, action] : actions_) {
    const state::Millis due = DueAt(*action);
    next = std::min(next.value_or(due), due);
  }
  return next;
}

Commands ActionCalls::Tick(state::Millis now) {
  Commands commands;
  std::vector<Action*> due;
  for (const auto& [request_id, action] : actions_) {
    if (now >= DueAt(*action)) {
      due.push_back(action.get());
    }
  }
  for (Action* action : due) {
    const bool register_call_ends_it =
        action->phase_ == ActionPhase::kBeginning ||
        action->phase_ == ActionPhase::kFencing;
    if (now >= action->call_.deadline_) {
      if (!register_call_ends_it) {
        Append(&commands, Finish(action,
                                 UnknownOutcomeAnswer(action->call_,
                                                      RefusalReason::kDeadline),
                                 now));
      }
    } else if (action->phase_ == ActionPhase::kRunning) {
      action->last_reason_ = RefusalReason::kDeadline;
      action->no_more_attempts_ = true;
      Append(&commands, Fence(action, action->register_attempt_, now));
    } else if (action->phase_ == ActionPhase::kPolling) {
      Append(&commands, Begin(action, now));
    }
  }
  return commands;
}

}  // namespace gooseberrygap::coordination
