#ifndef PROTOCOL_API_CONFIGURATION_JSON_H_
#define PROTOCOL_API_CONFIGURATION_JSON_H_

#include <string>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// Returns the operators' document, or kInvalidConfiguration whose message lists
// every fault with its path in the document, what was found and what is
// allowed. Thread-safe.
state::Result<state::Configuration> ParseConfiguration(absl::string_view json);

// Returns the document in canonical form: every key present, keys sorted, so
// that equal configurations give equal bytes. Thread-safe.
std::string PrintConfiguration(const state::Configuration& configuration);

// Returns the same document on many lines, for people to read and edit.
// Thread-safe.
std::string PrintConfigurationIndented(
    const state::Configuration& configuration);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_CONFIGURATION_JSON_H_
