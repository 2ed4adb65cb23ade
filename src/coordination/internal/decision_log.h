#ifndef COORDINATION_INTERNAL_DECISION_LOG_H_
#define COORDINATION_INTERNAL_DECISION_LOG_H_

#include <optional>

#include "coordination/api/commands.h"
#include "coordination/api/router.h"

namespace gooseberrygap::coordination {

// The log lines of decisions about requests. All functions are thread-safe.

// An attempt was sent; `known` is absent when the target had told nothing.
state::LogEvent AttemptSentLine(const Attempt& attempt,
                                const std::optional<KnownLoad>& known);

// A guard answered an attempt.
state::LogEvent AttemptAnsweredLine(const AttemptAnswer& answer);

// What a daemon knew when a call ended.
struct KnownState {
  const uint64_t configuration_index_ = 0;
  const state::Millis staleness_ = {};
};

// A call has its answer.
state::LogEvent CallAnsweredLine(const CallAnswer& answer,
                                 const KnownState& known);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_DECISION_LOG_H_
