#include "coordination/internal/authorization_lease.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Fraction of the limit by which the lease ends early. The clocks of the daemon
// and of the control instance may run at different rates; those of machines
// without time synchronization differ by less than 0.1%.
constexpr double kClockRateMargin = 0.01;
// Below this fraction of the limit the daemon renews more often. Higher than
// the share of a usual renewal interval, so that one lost reply does not end
// the lease.
constexpr double kLowFraction = 0.5;

}  // namespace

void AuthorizationLease::OnRenewalSent(uint64_t renewal, state::Millis now) {
  if (!policy_.is_strict_ || renewal == 0) {
    return;
  }
  std::erase_if(sent_at_, [&](const auto& sent) {
    return now - sent.second >= policy_.limit_;
  });
  sent_at_.emplace(renewal, now);
}

void AuthorizationLease::OnReply(const LeaseReply& reply,
                                 uint64_t configuration_index,
                                 state::Millis now) {
  const auto sent = sent_at_.find(reply.renewal_);
  const bool confirms = reply.granted_ && reply.confirmed_index_ > 0 &&
                        reply.confirmed_age_ >= state::Millis(0) &&
                        configuration_index >= reply.confirmed_index_;
  if (sent == sent_at_.end() || !confirms) {
    return;
  }
  // The reply was made after the renewal had been sent, so that the
  // confirmation began no earlier than this, however long either message took.
  const state::Millis confirmed_at =
      std::min(sent->second, now) - reply.confirmed_age_;
  const state::Millis until =
      confirmed_at + policy_.limit_ * (1 - kClockRateMargin);
  sent_at_.erase(sent);
  configuration_index_ = configuration_index;
  if (!valid_until_.has_value() || until > *valid_until_) {
    valid_until_ = until;
    confirmed_at_ = confirmed_at;
    confirmed_index_ = reply.confirmed_index_;
  }
}

std::optional<state::Millis> AuthorizationLease::Left(state::Millis now) const {
  if (!policy_.is_strict_) {
    return std::nullopt;
  }
  return valid_until_.has_value()
             ? std::max(state::Millis(0), *valid_until_ - now)
             : state::Millis(0);
}

std::optional<state::Millis> AuthorizationLease::ConfirmationAge(
    state::Millis now) const {
  return confirmed_at_.has_value() ? std::optional(now - *confirmed_at_)
                                   : std::nullopt;
}

bool AuthorizationLease::IsRunningLow(state::Millis now) const {
  const std::optional<state::Millis> left = Left(now);
  return left.has_value() && *left < policy_.limit_ * kLowFraction;
}

std::optional<state::LogEvent> AuthorizationLease::TakeChange(
    state::Millis now) {
  const bool is_valid = IsValid(now);
  if (!policy_.is_strict_ || is_valid == was_valid_) {
    return std::nullopt;
  }
  was_valid_ = is_valid;
  return state::LogEvent{
      .level_ = is_valid ? state::LogLevel::kInfo : state::LogLevel::kWarning,
      .event_ = is_valid ? "authorization_lease_regained"
                         : "authorization_lease_lost",
      .fields_ = {
          {"limit_ms", policy_.limit_.value()},
          {"left_ms", Left(now)->value()},
          {"confirmation_age_ms",
           ConfirmationAge(now).value_or(state::Millis(0)).value()},
          {"confirmed_index", static_cast<int64_t>(confirmed_index_)},
          {"configuration", static_cast<int64_t>(configuration_index_)},
          {"unanswered_renewals", static_cast<int64_t>(sent_at_.size())}}};
}

}  // namespace gooseberrygap::coordination
