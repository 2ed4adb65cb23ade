#include "coordination/internal/tenant_directory.h"

#include <vector>

#include "absl/container/flat_hash_set.h"

namespace gooseberrygap::coordination {

using state::Shared;
using state::Tenant;

void TenantDirectory::Update(const state::Configuration& configuration) {
  absl::flat_hash_set<absl::string_view> listed;
  std::vector<const Shared<Tenant>*> changed;
  for (const Shared<Tenant>& tenant : configuration.tenants_) {
    listed.insert(tenant->name_);
    const auto known = tenants_.find(tenant->name_);
    if (known == tenants_.end() || !(known->second == tenant)) {
      changed.push_back(&tenant);
    }
  }
  std::vector<Shared<Tenant>> outdated;
  for (const auto& [name, tenant] : tenants_) {
    if (!listed.contains(name)) {
      outdated.push_back(tenant);
    }
  }
  for (const Shared<Tenant>* tenant : changed) {
    const auto known = tenants_.find((*tenant)->name_);
    if (known != tenants_.end()) {
      outdated.push_back(known->second);
    }
  }
  // All removals come first, since a key may have moved between tenants.
  for (const Shared<Tenant>& tenant : outdated) {
    Remove(*tenant);
  }
  for (const Shared<Tenant>* tenant : changed) {
    Add(*tenant);
  }
}

const Shared<Tenant>* TenantDirectory::FindByKey(absl::string_view key) const {
  const auto owner = owners_.find(key);
  if (owner == owners_.end()) {
    return nullptr;
  }
  const auto tenant = tenants_.find(owner->second);
  return tenant == tenants_.end() ? nullptr : &tenant->second;
}

void TenantDirectory::Remove(const Tenant& tenant) {
  for (const std::string& key : tenant.api_keys_) {
    owners_.erase(key);
  }
  tenants_.erase(tenant.name_);
}

void TenantDirectory::Add(const Shared<Tenant>& tenant) {
  for (const std::string& key : tenant->api_keys_) {
    owners_.emplace(key, tenant->name_);
  }
  tenants_.emplace(tenant->name_, tenant);
}

}  // namespace gooseberrygap::coordination
