#include <algorithm>

#include "absl/strings/str_cat.h"
#include "coordination/internal/guard_target.h"
#include "coordination/internal/guard_work.h"
#include "coordination/internal/register_tags.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::RegisterOperation;
using state::TargetState;

// How long the result of an action is reported to the register. Beyond it the
// entry stays `started`, which is never run again.
constexpr state::Millis kReportTime(30 * 1000);
// How long the answer about a crash waits for the control group to take the
// report, so that the caller's resend meets daemons that know of it.
constexpr state::Millis kCrashReportWait(300);

AttemptAnswer Refusal(const Attempt& attempt, RefusalReason reason) {
  return AttemptAnswer{.request_id_ = attempt.request_id_,
                       .attempt_ = attempt.attempt_,
                       .result_ = AttemptResult::kRefused,
                       .refusal_ = reason};
}

}  // namespace

class Guard::Impl {
 public:
  Impl(std::string instance,
       uint64_t incarnation,
       RegisterClient* register_client,
       state::Counters* counters)
      : instance_(std::move(instance)),
        incarnation_(incarnation),
        register_client_(register_client),
        counters_(counters),
        crash_detector_(absl::StrCat(instance_, "-", incarnation, "-")) {}

  void SetIncarnation(uint64_t incarnation) { incarnation_ = incarnation; }

  GuardTarget* target() { return &target_; }
  const GuardTarget& target() const { return target_; }

  Commands OnAnnounced(const TargetAnnounced& announced, state::Millis now) {
    const bool is_new_process = target_.Announce(announced, now);
    if (is_new_process) {
      ReportCrash(now);
    }
    return StartQueued(now);
  }

  Commands OnWithdrawn() {
    target_.SetState(TargetState::kLeft);
    return RefuseQueued(RefusalReason::kDraining);
  }

  Commands OnAttempt(const std::string& connection,
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
    queue_.push_back(
        GuardWork{.connection_ = connection,
                  .attempt_ = attempt,
                  .arrival_ = now,
                  .deadline_ = now + attempt.deadline_left_,
                  .run_alone_ = attempt.run_alone_ ||
                                target_.IsSuspect(attempt.digest_)});
    return StartQueued(now);
  }

