#include "state/api/evacuation_table.h"

#include <vector>

#include "state/api/replace.h"

namespace gooseberrygap::state {

EvacuationState FindEvacuation(const Evacuations& evacuations,
                               const std::string& failure_domain) {
  for (const EvacuationState& domain : evacuations.domains_) {
    if (domain.failure_domain_ == failure_domain) {
      return domain;
    }
  }
  return EvacuationState{.failure_domain_ = failure_domain};
}

bool EvacuationTable::Apply(uint64_t index, const EvacuationOrder& order) {
  const auto last = domains_.find(order.failure_domain_);
  const bool is_evacuated = last != domains_.end() && last->second.evacuated_;
  const uint64_t last_index = last == domains_.end() ? 0 : last->second.index_;
  if (order.known_index_ != last_index) {
    return order.evacuates_ == is_evacuated;
  }
  index_ = index;
  Replace(&domains_, order.failure_domain_,
          EvacuationState{.failure_domain_ = order.failure_domain_,
                          .evacuated_ = order.evacuates_,
                          .index_ = index});
  return true;
}

Evacuations EvacuationTable::Snapshot() const {
  std::vector<EvacuationState> domains;
  domains.reserve(domains_.size());
  for (const auto& [name, domain] : domains_) {
    domains.push_back(domain);
  }
  return Evacuations{.index_ = index_, .domains_ = std::move(domains)};
}

void EvacuationTable::Restore(const Evacuations& evacuations) {
  index_ = evacuations.index_;
  domains_.clear();
  for (const EvacuationState& domain : evacuations.domains_) {
    domains_.emplace(domain.failure_domain_, domain);
  }
}

}  // namespace gooseberrygap::state
