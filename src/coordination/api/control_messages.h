#ifndef COORDINATION_API_CONTROL_MESSAGES_H_
#define COORDINATION_API_CONTROL_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/lease_messages.h"
#include "state/state.h"

namespace gooseberrygap::coordination {

struct RegisterCall {
  const uint64_t call_id_ = 0;
  const uint32_t group_ = 0;
  const state::RegisterCommand command_ = {};

  friend bool operator==(const RegisterCall&, const RegisterCall&) = default;
};

enum class RegisterStatus {
  kApplied,    // `result_` is valid.
  kNotLeader,  // Not attempted; retry at `leader_address_` if it is set.
  kNoQuorum,   // Not attempted: the leader has no contact with a quorum.
};

struct RegisterReply {
  const uint64_t call_id_ = 0;
  const RegisterStatus status_ = RegisterStatus::kApplied;
  const state::RegisterResult result_ = {};
  const std::string leader_address_ = {};

  friend bool operator==(const RegisterReply&, const RegisterReply&) = default;
};

// Submits an operator's configuration to the leader.
struct ConfigSubmit {
  const uint64_t call_id_ = 0;
  const std::string submission_ = {};
  const std::optional<uint64_t> base_version_ = {};
  const std::shared_ptr<const state::Configuration> configuration_ = {};

  friend bool operator==(const ConfigSubmit&, const ConfigSubmit&) = default;
};

enum class SubmitStatus {
  kAccepted,
  kConflict,      // `winner_submission_` has this version with other content.
  kWrongVersion,  // The document does not follow `current_version_`.
  kNotLeader,
  kNoQuorum,
  kNotFormed,
};

struct ConfigSubmitReply {
  const uint64_t call_id_ = 0;
  const SubmitStatus status_ = SubmitStatus::kAccepted;
  const uint64_t index_ = 0;
  const uint64_t current_version_ = 0;
  const std::string winner_submission_ = {};
  const std::string leader_address_ = {};

  friend bool operator==(const ConfigSubmitReply&,
                         const ConfigSubmitReply&) = default;
};

// Submits an operator's order to evacuate a failure domain to the leader.
struct EvacuationSubmit {
  const uint64_t call_id_ = 0;
  const state::EvacuationOrder order_ = {};

  friend bool operator==(const EvacuationSubmit&,
                         const EvacuationSubmit&) = default;
};

enum class EvacuationStatus {
  kAccepted,   // Applied at the leader; `index_` is the domain's last order.
  kConflict,   // The submitter did not know the domain's last order.
  kNotLeader,  // Not attempted; retry at `leader_address_` if it is set.
  kNoQuorum,   // Not attempted: the leader has no contact with a quorum.
  kNotFormed,
};

struct EvacuationReply {
  const uint64_t call_id_ = 0;
  const EvacuationStatus status_ = EvacuationStatus::kAccepted;
  const uint64_t index_ = 0;
  const std::string leader_address_ = {};

  friend bool operator==(const EvacuationReply&,
                         const EvacuationReply&) = default;
};

// Submits the withdrawal of a daemon's target to the leader, which appends it
// to the log. Not answered: the sender waits for the entry and repeats the
// message.
struct WithdrawalSubmit {
  const std::string instance_ = {};
  const state::TargetWithdrawal withdrawal_ = {};

  friend bool operator==(const WithdrawalSubmit&,
                         const WithdrawalSubmit&) = default;
};

// Submits crash reports of a daemon to the leader, in the same way.
struct CrashSubmit {
  const std::vector<CrashReport> reports_ = {};

  friend bool operator==(const CrashSubmit&, const CrashSubmit&) = default;
};

// Requests membership in the control group. Any member forwards it to the
// leader.
struct JoinRequest {
  const std::string identity_ = {};
  const std::string instance_ = {};
  const std::string address_ = {};

  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

// Tells the control group that the process of a member is stopping, so that a
// ready learner takes the member's place. Any member forwards it to the leader.
struct LeaveRequest {
  const std::string identity_ = {};
  const std::string address_ = {};  // Peer address for the reply.

  friend bool operator==(const LeaveRequest&, const LeaveRequest&) = default;
};

// The leader's answer to a request to leave, once the removal is committed. The
// log does not tell a member that it is removed.
struct LeaveReply {
  const std::string identity_ = {};

  friend bool operator==(const LeaveReply&, const LeaveReply&) = default;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_CONTROL_MESSAGES_H_
