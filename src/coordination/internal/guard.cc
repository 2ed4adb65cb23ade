#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::RegisterOperation;
using state::TargetState;

}  // namespace

AttemptAnswer Refusal(const Attempt& attempt, RefusalReason reason) {
  return AttemptAnswer{.request_id_ = attempt.request_id_,
                       .attempt_ = attempt.attempt_,
                       .result_ = AttemptResult::kRefused,
                       .refusal_ = reason};
}

Commands Guard::Impl::OnAnnounced(const TargetAnnounced& announced,
                                  state::Millis now) {
  const TargetState before = target_.state();
  const bool is_new_process = target_.Announce(announced, now);
  Commands commands;
  if (is_new_process) {
    ReportCrash(now);
    pace_ = 0;
    commands = RefuseReplaced();
  }
  // Only the target's own departure: a daemon that drains finishes its queue.
  const bool starts_to_leave = !target_.is_draining() &&
                               before == TargetState::kServing &&
                               target_.state() == TargetState::kDraining;
  if (starts_to_leave) {
    Append(&commands, RefuseQueued(RefusalReason::kDraining));
  }
  Append(&commands, StartQueued(now));
  return commands;
}

Commands Guard::Impl::OnWithdrawn(const TargetWithdrawn& withdrawn) {
  target_.Withdraw(withdrawn);
  return target_.state() == TargetState::kLeft
             ? RefuseQueued(RefusalReason::kDraining)
             : Commands();
}

Commands Guard::Impl::OnAttempt(const std::string& connection,
                                const Attempt& attempt,
                                state::Millis now) {
  counters_->Add(state::Counter::kAttemptsReceived);
  if (!memory_.Insert(attempt.request_id_, attempt.attempt_)) {
    counters_->Add(state::Counter::kAttemptsDuplicate);
    return {};
  }
  const RefusalReason refusal =
      target_.Check(attempt, running_count(), queued_count(), Expected());
  if (refusal != RefusalReason::kNone) {
    return {Reply(connection, Refusal(attempt, refusal))};
  }
  queue_.push_back(GuardWork{
      .connection_ = connection,
      .attempt_ = attempt,
      .arrival_ = now,
      .deadline_ = now + attempt.deadline_left_,
      .run_alone_ = attempt.run_alone_ || target_.IsSuspect(attempt.digest_)});
  return StartQueued(now);
}

Commands Guard::Impl::OnCancel(const Cancel& cancel, state::Millis now) {
  const auto matches = [&cancel](const GuardWork& work) {
    return work.attempt_.request_id_ == cancel.request_id_ &&
           work.attempt_.attempt_ == cancel.attempt_;
  };
  std::deque<GuardWork> kept;
  for (const GuardWork& work : queue_) {
    if (!matches(work)) {
      kept.push_back(work);
    }
  }
  queue_.swap(kept);
  for (auto& [delivery_id, running] : running_) {
    // An action that was granted runs to its end: its answer is kept in the
    // register for a resend.
    const bool is_lookup =
        running.work_.attempt_.request_class_ == state::RequestClass::kLookup;
    if (is_lookup && matches(running.work_) && !running.cancelled_) {
      running.cancelled_ = true;
      counters_->Add(state::Counter::kDeliveriesCancelled);
      return {CancelDelivery{.delivery_id_ = delivery_id}};
    }
  }
  return StartQueued(now);
}

Commands Guard::Impl::Tick(state::Millis now) {
  Commands commands;
  if (target_.IsGone(now)) {
    ReportCrash(now);
    target_.SetState(TargetState::kLeft);
    commands = RefuseQueued(RefusalReason::kNotServing);
  }
  crash_detector_.Tick(now);
  Append(&commands, FlushHeld(now, false));
  Append(&commands, RefuseExpired(now));
  return commands;
}

state::GuardLoad Guard::Impl::Load() const {
  return state::GuardLoad{.in_flight_ = running_count(),
                          .queued_ = queued_count(),
                          .slots_ = target_.slots(),
                          .latency_ = Expected(),
                          .state_ = target_.state(),
                          .pace_ = pace_};
}

std::vector<CrashReport> Guard::Impl::TakeCrashes() {
  std::vector<CrashReport> crashes;
  crashes.swap(crashes_);
  return crashes;
}

size_t Guard::Impl::work_in_progress() const {
  return queue_.size() + running_.size() + held_.size() +
         register_calls_.size();
}

ReplyToPeer Guard::Impl::Reply(const std::string& connection,
                               const AttemptAnswer& answer) {
  if (answer.result_ == AttemptResult::kRefused) {
    counters_->Add(answer.refusal_);
  }
  return ReplyToPeer{
      .connection_ = connection,
      .message_ = AttemptAnswer{.request_id_ = answer.request_id_,
                                .attempt_ = answer.attempt_,
                                .result_ = answer.result_,
                                .refusal_ = answer.refusal_,
                                .answer_ = answer.answer_,
                                .load_ = Load(),
                                .target_ = target_.announced().target_,
                                .guard_time_ = answer.guard_time_}};
}

state::Millis Guard::Impl::Expected() const {
  return latency_.At(running_count() + queued_count() + 1, target_.slots());
}

Commands Guard::Impl::StartQueued(state::Millis now) {
  Commands commands;
  while (!queue_.empty() && MayStart(queue_.front())) {
    const GuardWork work = queue_.front();
    queue_.pop_front();
    if (now >= work.deadline_) {
      commands.push_back(Reply(
          work.connection_, Refusal(work.attempt_, RefusalReason::kDeadline)));
      continue;
    }
    Append(&commands, Start(work, now));
  }
  return commands;
}

