#include <algorithm>

#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;

}  // namespace

ReplyToPeer Guard::Impl::Reply(const std::string& connection,
                               const AttemptAnswer& answer) {
  if (answer.result_ == AttemptResult::kRefused) {
    counters_->Add(answer.refusal_);
  }
  const AttemptId id{.request_id_ = answer.request_id_,
                     .attempt_ = answer.attempt_};
  const AttemptAnswer reply{.request_id_ = answer.request_id_,
                            .attempt_ = answer.attempt_,
                            .result_ = answer.result_,
                            .refusal_ = answer.refusal_,
                            .answer_ = answer.answer_,
                            .load_ = Load(),
                            .target_ = target_.announcement().target_,
                            .guard_time_ = answer.guard_time_,
                            .run_time_ = answer.run_time_};
  recent_answers_.Add(id, reply);
  const auto resumed = resumed_connections_.extract(id);
  return ReplyToPeer{
      .connection_ = resumed.empty() ? connection : resumed.mapped(),
      .message_ = reply};
}

Commands Guard::Impl::OnResume(const std::string& connection,
                               const ResumeAttempt& resume) {
  counters_->Add(state::Counter::kAttemptsResumed);
  const AttemptId id{.request_id_ = resume.request_id_,
                     .attempt_ = resume.attempt_};
  if (const AttemptAnswer* answer = recent_answers_.Find(id)) {
    return {ReplyToPeer{.connection_ = connection, .message_ = *answer}};
  }
  if (IsInProgress(id)) {
    resumed_connections_[id] = connection;
    return {};
  }
  // The deduplicator knows all attempts of this process. An earlier process may
  // have delivered the attempt.
  const bool is_same_process = resume.incarnation_ == incarnation_;
  const bool is_never_received =
      is_same_process &&
      deduplicator_.Insert(resume.request_id_, resume.attempt_);
  return {Reply(
      connection,
      AttemptAnswer{.request_id_ = resume.request_id_,
                    .attempt_ = resume.attempt_,
                    .result_ = is_never_received ? AttemptResult::kRefused
                                                 : AttemptResult::kUnknown,
                    .refusal_ = RefusalReason::kLinkLost})};
}

bool Guard::Impl::IsInProgress(const AttemptId& id) const {
  const auto matches = [&id](const GuardWork& work) {
    return AttemptId::Of(work.attempt_) == id;
  };
  return queue_.Contains(matches) ||
         std::any_of(running_.begin(), running_.end(),
                     [&matches](const auto& entry) {
                       return matches(entry.second.work_);
                     }) ||
         std::any_of(releases_.begin(), releases_.end(),
                     [&matches](const auto& entry) {
                       return matches(entry.second.work_);
                     });
}

Commands Guard::OnResume(const std::string& connection,
                         const ResumeAttempt& resume) {
  return impl_->OnResume(connection, resume);
}

}  // namespace gooseberrygap::coordination
