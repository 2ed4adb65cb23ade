#ifndef PROTOCOL_INTERNAL_STRATEGY_NAMES_H_
#define PROTOCOL_INTERNAL_STRATEGY_NAMES_H_

#include <array>
#include "absl/strings/string_view.h"

namespace gooseberrygap::protocol {

// The names that a configuration may use; those of
// coordination::StrategyNames.
inline constexpr std::array<absl::string_view, 6> kStrategyNames = {
    "probed_latency",  "random",      "round_robin",
    "least_in_flight", "two_choices", "expected_time"};

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_STRATEGY_NAMES_H_
