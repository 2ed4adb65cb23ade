#ifndef DAEMON_LOGGING_H_
#define DAEMON_LOGGING_H_

#include <string>

#include "state/state.h"

namespace gooseberrygap::daemon {

// Starts the `log` duty, which writes events of at least this level ("info",
// "warn" or "error") to standard output. Call it once, before Log.
void StartLogging(const std::string& level, const std::string& instance);

// Writes what waits and ends the duty. Events that are logged later are lost.
void StopLogging();

// Hands an event to the log duty. Never blocks: when too many events wait, or
// more come than may be written, it is dropped, and the number of dropped
// events is logged. Events of calls that were served are dropped first.
// Thread-safe.
void Log(const state::LogEvent& event);

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_LOGGING_H_
