#include "state/api/configuration_change.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace gooseberrygap::state {

namespace {

// Returns `base` with items removed, replaced and appended by name.
template <class Item>
std::vector<Item> ApplyItemChanges(
    const std::vector<Item>& base,
    const std::vector<Item>& changes,
    const std::vector<std::string>& removed_names) {
  const std::set<std::string> removed(removed_names.begin(),
                                      removed_names.end());
  const auto find = [](const std::vector<Item>& items,
                       const std::string& name) {
    return std::find_if(items.begin(), items.end(), [&name](const Item& item) {
      return item.name_ == name;
    });
  };
  std::vector<Item> items;
  for (const Item& item : base) {
    const auto change = find(changes, item.name_);
    if (change != changes.end()) {
      items.push_back(*change);
    } else if (!removed.contains(item.name_)) {
      items.push_back(item);
    }
  }
  for (const Item& change : changes) {
    if (find(base, change.name_) == base.end()) {
      items.push_back(change);
    }
  }
  return items;
}

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
      .poison_ = base.poison_};
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

}  // namespace gooseberrygap::state
