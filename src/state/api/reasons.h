#ifndef STATE_API_REASONS_H_
#define STATE_API_REASONS_H_

#include "absl/strings/string_view.h"

namespace gooseberrygap::state {

// Why a request, an attempt or an operation was refused before it ran.
enum class RefusalReason {
  kNone,
  kBadRequest,
  kNoService,
  kNoRule,
  kNoTarget,
  kNotServing,          // The target is still starting.
  kDraining,            // The target or its daemon drains before it leaves.
  kOverloaded,          // The queue cannot meet the deadline.
  kDeadline,            // The deadline passed before delivery.
  kTooDeep,             // The call chain exceeds the allowed depth.
  kStaleConfiguration,  // Classified under an older rule of the route.
  kKeyMissing,
  kKeyReused,  // Same idempotency key, different request.
  kStaleAttempt,
  kAlreadyStarted,
  kRegisterFull,
  kNoQuorum,
  kControlTooOld,  // The state from the control group is too stale.
  kPoisoned,       // The request has crashed its targets.
  kSuspect,        // Suspected of crashing targets; another suspect runs.
  kConnectFailed,  // The connection to the target failed.
  kTargetShed,     // The target refused without running the request.
  kInternalQueueFull,
  kAnswerTooLarge,
  kLinkLost,
  kCancelled,
  kTargetCrashed,
  kTargetTimeout,
  kNoConfiguration,  // The daemon has received no configuration yet.
  kNoRoute,          // No route of the host matches the path.
  kMisdirected,      // The address belongs to another target.
  kTargetReplaced,   // The target has restarted since the attempt was queued.
  kSlow,  // The target's machine is currently slow; another may be faster.
  kUnknownKey,            // No tenant has the API key of the call.
  kAuthorizationExpired,  // Too long without a confirmation of the API keys.
  kQuotaExceeded,         // The tenant has used up its quota.
  kQuotaUnavailable,      // No answer came on whether the quota has room.
  kNoAllowedRegion,       // No target in a region that may run the call.
  kEvacuated,             // The target's failure domain is evacuated.
  kWarmingUp,             // The target is cold and has its requests already.
  kCallerShare,     // The caller's tenant has more than its share waiting.
  kMemoryPressure,  // The process holds too many bytes for its callers.
  kCount,
};

// Why an attempt was retried or a second copy was sent.
enum class RetryReason {
  kRefused,
  kConnectionLost,
  kSilentLink,
  kHedge,
  kQueuedElsewhere,
  kStaleConfiguration,
  kRegisterUnanswered,
  kRegisterMoved,
  kSlowTarget,       // The target became slow after the attempt was sent.
  kBudgetExhausted,  // The retry budget did not allow a retry.
  kCount,
};

// What the check of a call's credentials decided.
enum class AccessOutcome {
  kOpen,          // The configuration has no tenants.
  kAnonymous,     // Without a key, on a route that allows it.
  kTenant,        // With the key of a tenant.
  kKeyMissing,    // Without a key, on a route that needs one.
  kKeyUnknown,    // With a key of no tenant.
  kUncertain,     // As the last two, but a change may have been missed.
  kLeaseExpired,  // The keys have not been confirmed for too long.
  kCount,
};

// Return the snake_case name used in headers and metrics. Thread-safe.
absl::string_view NameOf(RefusalReason reason);
absl::string_view NameOf(RetryReason reason);
absl::string_view NameOf(AccessOutcome outcome);

}  // namespace gooseberrygap::state

#endif  // STATE_API_REASONS_H_
