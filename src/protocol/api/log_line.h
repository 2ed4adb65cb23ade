#ifndef PROTOCOL_API_LOG_LINE_H_
#define PROTOCOL_API_LOG_LINE_H_

#include <cstdint>
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

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_LOG_LINE_H_
