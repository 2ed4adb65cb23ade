#ifndef SUPPORT_FAULT_PROXY_FAULT_SETTINGS_H_
#define SUPPORT_FAULT_PROXY_FAULT_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "state/state.h"
#include "support/address.h"

namespace gooseberrygap::test_support {

// What happens to the bytes of one direction of a link. The JSON keys are the
// member names without the trailing underscore.
struct DirectionFaults {
  const double delay_ms_ = 0;
  const double jitter_ms_ = 0;    // Added to the delay, between 0 and this.
  const std::string group_ = {};  // Bandwidth group; empty is unlimited.
  // Shares of the messages of a peer link.
  const double duplicate_share_ = 0;
  const double reorder_share_ = 0;
  const double drop_share_ = 0;
  // Passes nothing; bytes wait as they do behind a partition that will heal.
  const bool blocked_ = false;
  // A new connection passes nothing until this long after its start, as where
  // the other host answers a connect late.
  const double open_delay_ms_ = 0;

  friend bool operator==(const DirectionFaults&,
                         const DirectionFaults&) = default;
};

// The fixed part of a link.
struct LinkPlan {
  const std::string name_ = {};
  const std::string kind_ = "tcp";  // "tcp", "peer"
  const Address listen_ = {};
  const Address to_ = {};
  // Takes only connections from this host; a link of the same listening address
  // without a source takes the others.
  const std::string source_ = {};

  friend bool operator==(const LinkPlan&, const LinkPlan&) = default;
};

// Parses a link of `POST /links`. Thread-safe.
state::Result<LinkPlan> ParseLinkPlan(const nlohmann::json& object);

// Returns the value as a JSON object. Thread-safe.
nlohmann::json ToJson(const DirectionFaults& faults);

// Returns `current` with the keys of `patch` changed. Thread-safe.
state::Result<DirectionFaults> PatchFaults(const DirectionFaults& current,
                                           const nlohmann::json& patch);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_FAULT_SETTINGS_H_
