#include "absl/strings/match.h"
#include "state/state.h"

namespace gooseberrygap::state {

const Service* FindService(const Configuration& configuration,
                           absl::string_view name) {
  for (const Service& service : configuration.services_) {
    if (service.name_ == name) {
      return &service;
    }
  }
  return nullptr;
}

const Route* FindRoute(const Configuration& configuration,
                       absl::string_view host,
                       absl::string_view path) {
  const Route* longest = nullptr;
  for (const Route& route : configuration.routes_) {
    const bool is_longer =
        longest == nullptr ||
        route.path_prefix_.size() > longest->path_prefix_.size();
    if (is_longer && route.host_ == host &&
        absl::StartsWith(path, route.path_prefix_)) {
      longest = &route;
    }
  }
  return longest;
}

const Rule* FindRule(const Service& service,
                     absl::string_view method,
                     absl::string_view path) {
  for (const Rule& rule : service.rules_) {
    const bool method_matches = rule.method_.empty() || rule.method_ == method;
    if (method_matches && absl::StartsWith(path, rule.path_prefix_)) {
      return &rule;
    }
  }
  return nullptr;
}

}  // namespace gooseberrygap::state
