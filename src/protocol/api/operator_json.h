#ifndef PROTOCOL_API_OPERATOR_JSON_H_
#define PROTOCOL_API_OPERATOR_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// Bodies of the endpoints that operators use, for the daemon and for the tool;
// docs/INTERFACE.md shows them. Requests are parsed strictly; a fault is
// kInvalidRequest. Answers may contain keys that are unknown here; a fault is
// kMalformedAnswer. All functions are thread-safe.

// Returns the state's name as the endpoints use it.
absl::string_view NameOf(state::TargetState target_state);

// What a control instance says of itself.
struct ControlStatus {
  const std::string identity_ = {};
  const std::string instance_ = {};
  const std::string address_ = {};  // Peer address.
  const bool formed_ = false;
  const std::string role_ = {};
  const uint64_t term_ = 0;
  const std::string leader_ = {};  // Identity, or empty when unknown.
  const uint64_t commit_index_ = 0;
  const std::vector<state::ControlMember> members_ = {};
  // Why the role is `failed`, with the remedy; otherwise empty.
  const std::string error_ = {};

  friend bool operator==(const ControlStatus&, const ControlStatus&) = default;
};

// An operator's submission of a configuration.
struct ConfigSubmission {
  const std::string submission_ = {};
  const state::Configuration configuration_ = {};

  friend bool operator==(const ConfigSubmission&,
                         const ConfigSubmission&) = default;
};

// Body of PUT /-/config. A fault is kInvalidConfiguration.
std::string PrintConfigSubmission(const ConfigSubmission& submission);
state::Result<ConfigSubmission> ParseConfigSubmission(absl::string_view json);

// Answer to PUT /-/config. `call_id_` and `leader_address_` are not part of it.
std::string PrintSubmitReply(const coordination::ConfigSubmitReply& reply);
state::Result<coordination::ConfigSubmitReply> ParseSubmitReply(
    absl::string_view json);

// Answer to GET /-/config. The configuration is null, or left out,
// when none is known.
std::string PrintIndexedConfiguration(
    const state::IndexedConfiguration& configuration);
state::Result<state::IndexedConfiguration> ParseIndexedConfiguration(
    absl::string_view json);

// Answer to GET /-/targets. Guard addresses and versions are not part of it.
std::string PrintTargets(const std::vector<state::TargetRecord>& targets);
state::Result<std::vector<state::TargetRecord>> ParseTargets(
    absl::string_view json);

// Answer to GET /-/counters. Help texts are not part of it.
std::string PrintCounters(const std::vector<state::CounterSample>& samples);
state::Result<std::vector<state::CounterSample>> ParseCounters(
    absl::string_view json);

// Answer to GET /-/control/status.
std::string PrintControlStatus(const ControlStatus& status);
state::Result<ControlStatus> ParseControlStatus(absl::string_view json);

// Body of POST /-/control/form: the first members, all of them voters.
std::string PrintMembers(const std::vector<state::ControlMember>& members);
state::Result<std::vector<state::ControlMember>> ParseMembers(
    absl::string_view json);

// Body of POST /-/control/add.
std::string PrintMember(const state::ControlMember& member);
state::Result<state::ControlMember> ParseMember(absl::string_view json);

// Body of POST /-/control/remove: the identity of a member.
std::string PrintIdentity(const std::string& identity);
state::Result<std::string> ParseIdentity(absl::string_view json);

// Body of POST /-/evacuations/start and /-/evacuations/stop: the name of a
// failure domain.
std::string PrintFailureDomain(const std::string& failure_domain);
state::Result<std::string> ParseFailureDomain(absl::string_view json);

// Answer to POST /-/evacuations/start and /-/evacuations/stop: the last order
// for the failure domain.
std::string PrintEvacuation(const state::EvacuationState& evacuation);
state::Result<state::EvacuationState> ParseEvacuation(absl::string_view json);

// Answer to GET /-/evacuations.
std::string PrintEvacuations(const state::Evacuations& evacuations);
state::Result<state::Evacuations> ParseEvacuations(absl::string_view json);

// Answer of an endpoint that refuses or fails, with the error's kind and
// message. Parsing returns nothing when the text is not such an answer, and
// kRefused for a kind that is unknown here.
std::string PrintError(const state::Error& error);
std::optional<state::Error> ParseError(absl::string_view json);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_OPERATOR_JSON_H_
