#include "coordination/internal/guard_impl.h"
#include "coordination/internal/register_tags.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::RegisterOperation;
using state::TargetState;

}  // namespace

Commands Guard::Impl::OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
  const auto entry = register_calls_.find(end.tag_);
  if (entry == register_calls_.end()) {
    return {};
  }
  const uint64_t delivery_id = entry->second;
  register_calls_.erase(entry);
  if (end.command_.operation_ == RegisterOperation::kRelease) {
    return OnReleased(end);
  }
  if (end.command_.operation_ != RegisterOperation::kStart) {
    return {};
  }
  const auto running = running_.find(delivery_id);
  if (running == running_.end()) {
    return {};
  }
  if (end.answered_ && end.result_.granted_) {
    return OnGranted(delivery_id, &running->second, now);
  }
  const GuardWork work = running->second.work_;
  running_.erase(running);
  // Without an answer the register may have applied the start, so the attempt
  // does not count as refused: the ingress resolves it with a fence.
  const RefusalReason reason = !end.answered_ ? RefusalReason::kAlreadyStarted
                               : end.result_.refusal_ == RefusalReason::kNone
                                   ? RefusalReason::kStaleAttempt
                                   : end.result_.refusal_;
  Commands commands = {Reply(work.connection_, Refusal(work.attempt_, reason))};
  Append(&commands, StartQueued(now));
  return commands;
}

Commands Guard::Impl::OnGranted(uint64_t delivery_id,
                                RunningWork* running,
                                state::Millis now) {
  const GuardWork work = running->work_;
  const RefusalReason too_late = work.WhyTooLate(now);
  const RefusalReason limited = CheckGranted(*running, now);
  const bool may_deliver = too_late == RefusalReason::kNone &&
                           limited == RefusalReason::kNone && !is_evacuated_ &&
                           (target_.state() == TargetState::kServing ||
                            target_.state() == TargetState::kDraining);
  if (may_deliver) {
    running->started_ = now;
    running->is_delivered_ = true;
    return {Deliver(delivery_id, work, now)};
  }
  const RunningWork ended = *running;
  running_.erase(delivery_id);
  // A target that has left or is evacuated can no longer be reached. The reason
  // tells the ingress that the start was granted and released, so that it sends
  // its next attempt under the next attempt number; kEvacuated would not.
  return Release(ended,
                 too_late != RefusalReason::kNone ? too_late
                 : limited != RefusalReason::kNone
                     ? limited
                     : RefusalReason::kConnectFailed,
                 now);
}

Commands Guard::Impl::Release(const RunningWork& running,
                              RefusalReason reason,
                              state::Millis now) {
  releases_.emplace(running.nonce_,
                    PendingRelease{.work_ = running.work_, .reason_ = reason});
  return CallRegister(kNoDelivery, running, RegisterOperation::kRelease, {},
                      now + kRegisterReportTimeout, now);
}

Commands Guard::Impl::OnReleased(const RegisterEnd& end) {
  const auto entry = releases_.find(end.command_.nonce_);
  if (entry == releases_.end()) {
    return {};
  }
  const PendingRelease release = entry->second;
  releases_.erase(entry);
  const RefusalReason reason =
      end.answered_ ? release.reason_ : RefusalReason::kAlreadyStarted;
  return {Reply(release.work_.connection_,
                Refusal(release.work_.attempt_, reason))};
}

Commands Guard::Impl::CallRegister(uint64_t delivery_id,
                                   const RunningWork& running,
                                   RegisterOperation operation,
                                   const state::HttpAnswer& answer,
                                   state::Millis deadline,
                                   state::Millis now) {
  const Attempt& attempt = running.work_.attempt_;
  const uint64_t tag = GuardTag(next_tag_++);
  register_calls_.emplace(tag, delivery_id);
  return register_client_->Call(
      state::RegisterCommand{.operation_ = operation,
                             .key_ = attempt.key_,
                             .attempt_ = attempt.register_attempt_,
                             .digest_ = attempt.digest_,
                             .guard_ = instance_,
                             .incarnation_ = incarnation_,
                             .nonce_ = running.nonce_,
                             .request_id_ = attempt.request_id_,
                             .answer_ = answer},
      tag, deadline, now);
}

}  // namespace gooseberrygap::coordination
