#include "state/api/configuration_size.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::state {

namespace {

// Bytes of a string that are stored in the object itself.
constexpr size_t kInlineBytes = 15;

size_t HeapOf(const std::string& text) {
  return text.size() > kInlineBytes ? text.size() + 1 : 0;
}

size_t HeapOf(const Destination& destination) {
  return HeapOf(destination.service_);
}

size_t HeapOf(const Rule& rule) {
  return HeapOf(rule.method_) + HeapOf(rule.path_prefix_);
}

size_t HeapOf(const Route& route);
size_t HeapOf(const Service& service);
size_t HeapOf(const Shared<Tenant>& tenant);

// Returns the bytes of the items.
template <class Item>
size_t HeapOf(const std::vector<Item>& items) {
  size_t bytes = items.size() * sizeof(Item);
  for (const Item& item : items) {
    bytes += HeapOf(item);
  }
  return bytes;
}

size_t HeapOf(const Route& route) {
  return HeapOf(route.name_) + HeapOf(route.host_) +
         HeapOf(route.path_prefix_) + HeapOf(route.destinations_) +
         HeapOf(route.allowed_regions_);
}

size_t HeapOf(const Service& service) {
  return HeapOf(service.name_) + HeapOf(service.strategy_) +
         HeapOf(service.rules_) + HeapOf(service.admission_.failure_domains_) +
         HeapOf(service.properties_.health_path_) +
         HeapOf(service.properties_.protocol_);
}

size_t HeapOf(const Shared<Tenant>& tenant) {
  return sizeof(Tenant) + HeapOf(tenant->name_) + HeapOf(tenant->api_keys_) +
         HeapOf(tenant->allowed_regions_);
}

}  // namespace

size_t SizeOf(const Configuration& configuration) {
  return sizeof(configuration) + HeapOf(configuration.services_) +
         HeapOf(configuration.routes_) + HeapOf(configuration.tenants_);
}

size_t SizeOf(const ConfigurationChange& change) {
  return sizeof(change) + HeapOf(change.services_) + HeapOf(change.routes_) +
         HeapOf(change.tenants_) + HeapOf(change.removed_services_) +
         HeapOf(change.removed_routes_) + HeapOf(change.removed_tenants_);
}

Result<void> CheckSize(const Configuration& configuration) {
  const size_t bytes = SizeOf(configuration);
  if (bytes > kMaxConfigurationBytes) {
    return MakeError(ErrorKind::kInvalidConfiguration,
                     absl::StrCat("The configuration takes ", bytes,
                                  " bytes of memory; the limit is ",
                                  kMaxConfigurationBytes));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace gooseberrygap::state
