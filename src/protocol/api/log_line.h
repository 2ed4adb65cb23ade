#ifndef PROTOCOL_API_LOG_LINE_H_
#define PROTOCOL_API_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include "absl/strings/string_view.h"

#include "state/state.h"

namespace gooseberrygap::protocol {

// Returns a log event as one JSON object without a line end, with the time of
// day in milliseconds and the instance that writes it. Bytes that are no text
// are replaced. Thread-safe.
std::string PrintLogLine(const state::LogEvent& event,
                         uint64_t wall_millis,
                         absl::string_view instance);

// A log line as it was written.
struct LoggedEvent {
  const uint64_t wall_millis_ = 0;
  const std::string instance_ = {};
  const state::LogEvent event_ = {};

  friend bool operator==(const LoggedEvent&, const LoggedEvent&) = default;
};

// Returns the event of a log line, or nothing when PrintLogLine cannot have
// written it. What a log collector puts before the object is passed over.
// Fields that are no text, number or truth value are left out. Thread-safe.
std::optional<LoggedEvent> ParseLogLine(absl::string_view line);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_LOG_LINE_H_
