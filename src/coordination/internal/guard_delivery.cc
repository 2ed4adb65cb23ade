#include "coordination/api/service_time.h"
#include "coordination/internal/guard_impl.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::RegisterOperation;
using state::TargetState;

// Errors are often answered much sooner than requests that are served.
bool IsSuccess(int status) {
  constexpr int kFirstError = 400;
  return status < kFirstError;
}

// A request that had less time than this and whose deadline passed before a
// byte was sent says nothing about its target.
constexpr state::Millis kConnectTime(100);

}  // namespace

Commands Guard::Impl::OnDeliveryEnded(const DeliveryEnded& ended,
                                      state::Millis now) {
  if (ended.delivery_id_ != load_probe_delivery_) {
    OnDeliveryEndedWarmup(ended, now);
  }
  if (ended.delivery_id_ == crash_check_delivery_) {
    return OnCrashCheckEnded(ended.end_, now);
  }
  if (ended.delivery_id_ == load_probe_delivery_) {
    load_probe_delivery_ = 0;
    OnLoadProbeEndedWarmup(ended, now);
    service_time_checked_at_ = now;
    return ended.service_time_percent_ > 0
               ? OnServiceTimePercent(ended.service_time_percent_, nullptr, now)
               : Commands();
  }
  const auto entry = running_.find(ended.delivery_id_);
  if (entry == running_.end()) {
    return {};
  }
  const RunningWork running = entry->second;
  const int in_flight = static_cast<int>(running_.size());
  running_.erase(entry);
  Commands commands;
  switch (ended.end_) {
    case DeliveryEnd::kAnswered:
      commands = ended.declined_ ? OnDeclined(running, ended.answer_, now)
                                 : OnAnswered(running, ended.answer_, now);
      break;
    case DeliveryEnd::kConnectFailed:
      commands = OnConnectFailed(running, now);
      break;
    case DeliveryEnd::kNotSent:
      commands =
          OnNotDelivered(running, RefusalReason::kInternalQueueFull, now);
      break;
    case DeliveryEnd::kTooLateToSend:
      commands = OnNotDelivered(running, WhyNotSent(running.work_, now), now);
      break;
    case DeliveryEnd::kIncompleteAnswer:
      crash_detector_.OnIncompleteAnswer(running.work_.attempt_.digest_,
                                         in_flight, running.started_, now);
      commands = OnUnanswered(running, RefusalReason::kTargetCrashed, now);
      break;
    case DeliveryEnd::kTimeout:
      commands = OnUnanswered(running, RefusalReason::kTargetTimeout, now);
      break;
    case DeliveryEnd::kCancelled:
      break;
  }
  if (ended.service_time_percent_ > 0) {
    Append(&commands, OnServiceTimePercent(ended.service_time_percent_,
                                           &running.work_, now));
  }
  Append(&commands, StartQueued(now));
  return commands;
}

Commands Guard::Impl::OnAnswered(const RunningWork& running,
                                 const state::HttpAnswer& answer,
                                 state::Millis now) {
  const GuardWork& work = running.work_;
  latency_.Add(now - running.started_);
  const bool is_success = IsSuccess(answer.status_);
  const state::Millis run_time = now - running.started_;
  if (is_success) {
    RecordServiceTime(running, run_time);
  }
  Commands commands = {Reply(
      work.connection_,
      AttemptAnswer{.request_id_ = work.attempt_.request_id_,
                    .attempt_ = work.attempt_.attempt_,
                    .answer_ = answer,
                    .guard_time_ = now - work.arrival_,
                    .run_time_ = is_success ? run_time : state::Millis()})};
  if (IsKeyed(work.attempt_)) {
    Append(&commands,
           CallRegister(kNoDelivery, running, RegisterOperation::kFinish,
                        answer, now + kRegisterReportTimeout, now));
  }
  return commands;
}

void Guard::Impl::RecordServiceTime(const RunningWork& running,
                                    state::Millis time) {
  const std::string& route = running.work_.attempt_.route_;
  const int percent = running.service_time_percent_;
  if (!IsUsualServiceTime(percent) ||
      !IsUsualServiceTime(service_time_percent_)) {
    const bool is_steady = percent > 0 && percent == service_time_percent_;
    if (is_steady && !IsSlowServiceTime(percent)) {
      service_times_.AddAtSpeed(route, time, percent);
    }
    return;
  }
  const state::Millis usual = service_times_.For(route);
  if (usual > state::Millis(0)) {
    slot_limit_.Add(running.running_at_start_, target_.slots(),
                    time.value() / usual.value());
  }
  service_times_.Add(route, time);
}

