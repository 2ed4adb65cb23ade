#ifndef STATE_API_TARGET_H_
#define STATE_API_TARGET_H_

#include <compare>
#include <cstdint>
#include <string>

#include "state/api/clock.h"

namespace gooseberrygap::state {

enum class TargetState { kStarting, kServing, kDraining, kLeft };

// Orders the records that one daemon has announced. A daemon's restart raises
// the incarnation; each change, and each move to another control instance,
// raises the sequence.
struct LeaseVersion {
  const uint64_t incarnation_ = 0;
  const uint64_t sequence_ = 0;

  friend bool operator==(const LeaseVersion&, const LeaseVersion&) = default;
  friend auto operator<=>(const LeaseVersion&, const LeaseVersion&) = default;
};

// A target as its daemon announces it to the control group.
struct TargetRecord {
  const std::string target_ = {};   // Unique name of the target.
  const std::string service_ = {};  // Empty for a daemon without a target.
  const std::string instance_ = {};
  const std::string guard_address_ = {};  // Peer address of the guard.
  const std::string region_ = {};
  const std::string failure_domain_ = {};
  const int slots_ = 0;
  const TargetState state_ = TargetState::kStarting;
  const LeaseVersion version_ = {};

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

// What a guard reports of its load in each answer, refusal and probe reply.
struct GuardLoad {
  const int in_flight_ = 0;
  const int queued_ = 0;
  const int slots_ = 0;
  // Estimated time to serve one more request at this load.
  const Millis latency_ = {};
  const TargetState state_ = TargetState::kStarting;
  // How long work takes on the target's machine at this moment, in percent of
  // the usual time; 0 when the target does not tell.
  const int service_time_percent_ = 0;
  // Mean time that the target takes for a request at its usual pace; 0 when it
  // is not known.
  const Millis service_time_ = {};

  friend bool operator==(const GuardLoad&, const GuardLoad&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_TARGET_H_
