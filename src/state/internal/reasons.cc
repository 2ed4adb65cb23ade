#include <array>

#include "state/state.h"

namespace gooseberrygap::state {

namespace {

constexpr std::array<absl::string_view,
                     static_cast<size_t>(RefusalReason::kCount)>
    kRefusalNames = {
        "none",
        "bad_request",
        "no_service",
        "no_rule",
        "no_target",
        "not_serving",
        "draining",
        "overloaded",
        "deadline",
        "too_deep",
        "stale_configuration",
        "key_missing",
        "key_reused",
        "stale_attempt",
        "already_started",
        "register_full",
        "no_quorum",
        "control_too_old",
        "poisoned",
        "suspect",
        "connect_failed",
        "target_shed",
        "internal_queue_full",
        "answer_too_large",
        "link_lost",
        "cancelled",
        "target_crashed",
        "target_timeout",
        "no_configuration",
        "no_route",
        "misdirected",
        "target_replaced",
        "slow",
        "unknown_key",
        "authorization_expired",
        "quota_exceeded",
        "quota_unavailable",
        "no_allowed_region",
        "evacuated",
        "warming_up",
        "caller_share",
        "memory_pressure",
};

constexpr std::array<absl::string_view,
                     static_cast<size_t>(RetryReason::kCount)>
    kRetryNames = {
        "refused",
        "connection_lost",
        "silent_link",
        "hedge",
        "queued_elsewhere",
        "stale_configuration",
        "register_unanswered",
        "register_moved",
        "slow_target",
        "budget_exhausted",
};

constexpr std::array<absl::string_view,
                     static_cast<size_t>(AccessOutcome::kCount)>
    kAccessNames = {
        "open",        "anonymous", "tenant",        "key_missing",
        "key_unknown", "uncertain", "lease_expired",
};

}  // namespace

absl::string_view NameOf(RefusalReason reason) {
  return kRefusalNames.at(static_cast<size_t>(reason));
}

absl::string_view NameOf(RetryReason reason) {
  return kRetryNames.at(static_cast<size_t>(reason));
}

absl::string_view NameOf(AccessOutcome outcome) {
  return kAccessNames.at(static_cast<size_t>(outcome));
}

}  // namespace gooseberrygap::state
