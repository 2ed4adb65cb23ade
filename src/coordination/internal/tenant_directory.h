#ifndef COORDINATION_INTERNAL_TENANT_DIRECTORY_H_
#define COORDINATION_INTERNAL_TENANT_DIRECTORY_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Finds the tenant of an API key in one hash lookup, whatever the number of
// keys. An update costs in proportion to the tenants that changed. Not
// thread-safe.
class TenantDirectory {
 public:
  // Replaces the tenants by those of a checked configuration.
  void Update(const state::Configuration& configuration);

  // Returns whether calls need an API key.
  bool has_tenants() const { return !tenants_.empty(); }
  // Returns the tenant that has the key, or null. Valid until the next update.
  const state::Shared<state::Tenant>* FindByKey(absl::string_view key) const;

 private:
  void Remove(const state::Tenant& tenant);
  void Add(const state::Shared<state::Tenant>& tenant);

  absl::flat_hash_map<std::string, state::Shared<state::Tenant>> tenants_;
  // Name of the tenant by API key.
  absl::flat_hash_map<std::string, std::string> owners_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_TENANT_DIRECTORY_H_
