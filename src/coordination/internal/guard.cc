#include <algorithm>

#include "coordination/api/service_time.h"
#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::RegisterOperation;
using state::TargetState;

// Running work is expected to need at least this fraction of its expected
// service time more, also when it has exceeded that time.
constexpr double kMinRemainingFraction = 0.25;

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
  OnAnnouncedWarmup(announced, now);
  Commands commands;
  if (is_new_process) {
    ReportCrash(now);
    service_time_percent_ = 0;
    slot_limit_ = SlotLimit();
    commands = RefuseReplaced();
  }
  // Only when the target itself drains: a draining daemon finishes its queue.
  const bool target_starts_draining = !target_.is_draining() &&
                                      before == TargetState::kServing &&
                                      target_.state() == TargetState::kDraining;
  if (target_starts_draining) {
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

Commands Guard::Impl::RestoreWithdrawal(
    const state::TargetWithdrawal& withdrawal) {
  return target_.RestoreWithdrawal(withdrawal)
             ? RefuseQueued(RefusalReason::kDraining)
             : Commands();
}

Commands Guard::Impl::OnAttempt(const std::string& connection,
                                const Attempt& attempt,
                                state::Millis now) {
  counters_->Add(state::Counter::kAttemptsReceived);
  if (!deduplicator_.Insert(attempt.request_id_, attempt.attempt_)) {
    counters_->Add(state::Counter::kAttemptsDuplicate);
    return {};
  }
  recent_peers_.OnWork(connection, now);
  last_work_ = now;
  const bool is_expired = attempt.authorization_left_.value_or(
                              state::Millis(1)) <= state::Millis(0);
  RefusalReason refusal = is_expired      ? RefusalReason::kAuthorizationExpired
                          : is_evacuated_ ? RefusalReason::kEvacuated
                                          : target_.CheckState(attempt);
  if (refusal == RefusalReason::kNone) {
    refusal = attempt.host_.empty()
                  ? target_.CheckLoad(attempt, running_count(), queued_count(),
                                      ExpectedLatency())
                  : CheckRoutedLoad(attempt, now);
  }
  if (refusal == RefusalReason::kNone) {
    refusal = CheckWarmup(attempt, now);
  }
  if (refusal != RefusalReason::kNone) {
    return {Reply(connection, Refusal(attempt, refusal))};
  }
  const state::Millis deadline = now + attempt.deadline_left_;
  queue_.Push(GuardWork{
      .connection_ = connection,
      .attempt_ = attempt,
      .arrival_ = now,
      .deadline_ = deadline,
      .authorized_until_ =
          attempt.authorization_left_.has_value()
              ? std::optional(now + *attempt.authorization_left_)
              : std::nullopt,
      .objective_ = attempt.host_.empty()
                        ? deadline
                        : now + UsefulTime(attempt.objective_left_,
                                           attempt.deadline_left_),
      .run_alone_ = attempt.run_alone_ || target_.IsSuspect(attempt.digest_)});
  return StartQueued(now);
}

Commands Guard::Impl::OnCancel(const Cancel& cancel, state::Millis now) {
  const auto matches = [&cancel](const GuardWork& work) {
    return work.attempt_.request_id_ == cancel.request_id_ &&
           work.attempt_.attempt_ == cancel.attempt_;
  };
  queue_.TakeIf(matches);
  // Nobody waits for the answer any more, and a cancelled lookup gets none.
  resumed_connections_.erase(AttemptId{.request_id_ = cancel.request_id_,
                                       .attempt_ = cancel.attempt_});
  for (auto& [delivery_id, running] : running_) {
    // An action whose start was granted runs to its end: the register keeps its
    // answer for a resend.
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
  if (target_.HasExpired(now)) {
    ReportCrash(now);
    target_.SetState(TargetState::kLeft);
    commands = RefuseQueued(RefusalReason::kNotServing);
  }
  crash_detector_.Tick(now);
  recent_answers_.Tick(now);
  Append(&commands, SendDelayedReplies(now, false));
  Append(&commands, RefuseExpired(now));
  Append(&commands, RefuseMissedObjectives(now));
  Append(&commands, TickWarmup(now));
  Append(&commands, ProbeTargetLoad(now));
  return commands;
}

state::GuardLoad Guard::Impl::Load() const {
  return state::GuardLoad{
      .in_flight_ = running_count(),
      .queued_ = queued_count(),
      .slots_ = slots(),
      .latency_ = ExpectedLatency(),
      .state_ = target_.state(),
      .service_time_percent_ = service_time_percent_,
      .service_time_ = service_times_.mean(),
      .admissions_per_second_ = warmup_.admissions_per_second()};
}

std::vector<CrashReport> Guard::Impl::TakeCrashReports() {
  std::vector<CrashReport> crashes;
  crashes.swap(crashes_);
  return crashes;
}

size_t Guard::Impl::work_in_progress() const {
  return queue_.size() + running_.size() + delayed_replies_.size();
}

size_t Guard::Impl::reports_in_progress() const {
  return std::count_if(
      register_calls_.begin(), register_calls_.end(),
      [](const auto& entry) { return entry.second == kNoDelivery; });
}

state::Millis Guard::Impl::ExpectedLatency() const {
  return latency_.At(running_count() + queued_count() + 1, target_.slots());
}

Commands Guard::Impl::StartQueued(state::Millis now) {
  Commands commands;
  for (const GuardWork* next = queue_.Next(service_time_percent_, now);
       next != nullptr && MayStart(*next, now);
       next = queue_.Next(service_time_percent_, now)) {
    const GuardWork work = queue_.Take(next);
    const RefusalReason too_late = work.WhyTooLate(now);
    if (too_late != RefusalReason::kNone) {
      commands.push_back(
          Reply(work.connection_, Refusal(work.attempt_, too_late)));
      continue;
    }
    Append(&commands, Start(work, now));
  }
  return commands;
}

bool Guard::Impl::MayStart(const GuardWork& work, state::Millis now) const {
  const bool has_slot = running_count() < slots();
  // Work that must run alone is the only entry while it runs.
  const bool is_exclusive_running =
      !running_.empty() && running_.begin()->second.work_.run_alone_;
  return has_slot && !is_exclusive_running &&
         warmup_.TimeToTurn(requested_starts(now), now) <= state::Millis(0) &&
         (!work.run_alone_ || running_.empty());
}

Commands Guard::Impl::Start(const GuardWork& work, state::Millis now) {
  counters_->histograms().Record(state::Histogram::kQueueTime,
                                 now - work.arrival_);
  const uint64_t delivery_id = next_delivery_++;
  RunningWork running{.work_ = work,
                      .started_ = now,
                      .service_time_percent_ = service_time_percent_,
                      .running_at_start_ = running_count() + 1};
  if (!IsKeyed(work.attempt_)) {
    running.is_delivered_ = true;
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
  warmup_.OnDelivered(delivery_id, now);
  return DeliverToTarget{.delivery_id_ = delivery_id,
                         .address_ = target_.announcement().address_,
                         .request_ = work.attempt_.request_,
                         .request_id_ = work.attempt_.request_id_,
                         .attempt_ = work.attempt_.attempt_,
                         .depth_ = work.attempt_.depth_,
                         .target_ = work.attempt_.target_,
                         .origin_service_ = work.attempt_.origin_service_,
                         .tenant_ = work.attempt_.tenant_,
                         .timeout_ = work.deadline_ - now,
                         .send_before_ = SendBefore(work, now),
                         .fresh_connection_ = work.attempt_.request_class_ ==
                                              state::RequestClass::kAction};
}

state::Millis Guard::Impl::ExpectedRoutedLatency(const Attempt& attempt,
                                                 state::Millis now) const {
  const state::Millis service_time = ExpectedServiceTime(
      service_times_.For(attempt.route_), service_time_percent_);
  if (running_count() < slots() && queue_.empty()) {
    return service_time;
  }
  state::Millis work_ahead = queue_.TotalTime(service_time_percent_);
  for (const auto& [delivery_id, running] : running_) {
    const state::Millis expected =
        ExpectedServiceTime(service_times_.For(running.work_.attempt_.route_),
                            service_time_percent_);
    const state::Millis remaining = expected - (now - running.started_);
    work_ahead =
        work_ahead + std::max(remaining, expected * kMinRemainingFraction);
  }
  return service_time + work_ahead / std::max(1, slots());
}

RefusalReason Guard::Impl::CheckRoutedLoad(const Attempt& attempt,
                                           state::Millis now) const {
  // The ingress chose before it received the report; another target may be
  // faster.
  if (IsSlowServiceTime(service_time_percent_) && !attempt.may_queue_) {
    return RefusalReason::kSlow;
  }
  if (running_count() < slots() && queue_.empty()) {
    return RefusalReason::kNone;
  }
  // The ingress has already compared this queue with those of other targets.
  const state::Millis useful =
      UsefulTime(attempt.objective_left_, attempt.deadline_left_);
  return ExpectedRoutedLatency(attempt, now) <= useful
             ? RefusalReason::kNone
             : RefusalReason::kOverloaded;
}

Guard::Guard(std::string instance,
             uint64_t incarnation,
             RegisterClient* register_client,
             state::Counters* counters,
             state::Millis announcement_lifetime,
             std::string failure_domain,
             const WarmupTolerance& warmup)
    : impl_(std::make_unique<Impl>(std::move(instance),
                                   incarnation,
                                   register_client,
                                   counters,
                                   announcement_lifetime,
                                   std::move(failure_domain),
                                   warmup)) {}

Guard::~Guard() = default;

void Guard::SetIncarnation(uint64_t incarnation) {
  impl_->SetIncarnation(incarnation);
}

void Guard::UpdateConfiguration(
    const state::IndexedConfiguration& configuration) {
  impl_->UpdateConfiguration(configuration);
}

void Guard::UpdateRefusedFingerprints(
    const std::vector<RefusedFingerprint>& fingerprints) {
  impl_->target()->UpdateRefusedFingerprints(fingerprints);
}

Commands Guard::UpdateEvacuations(const state::Evacuations& evacuations,
                                  state::Millis now) {
  impl_->Observe(now);
  return impl_->UpdateEvacuations(evacuations, now);
}

Commands Guard::OnAnnounced(const TargetAnnounced& announced,
                            state::Millis now) {
  impl_->Observe(now);
  return impl_->OnAnnounced(announced, now);
}

Commands Guard::OnWithdrawn(const TargetWithdrawn& withdrawn) {
  return impl_->OnWithdrawn(withdrawn);
}

Commands Guard::RestoreWithdrawal(const state::TargetWithdrawal& withdrawal) {
  return impl_->RestoreWithdrawal(withdrawal);
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
  impl_->Observe(now);
  return impl_->OnAttempt(connection, attempt, now);
}

Commands Guard::OnCancel(const Cancel& cancel, state::Millis now) {
  impl_->Observe(now);
  return impl_->OnCancel(cancel, now);
}

Commands Guard::OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now) {
  impl_->Observe(now);
  return impl_->OnDeliveryEnded(ended, now);
}

Commands Guard::OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
  impl_->Observe(now);
  return impl_->OnRegisterEnd(end, now);
}

Commands Guard::OnCrashesReported(state::Millis now) {
  return impl_->OnCrashesReported(now);
}

Commands Guard::Tick(state::Millis now) {
  impl_->Observe(now);
  return impl_->Tick(now);
}

state::GuardLoad Guard::Load() const {
  return impl_->Load();
}

const TargetAnnounced& Guard::target() const {
  return impl_->target()->announcement();
}

const state::TargetWithdrawal& Guard::withdrawal() const {
  return impl_->target()->withdrawal();
}

std::vector<CrashReport> Guard::TakeCrashReports() {
  return impl_->TakeCrashReports();
}

size_t Guard::work_in_progress() const {
  return impl_->work_in_progress();
}

size_t Guard::reports_in_progress() const {
  return impl_->reports_in_progress();
}

}  // namespace gooseberrygap::coordination
