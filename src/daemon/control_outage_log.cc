#include "daemon/control_outage_log.h"

#include <algorithm>

namespace gooseberrygap::daemon {

namespace {

// A member that has not heard from its leader for this time misses it.
constexpr state::Millis kMaxStaleness(500);
// An election with one split vote takes less.
constexpr state::Millis kElectionTime(1500);
constexpr state::Millis kRepeatInterval(5000);

bool IsUnavailable(const ControlRoleState& role) {
  return !role.error_.empty() || role.staleness_ > kMaxStaleness;
}

std::vector<state::LogField> FieldsOf(const ControlRoleState& role,
                                      state::Millis since,
                                      state::Millis now) {
  return {{"role", role.role_},
          {"term", static_cast<int64_t>(role.term_)},
          {"leader", role.leader_},
          {"commit_index", static_cast<int64_t>(role.commit_index_)},
          {"unavailable_ms", static_cast<int64_t>((now - since).value())},
          {"error", role.error_}};
}

}  // namespace

std::optional<state::LogEvent> ControlOutageLog::Update(
    const ControlRoleState& role,
    state::Millis now) {
  if (!IsUnavailable(role)) {
    const bool was_logged = logged_at_.has_value();
    const state::Millis since = unavailable_since_.value_or(now);
    unavailable_since_.reset();
    logged_at_.reset();
    if (!was_logged) {
      return std::nullopt;
    }
    return state::LogEvent{.event_ = "control_role_available",
                           .fields_ = FieldsOf(role, since, now)};
  }
  if (!unavailable_since_.has_value()) {
    unavailable_since_ = now;
  }
  const bool may_end_soon =
      role.error_.empty() && now - *unavailable_since_ < kElectionTime;
  const bool is_repeated =
      logged_at_.has_value() && now - *logged_at_ < kRepeatInterval;
  if (may_end_soon || is_repeated) {
    return std::nullopt;
  }
  logged_at_ = now;
  return state::LogEvent{.level_ = state::LogLevel::kWarning,
                         .event_ = "control_role_unavailable",
                         .fields_ = FieldsOf(role, *unavailable_since_, now)};
}

}  // namespace gooseberrygap::daemon
