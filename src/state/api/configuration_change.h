#ifndef STATE_API_CONFIGURATION_CHANGE_H_
#define STATE_API_CONFIGURATION_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/api/configuration.h"
#include "state/api/error.h"

namespace gooseberrygap::state {

// Named items to add, replace and remove, which turn a base configuration into
// a newer one.
struct ConfigurationChange {
  const uint64_t version_ = 0;  // Version of the newer configuration.
  const std::vector<Route> routes_ = {};
  const std::vector<Service> services_ = {};
  const std::optional<CallerLimits> caller_limits_ = {};
  const std::vector<std::string> removed_routes_ = {};
  const std::vector<std::string> removed_services_ = {};
  const std::vector<Shared<Tenant>> tenants_ = {};
  const std::vector<std::string> removed_tenants_ = {};

  friend bool operator==(const ConfigurationChange&,
                         const ConfigurationChange&) = default;
};

// Returns the newer configuration. Replaced items keep their position; new
// items are appended. Thread-safe.
Configuration ApplyChange(const Configuration& base,
                          const ConfigurationChange& change);

// Returns kInvalidConfiguration with a message that describes the first error
// in the routes: no or an unknown service, a weight that is negative or not
// finite, a limit below one attempt, a prefix that does not begin and end with
// '/', a duplicate host and prefix, a duplicate name. Thread-safe.
Result<void> CheckRoutes(const Configuration& configuration);

// Returns kInvalidConfiguration with a message that describes the first error
// in the tenants: an empty or duplicate name, an empty or overlong key, a key
// that two tenants share, a quota that is negative or not finite. Names the
// tenant but never a key. Thread-safe.
Result<void> CheckTenants(const Configuration& configuration);

// Returns the first error in any part of the configuration. Every way by which
// a configuration comes into force checks it with this function. Thread-safe.
Result<void> CheckConfiguration(const Configuration& configuration);

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_CHANGE_H_
