#ifndef STATE_API_CONFIGURATION_CHANGE_H_
#define STATE_API_CONFIGURATION_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/api/configuration.h"
#include "state/api/error.h"

namespace gooseberrygap::state {

// Named items to add, to replace and to remove, which make a newer
// configuration from an older one.
struct ConfigurationChange {
  const uint64_t version_ = 0;  // Of the newer configuration.
  const std::vector<Route> routes_ = {};
  const std::vector<Service> services_ = {};
  const std::optional<CallerLimits> caller_limits_ = {};
  const std::vector<std::string> removed_routes_ = {};
  const std::vector<std::string> removed_services_ = {};

  friend bool operator==(const ConfigurationChange&,
                         const ConfigurationChange&) = default;
};

// Returns the newer configuration. Replaced items keep their place, new ones
// come last. Thread-safe.
Configuration ApplyChange(const Configuration& base,
                          const ConfigurationChange& change);

// Returns kInvalidConfiguration with a message that names the first fault of
// the routes: an unknown service, two routes at one place, a weight that is
// negative or not a number, no attempts, a prefix without a slash at an end.
// Thread-safe.
Result<void> CheckRoutes(const Configuration& configuration);

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_CHANGE_H_
