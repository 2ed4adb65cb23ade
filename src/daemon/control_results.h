#ifndef DAEMON_CONTROL_RESULTS_H_
#define DAEMON_CONTROL_RESULTS_H_

#include "absl/strings/string_view.h"
#include "coordination/coordination.h"

namespace gooseberrygap::daemon {

// Returns the name of the role in the log. Thread-safe.
absl::string_view NameOf(coordination::RaftRole role);

// Returns what an operator is told of the end of a membership change.
// Thread-safe.
state::Result<void> ResultOf(const coordination::ProposalResult& end);

// Returns what the control service is told of the end of its proposal.
// Thread-safe.
coordination::ProposalOutcome OutcomeOf(coordination::ProposalStatus status);

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_CONTROL_RESULTS_H_
