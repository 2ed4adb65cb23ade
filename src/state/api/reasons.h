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
  kNotServing,          // The target is starting.
  kDraining,            // The target or its daemon is leaving.
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
  kControlTooOld,  // No control instance was heard from for too long.
  kPoisoned,       // The request has crashed its targets.
  kSuspect,        // The request is suspected and another suspect runs.
  kConnectFailed,  // The target could not be connected to.
  kTargetShed,     // The target itself refused before running the request.
  kInternalQueueFull,
  kAnswerTooLarge,
  kLinkLost,
  kCancelled,
  kTargetCrashed,
  kTargetTimeout,
  kNoConfiguration,  // The daemon knows no configuration yet.
  kNoRoute,          // No route of the host matches the path.
  kMisdirected,      // Another target has the address.
  kTargetReplaced,   // The target has restarted since the attempt was queued.
  kSlow,  // The target's machine is slow at the moment; another may be faster.
  kCount,
};

// Why an attempt was repeated or a second copy was sent.
enum class RetryReason {
  kRefused,
  kConnectionLost,
  kSilentLink,
  kHedge,
  kQueuedElsewhere,
  kStaleConfiguration,
  kRegisterUnanswered,
  kRegisterMoved,
  kSlowTarget,       // The target has turned slow since it began.
  kBudgetExhausted,  // A retry was wanted and the budget did not allow it.
  kCount,
};

// Return the snake_case name used in headers and metrics. Thread-safe.
absl::string_view NameOf(RefusalReason reason);
absl::string_view NameOf(RetryReason reason);

}  // namespace gooseberrygap::state

#endif  // STATE_API_REASONS_H_