  Commands OnCancel(const Cancel& cancel, state::Millis now) {
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

  Commands OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now) {
    if (ended.delivery_id_ == check_id_) {
      return OnChecked(ended.end_, now);
    }
    const auto entry = running_.find(ended.delivery_id_);
    if (entry == running_.end()) {
      return {};
    }
    const Running running = entry->second;
    const int in_flight = static_cast<int>(running_.size());
    running_.erase(entry);
    Commands commands;
    switch (ended.end_) {
      case DeliveryEnd::kAnswered:
        commands = OnAnswered(running, ended.answer_, now);
        break;
      case DeliveryEnd::kConnectFailed:
        commands = OnConnectFailed(running, now);
        break;
      case DeliveryEnd::kNotSent:
        commands =
            OnNotDelivered(running, RefusalReason::kInternalQueueFull, now);
        break;
      case DeliveryEnd::kCut:
        crash_detector_.OnCut(running.work_.attempt_.digest_, in_flight,
                              running.started_, now);
        commands = OnUnanswered(running, RefusalReason::kTargetCrashed, now);
        break;
      case DeliveryEnd::kTimeout:
        commands = OnUnanswered(running, RefusalReason::kTargetTimeout, now);
        break;
      case DeliveryEnd::kCancelled:
        break;
    }
    Append(&commands, StartQueued(now));
    return commands;
  }

  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
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
    // Without an answer the start may have been applied, so that this is no
    // refusal: the ingress resolves it with a fence.
    const RefusalReason reason = !end.answered_ ? RefusalReason::kAlreadyStarted
                                 : end.result_.refusal_ == RefusalReason::kNone
                                     ? RefusalReason::kStaleAttempt
                                     : end.result_.refusal_;
    Commands commands = {
        Reply(work.connection_, Refusal(work.attempt_, reason))};
    Append(&commands, StartQueued(now));
    return commands;
  }

  Commands OnCrashesReported(state::Millis now) { return FlushHeld(now, true); }

  Commands Tick(state::Millis now) {
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

  state::GuardLoad Load() const {
    return state::GuardLoad{.in_flight_ = running_count(),
                            .queued_ = queued_count(),
                            .slots_ = target_.slots(),
                            .latency_ = Expected(),
                            .state_ = target_.state()};
  }

  std::vector<CrashReport> TakeCrashes() {
    std::vector<CrashReport> crashes;
    crashes.swap(crashes_);
    return crashes;
  }

  size_t work_in_progress() const {
    return queue_.size() + running_.size() + held_.size() +
           register_calls_.size();
  }

 private:
  struct Running {
    GuardWork work_;
    state::Millis started_;
    std::string nonce_;
    bool cancelled_ = false;
  };
  struct PendingRelease {
    const GuardWork work_ = {};
    const RefusalReason reason_ = RefusalReason::kNone;
  };
  struct Held {
    const ReplyToPeer reply_;
    const state::Millis until_;
  };

  ReplyToPeer Reply(const std::string& connection,
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

  int running_count() const { return static_cast<int>(running_.size()); }
  int queued_count() const { return static_cast<int>(queue_.size()); }

  // Returns the expected time to answer one more attempt.
  state::Millis Expected() const {
    return latency_.At(running_count() + queued_count() + 1, target_.slots());
  }

  Commands StartQueued(state::Millis now) {
    Commands commands;
    while (!queue_.empty() && MayStart(queue_.front())) {
      const GuardWork work = queue_.front();
      queue_.pop_front();
      if (now >= work.deadline_) {
        commands.push_back(
            Reply(work.connection_,
                  Refusal(work.attempt_, RefusalReason::kDeadline)));
        continue;
      }
      Append(&commands, Start(work, now));
    }
    return commands;
  }

  bool MayStart(const GuardWork& work) const {
    const bool has_slot = running_count() < target_.slots();
    return has_slot && !runs_alone_ && (!work.run_alone_ || running_.empty());
  }

  Commands Start(const GuardWork& work, state::Millis now) {
    counters_->histograms().Record(state::Histogram::kQueueTime,
                                   now - work.arrival_);
    const uint64_t delivery_id = next_delivery_++;
    runs_alone_ = work.run_alone_;
    Running running{.work_ = work, .started_ = now};
    if (work.attempt_.request_class_ == state::RequestClass::kLookup) {
      running_.emplace(delivery_id, running);
      return {Deliver(delivery_id, work, now)};
    }
    running.nonce_ =
        absl::StrCat(instance_, "-", incarnation_, "-", delivery_id);
    running_.emplace(delivery_id, running);
    return CallRegister(delivery_id, running, RegisterOperation::kStart, {},
                        work.deadline_, now);
  }

  DeliverToTarget Deliver(uint64_t delivery_id,
                          const GuardWork& work,
                          state::Millis now) {
    counters_->Add(state::Counter::kDeliveries);
    return DeliverToTarget{.delivery_id_ = delivery_id,
                           .address_ = target_.announced().address_,
                           .request_ = work.attempt_.request_,
                           .request_id_ = work.attempt_.request_id_,
                           .attempt_ = work.attempt_.attempt_,
                           .depth_ = work.attempt_.depth_,
                           .timeout_ = work.deadline_ - now,
                           .fresh_connection_ = work.attempt_.request_class_ ==
                                                state::RequestClass::kAction};
  }

  Commands OnGranted(uint64_t delivery_id,
                     Running* running,
                     state::Millis now) {
    const GuardWork work = running->work_;
    const bool may_deliver =
        now < work.deadline_ && (target_.state() == TargetState::kServing ||
                                 target_.state() == TargetState::kDraining);
    if (may_deliver) {
      running->started_ = now;
      return {Deliver(delivery_id, work, now)};
    }
    const Running ended = *running;
    running_.erase(delivery_id);
    // A target that has left can no longer be reached.
    return Release(ended,
                   now < work.deadline_ ? RefusalReason::kConnectFailed
                                        : RefusalReason::kDeadline,
                   now);
  }

  // Gives a granted start back when no byte has reached the target. The ingress
  // is told once the register has taken it, since its next attempt would
  // otherwise find the action started.
  Commands Release(const Running& running,
                   RefusalReason reason,
                   state::Millis now) {
    releases_.emplace(running.nonce_, PendingRelease{.work_ = running.work_,
                                                     .reason_ = reason});
    return CallRegister(0, running, RegisterOperation::kRelease, {},
                        now + kReportTime, now);
  }

  Commands OnReleased(const RegisterEnd& end) {
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

  Commands CallRegister(uint64_t delivery_id,
                        const Running& running,
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

  Commands OnAnswered(const Running& running,
                      const state::HttpAnswer& answer,
                      state::Millis now) {
    EndAlone(running);
    const GuardWork& work = running.work_;
    const bool is_action =
        work.attempt_.request_class_ == state::RequestClass::kAction;
    latency_.Add(now - running.started_);
    if (IsShed(answer)) {
      return is_action ? Release(running, RefusalReason::kTargetShed, now)
                       : Commands{Reply(work.connection_,
                                        Refusal(work.attempt_,
                                                RefusalReason::kTargetShed))};
    }
    Commands commands = {
        Reply(work.connection_,
              AttemptAnswer{.request_id_ = work.attempt_.request_id_,
                            .attempt_ = work.attempt_.attempt_,
                            .answer_ = answer,
                            .guard_time_ = now - work.arrival_})};
    if (is_action) {
      Append(&commands, CallRegister(0, running, RegisterOperation::kFinish,
                                     answer, now + kReportTime, now));
    }
    return commands;
  }

  // The target states that it did not run the request.
  static bool IsShed(const state::HttpAnswer& answer) {
    return std::any_of(answer.headers_.begin(), answer.headers_.end(),
                       [](const state::HttpHeader& header) {
                         return header.name_ == "Gooseberrygap-Shed";
                       });
  }

  Commands OnConnectFailed(const Running& running, state::Millis now) {
    // A refused connection confirms that the process has gone, and keeps work
    // away until the next announcement.
    ReportCrash(now);
    target_.SetState(TargetState::kStarting);
    return OnNotDelivered(running, RefusalReason::kConnectFailed, now);
  }

  // No byte of the request has reached the target.
  Commands OnNotDelivered(const Running& running,
                          RefusalReason reason,
                          state::Millis now) {
    EndAlone(running);
    const GuardWork& work = running.work_;
    if (work.attempt_.request_class_ == state::RequestClass::kAction) {
      return Release(running, reason, now);
    }
    return {Reply(work.connection_, Refusal(work.attempt_, reason))};
  }

  // The request was delivered and no whole answer came.
  Commands OnUnanswered(const Running& running,
                        RefusalReason reason,
                        state::Millis now) {
    EndAlone(running);
    if (running.cancelled_) {
      return {};
    }
    const GuardWork& work = running.work_;
    const bool is_action =
        work.attempt_.request_class_ == state::RequestClass::kAction;
    ReplyToPeer reply =
        Reply(work.connection_,
              AttemptAnswer{.request_id_ = work.attempt_.request_id_,
                            .attempt_ = work.attempt_.attempt_,
                            .result_ = is_action ? AttemptResult::kUnknown
                                                 : AttemptResult::kCut,
                            .refusal_ = reason,
                            .guard_time_ = now - work.arrival_});
    if (reason != RefusalReason::kTargetCrashed) {
      return {std::move(reply)};
    }
    check_id_ = next_delivery_++;
    Commands commands = {
        DeliverToTarget{.delivery_id_ = check_id_,
                        .address_ = target_.announced().address_,
                        .connect_only_ = true,
                        .timeout_ = kCrashReportWait}};
    if (is_action || work.run_alone_) {
      held_.push_back(
          Held{.reply_ = std::move(reply), .until_ = now + kCrashReportWait});
    } else {
      commands.push_back(std::move(reply));
    }
    return commands;
  }

  // The connection after a cut answer tells whether the process has gone.
  Commands OnChecked(DeliveryEnd end, state::Millis now) {
    if (end == DeliveryEnd::kConnectFailed) {
      ReportCrash(now);
      target_.SetState(TargetState::kStarting);
    }
    return {};
  }

  void EndAlone(const Running& running) {
    if (running.work_.run_alone_) {
      runs_alone_ = false;
    }
  }

  void ReportCrash(state::Millis now) {
    const std::vector<CrashReport> reports = crash_detector_.Confirm(now);
    if (reports.empty()) {
      return;
    }
    counters_->Add(state::Counter::kCrashesSeen);
    for (const CrashReport& report : reports) {
      crashes_.push_back(report);
    }
  }

  Commands FlushHeld(state::Millis now, bool all) {
    Commands commands;
    std::vector<Held> kept;
    for (const Held& held : held_) {
      if (all || now >= held.until_) {
        commands.push_back(held.reply_);
      } else {
        kept.push_back(held);
      }
    }
    held_.swap(kept);
    return commands;
  }

  Commands RefuseQueued(RefusalReason reason) {
    Commands commands;
    for (const GuardWork& work : queue_) {
      commands.push_back(
          Reply(work.connection_, Refusal(work.attempt_, reason)));
    }
    queue_.clear();
    return commands;
  }

  Commands RefuseExpired(state::Millis now) {
    Commands commands;
    std::deque<GuardWork> kept;
    for (const GuardWork& work : queue_) {
      if (now < work.deadline_) {
        kept.push_back(work);
        continue;
      }
      commands.push_back(Reply(
          work.connection_, Refusal(work.attempt_, RefusalReason::kDeadline)));
    }
    queue_.swap(kept);
    return commands;
  }

  const std::string instance_;
  uint64_t incarnation_;
  RegisterClient* const register_client_;
  state::Counters* const counters_;
  GuardTarget target_;
  AttemptMemory memory_;
  LatencyEstimate latency_;
  CrashDetector crash_detector_;
  std::vector<CrashReport> crashes_;
  std::deque<GuardWork> queue_;
  std::map<uint64_t, Running> running_;
  bool runs_alone_ = false;
  std::map<uint64_t, uint64_t> register_calls_;     // Delivery by tag.
  std::map<std::string, PendingRelease> releases_;  // By nonce.
  std::vector<Held> held_;
  uint64_t next_delivery_ = 1;
  uint64_t check_id_ = 0;
  uint64_t next_tag_ = 0;
};

Guard::Guard(std::string instance,
             uint64_t incarnation,
             RegisterClient* register_client,
             state::Counters* counters)
    : impl_(std::make_unique<Impl>(std::move(instance),
                                   incarnation,
                                   register_client,
                                   counters)) {}

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

Commands Guard::OnWithdrawn() {
  return impl_->OnWithdrawn();
}

void Guard::Drain() {
  impl_->target()->Drain();
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