bool Guard::Impl::MayStart(const GuardWork& work) const {
  const bool has_slot = running_count() < target_.slots();
  // Work that runs alone is the only one that runs.
  const bool is_taken_alone =
      !running_.empty() && running_.begin()->second.work_.run_alone_;
  return has_slot && !is_taken_alone && (!work.run_alone_ || running_.empty());
}

Commands Guard::Impl::Start(const GuardWork& work, state::Millis now) {
  counters_->histograms().Record(state::Histogram::kQueueTime,
                                 now - work.arrival_);
  const uint64_t delivery_id = next_delivery_++;
  Running running{.work_ = work, .started_ = now};
  if (!IsKeyed(work.attempt_)) {
    running_.emplace(delivery_id, running);
    return {Deliver(delivery_id, work, now)};
  }
  running.nonce_ = absl::StrCat(instance_, "-", incarnation_, "-", delivery_id);
  running_.emplace(delivery_id, running);
  return CallRegister(delivery_id, running, RegisterOperation::kStart, {},
                      work.deadline_, now);
}

DeliverToTarget Guard::Impl::Deliver(uint64_t delivery_id,
                                     const GuardWork& work,
                                     state::Millis now) {
  counters_->Add(state::Counter::kDeliveries);
  return DeliverToTarget{.delivery_id_ = delivery_id,
                         .address_ = target_.announced().address_,
                         .request_ = work.attempt_.request_,
                         .request_id_ = work.attempt_.request_id_,
                         .attempt_ = work.attempt_.attempt_,
                         .depth_ = work.attempt_.depth_,
                         .target_ = work.attempt_.target_,
                         .origin_service_ = work.attempt_.origin_service_,
                         .timeout_ = work.deadline_ - now,
                         .fresh_connection_ = work.attempt_.request_class_ ==
                                              state::RequestClass::kAction};
}

Commands Guard::Impl::RefuseQueued(RefusalReason reason) {
  Commands commands;
  for (const GuardWork& work : queue_) {
    commands.push_back(Reply(work.connection_, Refusal(work.attempt_, reason)));
  }
  queue_.clear();
  return commands;
}

Commands Guard::Impl::RefuseReplaced() {
  Commands commands;
  std::deque<GuardWork> kept;
  for (const GuardWork& work : queue_) {
    if (work.attempt_.target_ == target_.announced().target_) {
      kept.push_back(work);
      continue;
    }
    commands.push_back(
        Reply(work.connection_,
              Refusal(work.attempt_, RefusalReason::kTargetReplaced)));
  }
  queue_.swap(kept);
  return commands;
}

Commands Guard::Impl::RefuseExpired(state::Millis now) {
  Commands commands;
  std::deque<GuardWork> kept;
  for (const GuardWork& work : queue_) {
    if (now < work.deadline_) {
      kept.push_back(work);
      continue;
    }
    commands.push_back(Reply(work.connection_,
                             Refusal(work.attempt_, RefusalReason::kDeadline)));
  }
  queue_.swap(kept);
  return commands;
}

Guard::Guard(std::string instance,
             uint64_t incarnation,
             RegisterClient* register_client,
             state::Counters* counters,
             state::Millis announcement_lifetime)
    : impl_(std::make_unique<Impl>(std::move(instance),
                                   incarnation,
                                   register_client,
                                   counters,
                                   announcement_lifetime)) {}

Guard::~Guard() = default;

void Guard::SetIncarnation(uint64_t incarnation) {
  impl_->SetIncarnation(incarnation);
}

void Guard::UpdateConfiguration(
    const state::IndexedConfiguration& configuration) {
  impl_->target()->UpdateConfiguration(configuration);
}

void Guard::UpdateRefusedFingerprints(
    const std::vector<RefusedFingerprint>& fingerprints) {
  impl_->target()->UpdateRefusedFingerprints(fingerprints);
}

Commands Guard::OnAnnounced(const TargetAnnounced& announced,
                            state::Millis now) {
  return impl_->OnAnnounced(announced, now);
}

Commands Guard::OnWithdrawn(const TargetWithdrawn& withdrawn) {
  return impl_->OnWithdrawn(withdrawn);
}

void Guard::Drain() {
  impl_->target()->Drain();
}

bool Guard::is_draining() const {
  return impl_->target()->is_draining();
}

Commands Guard::OnAttempt(const std::string& connection,
                          const Attempt& attempt,
                          state::Millis now) {
  return impl_->OnAttempt(connection, attempt, now);
}

Commands Guard::OnCancel(const Cancel& cancel, state::Millis now) {
  return impl_->OnCancel(cancel, now);
}

Commands Guard::OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now) {
  return impl_->OnDeliveryEnded(ended, now);
}

Commands Guard::OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
  return impl_->OnRegisterEnd(end, now);
}

Commands Guard::OnCrashesReported(state::Millis now) {
  return impl_->OnCrashesReported(now);
}

Commands Guard::Tick(state::Millis now) {
  return impl_->Tick(now);
}

state::GuardLoad Guard::Load() const {
  return impl_->Load();
}

const TargetAnnounced& Guard::target() const {
  return impl_->target()->announced();
}

std::vector<CrashReport> Guard::TakeCrashes() {
  return impl_->TakeCrashes();
}

size_t Guard::work_in_progress() const {
  return impl_->work_in_progress();
}

}  // namespace gooseberrygap::coordination
