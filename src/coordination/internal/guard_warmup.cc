#include <algorithm>

#include "absl/strings/str_cat.h"
#include "coordination/api/service_time.h"
#include "coordination/internal/decision_log.h"
#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;

constexpr int kOk = 200;
constexpr int kMisdirectedRequest = 421;
// How long a start that the register has not answered keeps its place in the
// limit. Without a quorum it gets no answer, and would keep the place for its
// whole deadline; one that is granted later asks for room again.
constexpr state::Millis kStartReservation(1000);

// Returns whether the request does not count as received by the target.
bool IsNotReceived(const DeliveryEnded& ended) {
  switch (ended.end_) {
    case DeliveryEnd::kConnectFailed:
    case DeliveryEnd::kNotSent:
    case DeliveryEnd::kTooLateToSend:
      return true;
    case DeliveryEnd::kAnswered:
      return ended.declined_ && ended.answer_.status_ == kMisdirectedRequest;
    case DeliveryEnd::kIncompleteAnswer:
    case DeliveryEnd::kTimeout:
    case DeliveryEnd::kCancelled:
      return false;
  }
  return false;
}

}  // namespace

void Guard::Impl::UpdateConfiguration(
    const state::IndexedConfiguration& configuration) {
  target_.UpdateConfiguration(configuration);
  warmup_.SetPolicy(target_.warmup());
}

void Guard::Impl::OnAnnouncedWarmup(const TargetAnnounced& announced,
                                    state::Millis now) {
  const TargetAnnounced& last = target_.announcement();
  const bool is_accepted = last.target_ == announced.target_ &&
                           last.service_ == announced.service_ &&
                           last.incarnation_ == announced.incarnation_ &&
                           last.sequence_ == announced.sequence_;
  if (!is_accepted) {
    return;
  }
  warmup_.SetPolicy(target_.warmup());
  warmup_.Observe(now);
  warmup_.OnAnnounced(
      absl::StrCat(announced.target_, "/", announced.incarnation_),
      announced.warmup_remaining_, now);
}

void Guard::Impl::OnDeliveryEndedWarmup(const DeliveryEnded& ended,
                                        state::Millis now) {
  if (IsNotReceived(ended)) {
    warmup_.OnNotReceived(ended.delivery_id_);
  }
  warmup_.OnReported(ended.warmup_remaining_.value_or(state::Millis(0)), now);
}

void Guard::Impl::OnLoadProbeEndedWarmup(const DeliveryEnded& ended,
                                         state::Millis now) {
  if (ended.end_ == DeliveryEnd::kAnswered && !ended.declined_ &&
      ended.answer_.status_ == kOk) {
    warmup_.OnHealthAnswered(ended.warmup_remaining_, now);
  } else if (ended.end_ == DeliveryEnd::kConnectFailed ||
             ended.end_ == DeliveryEnd::kIncompleteAnswer) {
    warmup_.OnUncertain(WarmupReason::kDeliveryFailed, now);
  }
}

Commands Guard::Impl::OnConnectionsClosed(const TargetConnectionsClosed& closed,
                                          state::Millis now) {
  // Without a health request, nothing would end the limit of a warm target that
  // closes idle connections in order.
  const bool can_ask = warmup_.has_policy() && !target_.HealthPath().empty();
  if (!can_ask || closed.address_ != target_.announcement().address_) {
    return {};
  }
  warmup_.OnUncertain(WarmupReason::kConnectionsClosed, now);
  return ProbeTargetLoad(now);
}

RefusalReason Guard::Impl::CheckWarmup(const Attempt& attempt,
                                       state::Millis now) const {
  // Without the service's policy, nothing is known of the limit.
  if (requires_configuration_ && !target_.knows_own_service()) {
    return RefusalReason::kNoConfiguration;
  }
  if (!warmup_.IsInForce(now)) {
    return RefusalReason::kNone;
  }
  const state::Millis to_turn =
      warmup_.TimeToTurn(queued_count() + requested_starts(now), now);
  if (to_turn <= state::Millis(0)) {
    return RefusalReason::kNone;
  }
  const state::Millis useful =
      attempt.host_.empty()
          ? attempt.deadline_left_
          : UsefulTime(attempt.objective_left_, attempt.deadline_left_);
  const state::Millis run_time = ExpectedServiceTime(
      service_times_.For(attempt.route_), service_time_percent_);
  return attempt.may_queue_ && to_turn + run_time <= useful
             ? RefusalReason::kNone
             : RefusalReason::kWarmingUp;
}

RefusalReason Guard::Impl::CheckGranted(const RunningWork& running,
                                        state::Millis now) const {
  if (!warmup_.IsInForce(now)) {
    return RefusalReason::kNone;
  }
  // A start that was requested under the limit has a place in it.
  const bool was_requested_before = running.started_ < warmup_.in_force_since();
  return was_requested_before || warmup_.TimeToTurn(0, now) > state::Millis(0)
             ? RefusalReason::kWarmingUp
             : RefusalReason::kNone;
}

int Guard::Impl::requested_starts(state::Millis now) const {
  return static_cast<int>(
      std::count_if(running_.begin(), running_.end(), [now](const auto& entry) {
        return !entry.second.is_delivered_ &&
               now - entry.second.started_ < kStartReservation;
      }));
}

std::optional<state::Millis> Guard::Impl::SendBefore(const GuardWork& work,
                                                     state::Millis now) const {
  if (!warmup_.has_policy()) {
    return work.authorized_until_;
  }
  const state::Millis latest = now + kMaxSendDelay;
  return std::min(work.authorized_until_.value_or(latest), latest);
}

RefusalReason Guard::Impl::WhyNotSent(const GuardWork& work,
                                      state::Millis now) const {
  const bool is_authorized =
      !work.authorized_until_.has_value() || now < *work.authorized_until_;
  if (!warmup_.has_policy() || !is_authorized) {
    return RefusalReason::kAuthorizationExpired;
  }
  return warmup_.IsInForce(now) ? RefusalReason::kWarmingUp
                                : RefusalReason::kInternalQueueFull;
}

Commands Guard::Impl::TickWarmup(state::Millis now) {
  state::Gauges& gauges = counters_->gauges();
  const auto value_of = [this](bool is_so) {
    return warmup_.has_policy() ? std::optional<double>(is_so ? 1 : 0)
                                : std::nullopt;
  };
  gauges.Set(state::Gauge::kTargetCold, value_of(warmup_.IsCold(now)));
  gauges.Set(state::Gauge::kTargetUncertain,
             value_of(warmup_.IsUncertain(now)));
  Commands commands;
  const std::optional<WarmupChange> change = warmup_.TakeChange(now);
  if (change.has_value()) {
    commands.push_back(WriteLog{
        .event_ = WarmupLimitLine(*change, target_.announcement().target_,
                                  warmup_.admissions_per_second())});
    Append(&commands, NotifyLoad(nullptr, now));
  }
  if (change.has_value() && change->in_force_) {
    Append(&commands, RefuseAll(queue_.TakeIf([](const GuardWork& work) {
      return !work.attempt_.may_queue_;
    }),
                                RefusalReason::kWarmingUp));
  }
  if (warmup_.has_policy()) {
    Append(&commands, StartQueued(now));
  }
  return commands;
}

Commands Guard::OnConnectionsClosed(const TargetConnectionsClosed& closed,
                                    state::Millis now) {
  impl_->Observe(now);
  return impl_->OnConnectionsClosed(closed, now);
}

}  // namespace gooseberrygap::coordination
