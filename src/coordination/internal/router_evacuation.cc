#include "coordination/internal/router_impl.h"

namespace gooseberrygap::coordination {

void Router::Impl::UpdateEvacuations(const state::Evacuations& evacuations,
                                     state::Millis now) {
  absl::flat_hash_set<std::string> evacuated;
  for (const state::EvacuationState& domain : evacuations.domains_) {
    if (domain.evacuated_) {
      evacuated.insert(domain.failure_domain_);
    }
  }
  evacuated_domains_.swap(evacuated);
  for (const auto& [name, target] : targets_) {
    const state::TargetRecord& record = *target->record_;
    if (evacuated.contains(record.failure_domain_) &&
        !IsInEvacuatedDomain(record)) {
      target->load_.reset();
      target->cold_probe_at_.reset();
      target->serving_since_ = now;
    }
  }
}

bool Router::Impl::IsEvacuated(absl::string_view service,
                               const state::AllowedRegions& allowed) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) {
    return false;
  }
  bool has_evacuated = false;
  for (const Target* target : entry->second.members_) {
    const state::TargetRecord& record = *target->record_;
    if (record.state_ != state::TargetState::kServing ||
        !allowed.Allows(record.region_)) {
      continue;
    }
    if (!IsInEvacuatedDomain(record)) {
      return false;
    }
    has_evacuated = true;
  }
  return has_evacuated;
}

}  // namespace gooseberrygap::coordination
