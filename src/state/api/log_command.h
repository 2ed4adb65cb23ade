#ifndef STATE_API_LOG_COMMAND_H_
#define STATE_API_LOG_COMMAND_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "state/api/action.h"
#include "state/api/action_register.h"
#include "state/api/configuration_store.h"
#include "state/api/crash_table.h"
#include "state/api/evacuation.h"
#include "state/api/withdrawal_table.h"

namespace gooseberrygap::state {

// Removes the action keys whose retention has passed.
struct ExpireKeys {
  friend bool operator==(const ExpireKeys&, const ExpireKeys&) = default;
};

using LogChange = std::variant<SubmittedConfiguration,
                               RegisterCommand,
                               ExpireKeys,
                               EvacuationOrder,
                               WithdrawTarget,
                               RecordCrashes>;

// The decoded payload of a kCommand log entry.
struct LogCommand {
  // Incarnation of the proposing control instance and a tag chosen by it, by
  // which it recognizes its own command when the command is applied.
  const uint64_t proposer_ = 0;
  const uint64_t tag_ = 0;
  // Wall time of the proposer in milliseconds, so that all replicas use the
  // same time.
  const uint64_t wall_millis_ = 0;
  const LogChange change_ = {};

  friend bool operator==(const LogCommand&, const LogCommand&) = default;
};

// The state that results from the log's commands; the content of a snapshot.
struct ReplicatedState {
  const RegisterSnapshot register_ = {};
  const std::vector<StoredConfiguration> configurations_ = {};
  const std::vector<AcceptedSubmission> accepted_ = {};
  const Evacuations evacuations_ = {};
  const std::vector<StoredWithdrawal> withdrawals_ = {};
  const std::vector<StoredCrash> crashes_ = {};

  friend bool operator==(const ReplicatedState&,
                         const ReplicatedState&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_LOG_COMMAND_H_
