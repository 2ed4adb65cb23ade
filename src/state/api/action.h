#ifndef STATE_API_ACTION_H_
#define STATE_API_ACTION_H_

#include <cstdint>
#include <string>

#include "state/api/http.h"
#include "state/api/reasons.h"

namespace gooseberrygap::state {

enum class RegisterOperation {
  kBegin,    // Registers the key, or returns the state of a registered one.
  kStart,    // The guard claims the attempt before it runs the request.
  kFence,    // Rejects later starts of the attempt and opens the next one.
  kRelease,  // Gives up an attempt and opens the next one.
  kFinish,   // Stores the answer.
  kAbandon,  // Marks the keys that older incarnations of a guard had started.
};

enum class ActionState {
  kAbsent,
  kOpen,     // An attempt may be started.
  kStarted,  // A guard was granted the start.
  kDone,     // The answer is stored.
  kUnknown,  // The guard restarted after the start; the outcome is unknown.
};

// One operation on the register entry of an action key.
struct RegisterCommand {
  const RegisterOperation operation_ = RegisterOperation::kBegin;
  const std::string key_ = {};  // Service name, '/', idempotency key.
  // Attempt number; not used by kBegin and kAbandon.
  const uint64_t attempt_ = 0;
  const std::string digest_ = {};   // Digest of method, path and body.
  const std::string guard_ = {};    // Instance name of the guard.
  const uint64_t incarnation_ = 0;  // Incarnation of the guard.
  const std::string nonce_ = {};    // Identifies one start; resends repeat it.
  const std::string request_id_ = {};
  const HttpAnswer answer_ = {};  // Set for kFinish.

  friend bool operator==(const RegisterCommand&,
                         const RegisterCommand&) = default;
};

// The register's reply to an operation.
struct RegisterResult {
  const bool granted_ = false;
  // Reason why the operation was not granted; kNone when granted.
  const RefusalReason refusal_ = RefusalReason::kNone;
  const ActionState state_ = ActionState::kAbsent;
  const uint64_t attempt_ = 0;    // Attempt number of the entry.
  const HttpAnswer answer_ = {};  // Stored answer of an entry in kDone.

  friend bool operator==(const RegisterResult&,
                         const RegisterResult&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_ACTION_H_
