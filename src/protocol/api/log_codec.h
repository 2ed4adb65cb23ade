#ifndef PROTOCOL_API_LOG_CODEC_H_
#define PROTOCOL_API_LOG_CODEC_H_

#include <string>
#include "absl/strings/string_view.h"

#include "state/state.h"

namespace gooseberrygap::protocol {

// Returns the command as the payload of a log entry. Thread-safe.
std::string EncodeLogCommand(const state::LogCommand& command);

// Returns the command, or kMalformedMessage when the bytes are truncated or out
// of range. Thread-safe.
state::Result<state::LogCommand> DecodeLogCommand(absl::string_view bytes);

// Returns the replicated state as the content of a snapshot. Equal states give
// equal bytes. Thread-safe.
std::string EncodeReplicatedState(const state::ReplicatedState& state);

// Returns the state, or kMalformedMessage when the bytes are truncated or out
// of range. Thread-safe.
state::Result<state::ReplicatedState> DecodeReplicatedState(
    absl::string_view bytes);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_LOG_CODEC_H_
