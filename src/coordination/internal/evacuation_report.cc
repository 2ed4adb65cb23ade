#include "coordination/internal/evacuation_report.h"

#include <utility>

#include "coordination/internal/decision_log.h"

namespace gooseberrygap::coordination {

EvacuationReport::EvacuationReport(std::string own_domain,
                                   state::Gauges* gauges)
    : own_domain_(std::move(own_domain)), gauges_(gauges) {}

Commands EvacuationReport::Update(const state::Evacuations& evacuations) {
  Commands commands;
  std::set<std::string> evacuated;
  for (const state::EvacuationState& domain : evacuations.domains_) {
    const std::string& name = domain.failure_domain_;
    if (domain.evacuated_) {
      evacuated.insert(name);
    }
    if (domain.evacuated_ != evacuated_.contains(name)) {
      commands.emplace_back(
          WriteLog{.event_ = EvacuationLine(domain, name == own_domain_)});
    }
  }
  evacuated_.swap(evacuated);
  gauges_->Set(state::Gauge::kOwnDomainEvacuated,
               evacuated_.contains(own_domain_) ? 1 : 0);
  gauges_->Set(state::Gauge::kEvacuationIndex,
               static_cast<double>(evacuations.index_));
  gauges_->Set(state::Gauge::kEvacuatedDomains,
               static_cast<double>(evacuated_.size()));
  return commands;
}

}  // namespace gooseberrygap::coordination
