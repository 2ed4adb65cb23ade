#ifndef STATE_API_LOG_EVENT_H_
#define STATE_API_LOG_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrygap::state {

enum class LogLevel { kInfo, kWarning, kError };

// A named input or result of a decision.
struct LogField {
  const std::string name_ = {};
  const std::variant<std::string, int64_t, double, bool> value_ = {};

  friend bool operator==(const LogField&, const LogField&) = default;
};

// One line of the log. docs/OPERATIONS.md lists the events with their fields.
struct LogEvent {
  const LogLevel level_ = LogLevel::kInfo;
  const std::string event_ = {};
  // Id of the request that the event concerns; empty for events of the process
  // itself.
  const std::string request_ = {};
  const std::vector<LogField> fields_ = {};

  friend bool operator==(const LogEvent&, const LogEvent&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_LOG_EVENT_H_
