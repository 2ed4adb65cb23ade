#ifndef COORDINATION_API_POLICIES_H_
#define COORDINATION_API_POLICIES_H_

#include "state/state.h"

namespace gooseberrygap::coordination {

// Promises to operators that hold for a whole deployment. They come from the
// settings, not from the configuration, since every daemon must know them
// before it knows a configuration.

// How soon a removed API key must stop working.
struct RevocationPolicy {
  // Whether the limit also holds for daemons without contact to the control
  // group. Otherwise they serve with the keys that they know.
  const bool is_strict_ = false;
  // Time from the acknowledgement of a configuration that removes a key until
  // no call that is sent later runs under that key.
  const state::Millis limit_ = state::Millis(5000);

  friend bool operator==(const RevocationPolicy&,
                         const RevocationPolicy&) = default;
};

// How closely quotas are kept: in every window, a tenant's calls that run are
// at most (rate x window + burst) x (1 + overshoot) + slack, over all daemons.
struct QuotaPolicy {
  const double window_seconds_ = 5;
  const double overshoot_ = 0.1;
  const double slack_ = 20;  // Calls.

  friend bool operator==(const QuotaPolicy&, const QuotaPolicy&) = default;
};

// How closely the limits of cold targets are kept: in every second, a cold
// target gets at most rate x overshoot + slack requests, from all daemons.
struct WarmupTolerance {
  const double overshoot_ = 1;
  const double slack_ = 0;  // Requests.

  friend bool operator==(const WarmupTolerance&,
                         const WarmupTolerance&) = default;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_POLICIES_H_
