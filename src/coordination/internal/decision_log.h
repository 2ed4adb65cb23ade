#ifndef COORDINATION_INTERNAL_DECISION_LOG_H_
#define COORDINATION_INTERNAL_DECISION_LOG_H_

#include <optional>
#include <string>

#include "coordination/api/commands.h"
#include "coordination/api/router.h"
#include "coordination/internal/warmup_limit.h"

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

// Why a daemon leaves its control instance.
enum class ControlMoveReason { kSilent, kStale, kOtherRegion };

// Returns the line for a lease that moves from the control instance at one
// address to that at another. `staleness` is what the old one reported last.
state::LogEvent ControlMovedLine(const std::string& from,
                                 const std::string& to,
                                 ControlMoveReason reason,
                                 state::Millis staleness);

// Returns the line for the answer of a control instance that a daemon has asked
// for its staleness while it holds its lease with the one at `current`.
state::LogEvent ControlQueryAnsweredLine(const std::string& current,
                                         const LeaseReply& reply);

// Returns the line for a reply that was handled long after its renewal had been
// sent. `waited` counts from then; the reply's own staleness does not contain
// it.
state::LogEvent ControlReplyLateLine(const LeaseReply& reply,
                                     state::Millis waited);

// Returns the line for a reply that names a newer configuration than the one in
// force after it, which has the index `configuration`.
state::LogEvent ConfigurationMissedLine(const LeaseReply& reply,
                                        uint64_t configuration);

// Returns the line for a failure domain whose evacuation has come into force or
// has ended at this daemon. `is_own` says that it is the daemon's own domain.
state::LogEvent EvacuationLine(const state::EvacuationState& domain,
                               bool is_own);

// Returns the line for a change of the limit of the own target.
// `requests_per_second` is the sustained rate while it is in force.
state::LogEvent WarmupLimitLine(const WarmupChange& change,
                                const std::string& target,
                                double requests_per_second);

// Returns the line of a daemon whose own control role does not answer it.
state::LogEvent OwnControlRoleSilentLine();

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_DECISION_LOG_H_
