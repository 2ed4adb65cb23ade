#ifndef COORDINATION_API_CALL_MESSAGES_H_
#define COORDINATION_API_CALL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "state/state.h"

namespace gooseberrygap::coordination {

// One attempt of a call, from the ingress to the guard of the chosen target.
struct Attempt {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const std::string service_ = {};
  const std::string target_ = {};
  const state::HttpRequest request_ = {};
  const state::Millis deadline_left_ = {};
  const uint32_t depth_ = 0;
  const state::RequestClass request_class_ = state::RequestClass::kLookup;
  const uint64_t configuration_index_ = 0;
  // The guard may queue the attempt until its deadline instead of refusing it.
  const bool may_queue_ = true;
  // Another copy of the same lookup may be running elsewhere.
  const bool is_hedged_ = false;
  const bool cross_region_ = false;
  // The request was in flight when a target crashed, so the guard runs this
  // attempt alone: another crash can then be attributed to the request.
  const bool run_alone_ = false;
  // Time left in which an answer is as good as an immediate one.
  const state::Millis objective_left_ = {};
  const int priority_ = 0;  // 0 is the highest.
  // Service of the target beside the daemon that received the call.
  const std::string origin_service_ = {};
  // Set for calls that a route has classified.
  const std::string host_ = {};
  const std::string route_ = {};
  // The tenant whose API key the call had; empty without one. Never the key.
  const std::string tenant_ = {};
  const int tenant_priority_ = 0;  // Compared before `priority_`.
  // Time left for which the key is known to be valid; the request must not be
  // started later. Absent for calls without a key, and where keys need no
  // confirmation.
  const std::optional<state::Millis> authorization_left_ = {};
  // Set for actions only. An action without a key is not in the register, and
  // the ingress sends it to another target only after a refusal.
  const bool unkeyed_ = false;
  const std::string key_ = {};
  const std::string digest_ = {};
  const uint32_t register_group_ = 0;
  const uint64_t register_attempt_ = 0;

  friend bool operator==(const Attempt&, const Attempt&) = default;
};

enum class AttemptResult {
  kComplete,
  kRefused,           // Not delivered, for the stated reason.
  kIncompleteAnswer,  // Delivered; the answer is missing or incomplete.
  kUnknown,           // A delivered action whose outcome is unknown.
};

struct AttemptAnswer {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const AttemptResult result_ = AttemptResult::kComplete;
  const state::RefusalReason refusal_ = state::RefusalReason::kNone;
  const state::HttpAnswer answer_ = {};
  const state::GuardLoad load_ = {};
  const std::string target_ = {};
  // Time from receiving the attempt to this answer, measured at the guard.
  const state::Millis guard_time_ = {};
  // The part of it for which the target ran the request; 0 if it did not
  // answer, or with an error.
  const state::Millis run_time_ = {};

  friend bool operator==(const AttemptAnswer&, const AttemptAnswer&) = default;
};

// Asks a guard to answer an attempt on the connection of this message: the one
// on which the attempt was sent has been replaced. Never starts work.
struct ResumeAttempt {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  // Incarnation of the guard's daemon when the attempt was sent.
  const uint64_t incarnation_ = 0;

  friend bool operator==(const ResumeAttempt&, const ResumeAttempt&) = default;
};

struct Cancel {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

struct Probe {
  const uint64_t probe_id_ = 0;

  friend bool operator==(const Probe&, const Probe&) = default;
};

struct ProbeReply {
  const uint64_t probe_id_ = 0;
  const std::string target_ = {};
  const state::GuardLoad load_ = {};

  friend bool operator==(const ProbeReply&, const ProbeReply&) = default;
};

// A guard's report that the service time of its target's machine has changed,
// sent to the daemons on whose connections it recently received attempts.
struct LoadNotice {
  const std::string target_ = {};
  const state::GuardLoad load_ = {};

  friend bool operator==(const LoadNotice&, const LoadNotice&) = default;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_CALL_MESSAGES_H_
