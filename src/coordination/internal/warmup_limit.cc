#include "coordination/internal/warmup_limit.h"

#include <algorithm>
#include <cmath>

namespace gooseberrygap::coordination {

namespace {

constexpr double kMillisPerSecond = 1000;
// A second, and the resolution of the times that others count by.
constexpr state::Millis kWindow(kMillisPerSecond + 1);
// Deliveries that the target may receive within one second.
constexpr state::Millis kLongWindow = kWindow + kMaxSendDelay;
// Time without an event after which the guard counts as paused. A running
// daemon handles a tick every 50 ms; a busy machine delays it by up to 200 ms.
constexpr state::Millis kMaxPause(500);
// Time between two health requests: at most five a second.
constexpr state::Millis kHealthInterval(200);

// Keeps the waiting times finite for a tolerance of nothing.
constexpr double kMinRate = 1e-3;

// A limit below one request would keep the target from ever getting any.
int AtLeastOne(double limit) {
  return std::max(1, static_cast<int>(std::floor(limit)));
}

}  // namespace

void WarmupLimit::SetPolicy(const state::WarmupPolicy& policy) {
  const bool had_policy = has_policy();
  rate_ = policy.requests_per_second_;
  duration_ = policy.duration_;
  if (!has_policy()) {
    starts_ = false;
    is_uncertain_ = false;
    deliveries_.clear();
  } else if (!had_policy) {
    starts_ = true;
  }
}

void WarmupLimit::Observe(state::Millis now) {
  const bool was_paused =
      observed_at_.has_value() && now - *observed_at_ > kMaxPause;
  observed_at_ = now;
  if (!has_policy()) {
    return;
  }
  if (is_uncertain_ && now >= uncertain_until_) {
    is_uncertain_ = false;
  }
  ForgetOld(now);
  Update(now);
  if (starts_) {
    starts_ = false;
    unknown_until_ = now + kLongWindow;
    tokens_ = 0;
    tokens_at_ = now;
    OnUncertain(WarmupReason::kGuardStarted, now);
  } else if (was_paused) {
    OnUncertain(WarmupReason::kGuardPaused, now);
  }
}

void WarmupLimit::OnAnnounced(const std::string& process,
                              state::Millis remaining,
                              state::Millis now) {
  const bool is_new_process = process_ != process;
  process_ = process;
  if (remaining > state::Millis(0)) {
    OnReported(remaining, now);
  } else if (is_new_process) {
    OnUncertain(WarmupReason::kNewProcess, now);
  }
}

void WarmupLimit::OnReported(state::Millis remaining, state::Millis now) {
  if (remaining <= state::Millis(0)) {
    return;
  }
  cold_until_ = std::max(cold_until_, now + remaining);
  health_is_newer_ = false;
  reason_ = WarmupReason::kReportedCold;
  Update(now);
}

void WarmupLimit::OnUncertain(WarmupReason reason, state::Millis now) {
  if (!has_policy()) {
    return;
  }
  is_uncertain_ = true;
  uncertain_until_ = now + duration_;
  health_is_newer_ = false;
  reason_ = reason;
  Update(now);
}

bool WarmupLimit::IsHealthDue(state::Millis now) const {
  return IsUncertain(now) && (!health_sent_at_.has_value() ||
                              now - *health_sent_at_ >= kHealthInterval);
}

void WarmupLimit::OnHealthSent(state::Millis now) {
  health_sent_at_ = now;
  health_is_newer_ = true;
}

void WarmupLimit::OnHealthAnswered(std::optional<state::Millis> remaining,
                                   state::Millis now) {
  if (health_is_newer_) {
    is_uncertain_ = false;
    // An answer that does not name the time does not contradict an
    // announcement.
    cold_until_ = remaining.has_value() ? now : cold_until_;
  }
  OnReported(remaining.value_or(state::Millis(0)), now);
  Update(now);
}

bool WarmupLimit::IsCold(state::Millis now) const {
  return has_policy() && now < cold_until_;
}

bool WarmupLimit::IsUncertain(state::Millis now) const {
  return has_policy() && is_uncertain_ && now < uncertain_until_;
}

state::Millis WarmupLimit::TimeToTurn(int ahead, state::Millis now) const {
  if (!IsInForce(now)) {
    return state::Millis(0);
  }
  const int count = ahead + 1;
  const double missing = count - TokensAt(now);
  // Rounding must not leave a token short for ever.
  constexpr double kRoundingError = 1e-6;
  const state::Millis to_token(
      missing <= kRoundingError ? 0
                                : missing * kMillisPerSecond / SustainedRate());
  return std::max(
      {state::Millis(0), unknown_until_ - now, to_token,
       TimeToRoom(kWindow, AtLeastOne(MaxDelivered()), count, now),
       TimeToRoom(kLongWindow, AtLeastOne(MaxReceived()), count, now)});
}

state::Millis WarmupLimit::TimeToRoom(state::Millis window,
                                      int limit,
                                      int count,
                                      state::Millis now) const {
  const auto first = std::find_if(deliveries_.begin(), deliveries_.end(),
                                  [window, now](const Delivery& delivery) {
                                    return delivery.at_ + window > now;
                                  });
  const int64_t recent = deliveries_.end() - first;
  const int64_t too_many = recent + count - limit;
  if (too_many <= 0) {
    return state::Millis(0);
  }
  // Those that have not been handed over yet leave the window at the rate.
  const int64_t leaving = std::min(recent, too_many);
  const state::Millis later(static_cast<double>(too_many - leaving) *
                            kMillisPerSecond / SustainedRate());
  const state::Millis to_leave =
      leaving == 0 ? state::Millis(0)
                   : (first + (leaving - 1))->at_ + window - now;
  return to_leave + later;
}

void WarmupLimit::OnDelivered(uint64_t delivery_id, state::Millis now) {
  if (!has_policy()) {
    return;
  }
  deliveries_.push_back(Delivery{.id_ = delivery_id, .at_ = now});
  tokens_ = std::max(0.0, TokensAt(now) - 1);
  tokens_at_ = now;
}

void WarmupLimit::OnNotReceived(uint64_t delivery_id) {
  const auto entry = std::find_if(deliveries_.rbegin(), deliveries_.rend(),
                                  [delivery_id](const Delivery& delivery) {
                                    return delivery.id_ == delivery_id;
                                  });
  if (entry == deliveries_.rend()) {
    return;
  }
  deliveries_.erase(std::next(entry).base());
  tokens_ = std::min(Burst(), tokens_ + 1);
}

double WarmupLimit::admissions_per_second() const {
  return observed_at_.has_value() && IsInForce(*observed_at_) ? SustainedRate()
                                                              : 0;
}

std::optional<WarmupChange> WarmupLimit::TakeChange(state::Millis now) {
  const bool is_in_force = IsInForce(now);
  if (is_in_force == reported_in_force_) {
    return std::nullopt;
  }
  reported_in_force_ = is_in_force;
  return WarmupChange{.in_force_ = is_in_force, .reason_ = reason_};
}

double WarmupLimit::MaxReceived() const {
  return rate_ * tolerance_.overshoot_ + tolerance_.slack_;
}

double WarmupLimit::MaxDelivered() const {
  const double max_received = MaxReceived();
  return std::min(max_received, rate_ + (max_received - rate_) / 2);
}

double WarmupLimit::SustainedRate() const {
  return std::max(kMinRate, std::min(rate_, MaxReceived()));
}

double WarmupLimit::Burst() const {
  return std::max(1.0, MaxDelivered() - rate_);
}

double WarmupLimit::TokensAt(state::Millis now) const {
  const double elapsed = (now - tokens_at_).value() / kMillisPerSecond;
  return std::min(Burst(), tokens_ + elapsed * SustainedRate());
}

void WarmupLimit::Update(state::Millis now) {
  const bool is_in_force = IsInForce(now);
  if (is_in_force && !was_in_force_) {
    in_force_since_ = now;
  }
  was_in_force_ = is_in_force;
}

void WarmupLimit::ForgetOld(state::Millis now) {
  while (!deliveries_.empty() && deliveries_.front().at_ + kLongWindow <= now) {
    deliveries_.pop_front();
  }
}

}  // namespace gooseberrygap::coordination
