#ifndef STATE_API_ACTION_H_
#define STATE_API_ACTION_H_

#include <cstdint>
#include <string>

#include "state/api/http.h"
#include "state/api/reasons.h"

namespace gooseberrygap::state {

enum class RegisterOperation {
  kBegin,
  kStart,
  kFence,
  kRelease,
  kFinish,
  kAbandon,
};

enum class ActionState { kAbsent, kOpen, kStarted, kDone, kUnknown };

// One operation on the register entry of an action key.
struct RegisterCommand {
  const RegisterOperation operation_ = RegisterOperation::kBegin;
  const std::string key_ = {};     // Service, '/' and idempotency key.
  const uint64_t attempt_ = 0;     // n of begin, start, fence, release, finish.
  const std::string digest_ = {};  // Of method, path and body.
  const std::string guard_ = {};   // Instance name of the guard.
  const uint64_t incarnation_ = 0;  // Of the guard.
  const std::string nonce_ = {};    // Names one start; repeats carry it again.
  const std::string request_id_ = {};
  const HttpAnswer answer_ = {};  // Of finish.

  friend bool operator==(const RegisterCommand&,
                         const RegisterCommand&) = default;
};

// What the register says after an operation.
struct RegisterResult {
  const bool granted_ = false;
  // Why it was not granted; kNone when granted.
  const RefusalReason refusal_ = RefusalReason::kNone;
  const ActionState state_ = ActionState::kAbsent;
  const uint64_t attempt_ = 0;    // The n of `open` or `started`.
  const HttpAnswer answer_ = {};  // The stored answer of `done`.

  friend bool operator==(const RegisterResult&,
                         const RegisterResult&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_ACTION_H_
