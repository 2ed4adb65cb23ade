#ifndef PROTOCOL_API_NODE_JSON_H_
#define PROTOCOL_API_NODE_JSON_H_

#include <string>

#include "absl/strings/string_view.h"
#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// JSON bodies of the endpoints for targets and of the status page.
// docs/INTERFACE.md shows each. All functions are thread-safe.

// Returns a target's announcement, or kInvalidRequest.
state::Result<coordination::TargetAnnounced> ParseAnnouncement(
    absl::string_view json);

// Returns whether a target or a service may have this name: 1 to 255 printable
// ASCII characters without spaces.
bool IsAnnouncedName(absl::string_view name);

std::string PrintNodeStatus(const coordination::NodeStatus& status);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_NODE_JSON_H_
