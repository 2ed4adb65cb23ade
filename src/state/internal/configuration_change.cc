#include "state/api/configuration_change.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "state/api/configuration_size.h"
#include "state/internal/named_items.h"

namespace gooseberrygap::state {

namespace {

// Upper bound of an API key, in bytes. Keys are kept in memory at each daemon.
constexpr size_t kMaxApiKeyBytes = 1024;

Error RouteError(const Route& route, absl::string_view what) {
  return MakeError(ErrorKind::kInvalidConfiguration,
                   absl::StrCat("The route \"", route.name_, "\" ", what));
}

Result<void> CheckDestinations(const Configuration& configuration,
                               const Route& route) {
  if (route.destinations_.empty()) {
    return RouteError(route, "leads to no service");
  }
  for (const Destination& destination : route.destinations_) {
    if (FindService(configuration, destination.service_) == nullptr) {
      return RouteError(route, absl::StrCat("leads to the unknown service \"",
                                            destination.service_, "\""));
    }
    if (!std::isfinite(destination.weight_) || destination.weight_ < 0) {
      return RouteError(route, "has a weight that is not 0 or more");
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Error TenantError(const Tenant& tenant, absl::string_view what) {
  return MakeError(ErrorKind::kInvalidConfiguration,
                   absl::StrCat("The tenant \"", tenant.name_, "\" ", what));
}

bool IsQuota(double value) {
  return std::isfinite(value) && value >= 0;
}

// Checks a tenant by itself.
Result<void> CheckTenant(const Tenant& tenant) {
  if (tenant.name_.empty()) {
    return TenantError(tenant, "has no name");
  }
  for (const std::string& key : tenant.api_keys_) {
    if (key.empty() || key.size() > kMaxApiKeyBytes) {
      return TenantError(tenant,
                         absl::StrCat("has a key that is empty or longer than ",
                                      kMaxApiKeyBytes, " bytes"));
    }
  }
  if (!IsQuota(tenant.calls_per_second_) || !IsQuota(tenant.burst_calls_)) {
    return TenantError(tenant, "has a quota that is not 0 or more");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

Configuration ApplyChange(const Configuration& base,
                          const ConfigurationChange& change) {
  return Configuration{
      .version_ = change.version_,
      .services_ = ApplyItemChanges(base.services_, change.services_,
                                    change.removed_services_),
      .routes_ = ApplyItemChanges(base.routes_, change.routes_,
                                  change.removed_routes_),
      .caller_limits_ = change.caller_limits_.value_or(base.caller_limits_),
      .load_budget_ = base.load_budget_,
      .cross_region_bytes_per_second_ = base.cross_region_bytes_per_second_,
      .actions_ = base.actions_,
      .poison_ = base.poison_,
      .tenants_ = ApplyItemChanges(base.tenants_, change.tenants_,
                                   change.removed_tenants_)};
}

Result<void> CheckRoutes(const Configuration& configuration) {
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  std::set<std::string> names;
  for (const Route& route : configuration.routes_) {
    BOOST_OUTCOME_TRYV(CheckDestinations(configuration, route));
    if (route.max_attempts_ < 1) {
      return RouteError(route, "allows no attempt");
    }
    if (!absl::StartsWith(route.path_prefix_, "/") ||
        !absl::EndsWith(route.path_prefix_, "/")) {
      return RouteError(route,
                        "has a prefix that does not begin and end with '/'");
    }
    if (!hosts_and_prefixes.emplace(route.host_, route.path_prefix_).second) {
      return RouteError(route, "has the host and the prefix of another route");
    }
    if (!names.insert(route.name_).second) {
      return RouteError(route, "has the name of another route");
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> CheckTenants(const Configuration& configuration) {
  absl::flat_hash_set<absl::string_view> names;
  absl::flat_hash_map<absl::string_view, const Tenant*> owners;  // By key.
  for (const Shared<Tenant>& tenant : configuration.tenants_) {
    BOOST_OUTCOME_TRYV(CheckTenant(*tenant));
    if (!names.insert(tenant->name_).second) {
      return TenantError(*tenant, "has the name of another tenant");
    }
    for (const std::string& key : tenant->api_keys_) {
      const auto [owner, is_new] = owners.emplace(key, &*tenant);
      if (!is_new && owner->second != &*tenant) {
        return TenantError(*tenant,
                           absl::StrCat("has a key that the tenant \"",
                                        owner->second->name_, "\" has too"));
      }
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> CheckConfiguration(const Configuration& configuration) {
  BOOST_OUTCOME_TRYV(CheckSize(configuration));
  BOOST_OUTCOME_TRYV(CheckRoutes(configuration));
  return CheckTenants(configuration);
}

}  // namespace gooseberrygap::state
