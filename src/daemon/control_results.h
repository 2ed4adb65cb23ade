#ifndef DAEMON_CONTROL_RESULTS_H_
#define DAEMON_CONTROL_RESULTS_H_

#include "absl/strings/string_view.h"
#include "coordination/coordination.h"

namespace gooseberrygap::daemon {

// Returns the name of the Raft role for log lines and the control status.
// Thread-safe.
absl::string_view NameOf(coordination::RaftRole role);

// Converts the outcome of a membership change into the result that the operator
// receives. Thread-safe.
state::Result<void> ResultOf(const coordination::ProposalResult& end);

// Converts the status of a proposal in the log into the outcome that the
// control service receives. Thread-safe.
coordination::ProposalOutcome OutcomeOf(coordination::ProposalStatus status);

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_CONTROL_RESULTS_H_
