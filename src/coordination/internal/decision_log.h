#ifndef COORDINATION_INTERNAL_DECISION_LOG_H_
#define COORDINATION_INTERNAL_DECISION_LOG_H_

#include <optional>

#include "coordination/api/commands.h"
#include "coordination/api/router.h"

namespace gooseberrygap::coordination {

// Functions that build the log lines of decisions about requests. All of them
// are thread-safe.

// Returns the line for an attempt that was sent. `reported` is absent when the
// target's load is not known.
state::LogEvent AttemptSentLine(const Attempt& attempt,
                                const std::optional<ReportedLoad>& reported);

// Returns the line for a request to answer an attempt on the new link to the
// guard at `address`.
state::LogEvent AttemptResumedLine(const ResumeAttempt& resume,
                                   const std::string& address);

// Returns the line for a guard's answer to an attempt.
state::LogEvent AttemptAnsweredLine(const AttemptAnswer& answer);

// The configuration in force when a call ended, and the time since the daemon's
// state from the control group was last confirmed.
struct ConfigurationState {
  const uint64_t configuration_index_ = 0;
  const state::Millis staleness_ = {};
};

// Returns the line for the answer to a call.
state::LogEvent CallAnsweredLine(const CallAnswer& answer,
                                 const ConfigurationState& current);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_DECISION_LOG_H_
