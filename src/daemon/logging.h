#ifndef DAEMON_LOGGING_H_
#define DAEMON_LOGGING_H_

#include <log4cplus/logger.h>

#include <string>

namespace gooseberrygap::daemon {

// Sets up logging to standard error at "debug", "info", "warn" or "error".
// Call it once, before Logger.
void StartLogging(const std::string& level);

// Returns the daemon's logger. Thread-safe.
log4cplus::Logger& Logger();

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_LOGGING_H_
