#ifndef DAEMON_LOGGING_H_
#define DAEMON_LOGGING_H_

#include <string>

#include "state/state.h"

namespace gooseberrygap::daemon {

// Starts the `log` duty, which writes events of at least this level ("info",
// "warn" or "error") to standard output. Call it once, before Log.
void StartLogging(const std::string& level, const std::string& instance);

// Writes the queued events and ends the duty. Events logged later are lost.
void StopLogging();

// Queues an event for the log duty. Never blocks: the event is dropped when the
// queue is full or the limit of lines per second is exceeded, and the number of
// dropped events is logged. Events of calls that were served have a lower limit
// and are dropped first. Thread-safe.
void Log(const state::LogEvent& event);

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_LOGGING_H_
