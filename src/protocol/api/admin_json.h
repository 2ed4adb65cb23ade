#ifndef PROTOCOL_API_ADMIN_JSON_H_
#define PROTOCOL_API_ADMIN_JSON_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// JSON bodies of the administration endpoints under "/-/". docs/INTERFACE.md
// shows each. All functions are thread-safe.

// Returns a target's announcement, or kInvalidRequest.
state::Result<coordination::TargetAnnounced> ParseAnnouncement(
    absl::string_view json);

// An operator's submission of a configuration.
struct ConfigSubmission {
  const std::string submission_ = {};
  const state::Configuration configuration_ = {};

  friend bool operator==(const ConfigSubmission&,
                         const ConfigSubmission&) = default;
};
state::Result<ConfigSubmission> ParseConfigSubmission(absl::string_view json);

// Returns the members of {"members": [...]}, or kInvalidRequest.
state::Result<std::vector<state::ControlMember>> ParseMembers(
    absl::string_view json);
// Returns the identity of {"identity": "..."}, or kInvalidRequest.
state::Result<std::string> ParseIdentity(absl::string_view json);
// Returns one member, or kInvalidRequest.
state::Result<state::ControlMember> ParseMember(absl::string_view json);

std::string PrintSubmitReply(const coordination::ConfigSubmitReply& reply);
std::string PrintNodeStatus(const coordination::NodeStatus& status);
std::string PrintTargets(const std::vector<state::TargetRecord>& targets);
std::string PrintCounters(const std::vector<state::CounterSample>& samples);
std::string PrintIndexedConfiguration(
    const state::IndexedConfiguration& configuration);
std::string PrintError(const state::Error& error);

// What a control instance reports of its log.
struct ControlStatus {
  const std::string identity_ = {};
  const std::string instance_ = {};
  const std::string address_ = {};
  const bool formed_ = false;
  const std::string role_ = {};
  const uint64_t term_ = 0;
  const std::string leader_ = {};
  const uint64_t commit_index_ = 0;
  const std::vector<state::ControlMember> members_ = {};

  friend bool operator==(const ControlStatus&, const ControlStatus&) = default;
};
std::string PrintControlStatus(const ControlStatus& status);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_ADMIN_JSON_H_
