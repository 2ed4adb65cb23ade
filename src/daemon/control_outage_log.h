#ifndef DAEMON_CONTROL_OUTAGE_LOG_H_
#define DAEMON_CONTROL_OUTAGE_LOG_H_

#include <optional>
#include <string>

#include "state/state.h"

namespace gooseberrygap::daemon {

// What a control instance knows of its own state.
struct ControlRoleState {
  const std::string role_ = {};
  const uint64_t term_ = 0;
  const std::string leader_ = {};
  const uint64_t commit_index_ = 0;
  // Time since the last contact to the leader; at the leader, to a quorum.
  const state::Millis staleness_;
  // The error that stopped the control role, or else that of the disk that
  // refuses writes; empty without one.
  const std::string error_ = {};

  friend bool operator==(const ControlRoleState&,
                         const ControlRoleState&) = default;
};

// Decides when a control instance logs that it cannot take part in decisions.
// The line is repeated while the state lasts, so that the end of a log shows
// it. Not thread-safe.
class ControlOutageLog {
 public:
  // Returns the line to write at `now`, if one is due. Call it at each tick.
  std::optional<state::LogEvent> Update(const ControlRoleState& role,
                                        state::Millis now);

 private:
  std::optional<state::Millis> unavailable_since_;
  std::optional<state::Millis> logged_at_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_CONTROL_OUTAGE_LOG_H_
