#include "coordination/internal/call.h"

namespace gooseberrygap::coordination {

namespace {

// Retry time proposed to a caller whose call was not run. Long enough for a
// queue to become shorter by one request.
constexpr state::Millis kRetryAfter(50);

}  // namespace

AttemptSet::NextTarget AttemptSet::ChooseNext(state::Millis now) const {
  const std::string& service = call_.service_->name_;
  const state::Millis deadline_left = call_.deadline_ - now;
  const state::Millis objective_left = call_.objective_ - now;
  const std::optional<state::TargetRecord> untried =
      router_->Choose(ChoiceQuery{.service_ = service,
                                  .deadline_left_ = deadline_left,
                                  .objective_left_ = objective_left,
                                  .route_ = call_.route_,
                                  .is_action_ = call_.is_unkeyed_,
                                  .tried_ = tried_,
                                  .allowed_regions_ = call_.allowed_regions_},
                      now);
  // A second copy beside an open attempt may only go to an untried target.
  if (untried.has_value() || tried_.empty() || !open_.empty()) {
    return NextTarget{.target_ = untried};
  }
  return NextTarget{.target_ = router_->Choose(
                        ChoiceQuery{.service_ = service,
                                    .deadline_left_ = deadline_left,
                                    .objective_left_ = objective_left,
                                    .route_ = call_.route_,
                                    .is_action_ = call_.is_unkeyed_,
                                    .allowed_regions_ = call_.allowed_regions_},
                        now),
                    .all_tried_ = true};
}

SendToPeer AttemptSet::Send(const state::TargetRecord& target,
                            const SendOptions& options,
                            state::Millis now) {
  const uint32_t number = ++sent_;
  open_.push_back(
      OpenAttempt{.number_ = number, .target_ = target, .sent_at_ = now});
  tried_.push_back(target.target_);
  router_->OnSent(target.target_, now);
  const std::optional<state::Millis> authorized_until =
      access_->AuthorizedUntil(call_.tenant_, now);
  return SendToPeer{
      .address_ = target.guard_address_,
      .message_ =
          Attempt{.request_id_ = call_.request_id_,
                  .attempt_ = number,
                  .service_ = call_.service_->name_,
                  .target_ = target.target_,
                  .request_ = call_.request_,
                  .deadline_left_ = call_.deadline_ - now,
                  .depth_ = call_.depth_,
                  .request_class_ = call_.request_class_,
                  .configuration_index_ = call_.configuration_index_,
                  .may_queue_ = options.may_queue_,
                  .is_hedged_ = options.is_hedged_,
                  .run_alone_ = options.run_alone_,
                  .objective_left_ = call_.objective_ - now,
                  .priority_ = call_.priority_,
                  .origin_service_ = call_.origin_service_,
                  .host_ = call_.host_,
                  .route_ = call_.route_,
                  .tenant_ = call_.tenant_.has_value() ? (*call_.tenant_)->name_
                                                       : std::string(),
                  .tenant_priority_ = call_.tenant_.has_value()
                                          ? (*call_.tenant_)->priority_
                                          : 0,
                  .authorization_left_ =
                      authorized_until.has_value()
                          ? std::optional(*authorized_until - now)
                          : std::nullopt,
                  .unkeyed_ = call_.is_unkeyed_,
                  .key_ = call_.key_,
                  .digest_ = call_.digest_,
                  .register_attempt_ = options.register_attempt_},
      .send_before_ = authorized_until};
}

bool AttemptSet::End(uint32_t number,
                     AttemptEnd end,
                     const std::optional<state::GuardLoad>& load,
                     state::Millis now,
                     const std::optional<ServedAttempt>& served) {
  std::vector<OpenAttempt> still_open;
  bool found = false;
  for (const OpenAttempt& attempt : open_) {
    if (attempt.number_ != number) {
      still_open.push_back(attempt);
      continue;
    }
    found = true;
    router_->OnEnd(AttemptOutcome{.service_ = call_.service_->name_,
                                  .target_ = attempt.target_.target_,
                                  .end_ = end,
                                  .latency_ = now - attempt.sent_at_,
                                  .load_ = load,
                                  .served_ = served},
                   now);
  }
  open_.swap(still_open);
  return found;
}

Commands AttemptSet::CancelAll(state::Millis now) {
  Commands commands;
  while (!open_.empty()) {
    const OpenAttempt attempt = open_.back();
    commands.push_back(
        SendToPeer{.address_ = attempt.target_.guard_address_,
                   .message_ = Cancel{.request_id_ = call_.request_id_,
                                      .attempt_ = attempt.number_}});
    End(attempt.number_, AttemptEnd::kCancelled, std::nullopt, now);
  }
  return commands;
}

Commands AttemptSet::ResumeAttemptsTo(const std::string& address) const {
  Commands commands;
  for (const OpenAttempt& attempt : open_) {
    if (attempt.target_.guard_address_ == address) {
      commands.push_back(SendToPeer{
          .address_ = address,
          .message_ = ResumeAttempt{
              .request_id_ = call_.request_id_,
              .attempt_ = attempt.number_,
              .incarnation_ = attempt.target_.version_.incarnation_}});
    }
  }
  return commands;
}

size_t AttemptSet::EndAttemptsTo(const std::string& address,
                                 state::Millis now) {
  std::vector<uint32_t> numbers;
  for (const OpenAttempt& attempt : open_) {
    if (attempt.target_.guard_address_ == address) {
      numbers.push_back(attempt.number_);
    }
  }
  for (const uint32_t number : numbers) {
    End(number, AttemptEnd::kLost, std::nullopt, now);
  }
  return numbers.size();
}

AnswerCall NotRunAnswer(const ClassifiedCall& call,
                        state::RefusalReason reason) {
  return AnswerCall{.call_id_ = call.call_id_,
                    .answer_ = CallAnswer{.outcome_ = Outcome::kNotRun,
                                          .reason_ = reason,
                                          .request_id_ = call.request_id_,
                                          .caller_id_ = call.caller_id_,
                                          .retry_after_ = kRetryAfter}};
}

AnswerCall UnknownOutcomeAnswer(const ClassifiedCall& call,
                                state::RefusalReason reason) {
  return AnswerCall{.call_id_ = call.call_id_,
                    .answer_ = CallAnswer{.outcome_ = Outcome::kUnknown,
                                          .reason_ = reason,
                                          .request_id_ = call.request_id_,
                                          .caller_id_ = call.caller_id_}};
}

AnswerCall CompleteWithoutAnswer(const ClassifiedCall& call) {
  return AnswerCall{
      .call_id_ = call.call_id_,
      .answer_ = CallAnswer{.outcome_ = Outcome::kComplete,
                            .reason_ = state::RefusalReason::kAnswerTooLarge,
                            .request_id_ = call.request_id_,
                            .caller_id_ = call.caller_id_}};
}

ServedAttempt ServedBy(const ClassifiedCall& call,
                       const AttemptAnswer& answer) {
  return ServedAttempt{
      .route_ = call.route_,
      .bytes_ = call.request_.body_.size() + answer.answer_.body_.size(),
      .guard_time_ = answer.guard_time_,
      .run_time_ = answer.run_time_};
}

AnswerCall CompleteAnswer(const ClassifiedCall& call,
                          const AttemptAnswer& answer,
                          state::Millis now) {
  return AnswerCall{.call_id_ = call.call_id_,
                    .answer_ = CallAnswer{.outcome_ = Outcome::kComplete,
                                          .request_id_ = call.request_id_,
                                          .caller_id_ = call.caller_id_,
                                          .target_ = answer.target_,
                                          .answer_ = answer.answer_,
                                          .latency_ = now - call.received_at_,
                                          .guard_time_ = answer.guard_time_}};
}

AnswerCall StoredAnswer(const ClassifiedCall& call,
                        const state::HttpAnswer& answer) {
  return AnswerCall{.call_id_ = call.call_id_,
                    .answer_ = CallAnswer{.outcome_ = Outcome::kComplete,
                                          .request_id_ = call.request_id_,
                                          .caller_id_ = call.caller_id_,
                                          .answer_ = answer}};
}

}  // namespace gooseberrygap::coordination