Commands Guard::Impl::OnDeclined(const RunningWork& running,
                                 const state::HttpAnswer& answer,
                                 state::Millis now) {
  constexpr int kMisdirectedRequest = 421;
  const bool is_misdirected = answer.status_ == kMisdirectedRequest;
  if (is_misdirected) {
    // Another target now has the address and has not announced itself yet.
    target_.SetState(TargetState::kStarting);
  }
  return OnNotDelivered(
      running,
      is_misdirected ? RefusalReason::kMisdirected : RefusalReason::kTargetShed,
      now);
}

bool Guard::Impl::IsKeyed(const Attempt& attempt) {
  return attempt.request_class_ == state::RequestClass::kAction &&
         !attempt.unkeyed_;
}

Commands Guard::Impl::OnConnectFailed(const RunningWork& running,
                                      state::Millis now) {
  const bool was_too_short =
      now >= running.work_.deadline_ && now - running.started_ < kConnectTime;
  if (was_too_short) {
    return OnNotDelivered(running, RefusalReason::kDeadline, now);
  }
  warmup_.OnUncertain(WarmupReason::kDeliveryFailed, now);
  // A refused connection confirms that the process has exited. No work is
  // admitted until the next announcement.
  ReportCrash(now);
  target_.SetState(TargetState::kStarting);
  Commands commands =
      OnNotDelivered(running, RefusalReason::kConnectFailed, now);
  Append(&commands, RefuseQueued(RefusalReason::kNotServing));
  return commands;
}

Commands Guard::Impl::OnNotDelivered(const RunningWork& running,
                                     RefusalReason reason,
                                     state::Millis now) {
  const GuardWork& work = running.work_;
  if (IsKeyed(work.attempt_)) {
    return Release(running, reason, now);
  }
  return {Reply(work.connection_, Refusal(work.attempt_, reason))};
}

Commands Guard::Impl::OnUnanswered(const RunningWork& running,
                                   RefusalReason reason,
                                   state::Millis now) {
  warmup_.OnUncertain(WarmupReason::kDeliveryFailed, now);
  if (running.cancelled_) {
    return {};
  }
  const GuardWork& work = running.work_;
  const bool is_action =
      work.attempt_.request_class_ == state::RequestClass::kAction;
  ReplyToPeer reply = Reply(
      work.connection_,
      AttemptAnswer{.request_id_ = work.attempt_.request_id_,
                    .attempt_ = work.attempt_.attempt_,
                    .result_ = is_action ? AttemptResult::kUnknown
                                         : AttemptResult::kIncompleteAnswer,
                    .refusal_ = reason,
                    .guard_time_ = now - work.arrival_});
  if (reason != RefusalReason::kTargetCrashed) {
    return {std::move(reply)};
  }
  crash_check_delivery_ = next_delivery_++;
  Commands commands = {
      DeliverToTarget{.delivery_id_ = crash_check_delivery_,
                      .address_ = target_.announcement().address_,
                      .connect_only_ = true,
                      .timeout_ = kCrashReportWait}};
  if (is_action || work.run_alone_) {
    delayed_replies_.push_back(DelayedReply{.reply_ = std::move(reply),
                                            .until_ = now + kCrashReportWait});
  } else {
    commands.push_back(std::move(reply));
  }
  return commands;
}

Commands Guard::Impl::OnCrashCheckEnded(DeliveryEnd end, state::Millis now) {
  if (end == DeliveryEnd::kConnectFailed) {
    warmup_.OnUncertain(WarmupReason::kDeliveryFailed, now);
    ReportCrash(now);
    target_.SetState(TargetState::kStarting);
  }
  return {};
}

void Guard::Impl::ReportCrash(state::Millis now) {
  const std::vector<CrashReport> reports = crash_detector_.Confirm(now);
  if (reports.empty()) {
    return;
  }
  counters_->Add(state::Counter::kTargetCrashes);
  for (const CrashReport& report : reports) {
    crashes_.push_back(report);
  }
}

Commands Guard::Impl::SendDelayedReplies(state::Millis now, bool all) {
  Commands commands;
  std::vector<DelayedReply> remaining;
  for (const DelayedReply& delayed : delayed_replies_) {
    if (all || now >= delayed.until_) {
      commands.push_back(delayed.reply_);
    } else {
      remaining.push_back(delayed);
    }
  }
  delayed_replies_.swap(remaining);
  return commands;
}

}  // namespace gooseberrygap::coordination
