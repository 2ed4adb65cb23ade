#ifndef STATE_API_TARGET_H_
#define STATE_API_TARGET_H_

#include <compare>
#include <cstdint>
#include <string>

#include "state/api/clock.h"

namespace gooseberrygap::state {

// Most requests that a target may process concurrently; a larger number in an
// announcement is taken for an error.
inline constexpr int kMaxTargetSlots = 1024;

enum class TargetState { kStarting, kServing, kDraining, kLeft };

// Orders the records announced by one daemon. A restart of the daemon increases
// the incarnation; each change, and each move of the lease to another control
// instance, increases the sequence.
struct LeaseVersion {
  const uint64_t incarnation_ = 0;
  const uint64_t sequence_ = 0;

  friend bool operator==(const LeaseVersion&, const LeaseVersion&) = default;
  friend auto operator<=>(const LeaseVersion&, const LeaseVersion&) = default;
};

// The announcement by which a process of a target drained or left. Earlier
// announcements of the same process are outdated, also after a restart of its
// daemon.
struct TargetWithdrawal {
  const std::string target_ = {};   // Empty when no process has withdrawn.
  const uint64_t incarnation_ = 0;  // Incarnation of the target's process.
  const uint64_t sequence_ = 0;     // Its last announcement at that time.
  const TargetState state_ = TargetState::kLeft;  // kDraining or kLeft.

  friend bool operator==(const TargetWithdrawal&,
                         const TargetWithdrawal&) = default;
};

// A target's record, announced by its daemon to the control group.
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
  // The last withdrawal at this instance, of the target above or an earlier
  // one.
  const TargetWithdrawal withdrawal_ = {};

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

// Returns whether two records of one instance mean the same to routing: they
// differ at most in the sequence, which a move of the lease raises.
// Thread-safe.
bool IsSameForRouting(const TargetRecord& left, const TargetRecord& right);

// The load that a guard reports in each answer, refusal and probe reply.
struct GuardLoad {
  const int in_flight_ = 0;
  const int queued_ = 0;
  const int slots_ = 0;
  // Estimated latency of one more request at this load.
  const Millis latency_ = {};
  const TargetState state_ = TargetState::kStarting;
  // Current time that work takes on the target's machine, in percent of the
  // usual time; 0 when the target does not report it.
  const int service_time_percent_ = 0;
  // Mean service time of a request while the machine has its usual speed; 0
  // when unknown.
  const Millis service_time_ = {};
  // Requests a second that the guard admits while its target is cold; 0 when it
  // sets no limit.
  const double admissions_per_second_ = 0;

  friend bool operator==(const GuardLoad&, const GuardLoad&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_TARGET_H_
