#include "coordination/internal/router_impl.h"

#include <algorithm>
#include <tuple>

namespace gooseberrygap::coordination {

namespace {

using state::TargetRecord;
using state::TargetState;

// Targets that a daemon learns within this time after its first ones count as
// ramped up. After a restart of all instances the records arrive in parts while
// daemons renew their leases, and ramping up only the later ones would send all
// calls to the first.
constexpr state::Millis kCollectionTime(3000);
// Age of a target that has ramped up.
constexpr state::Millis kRampedUpAge(1e9);

// Returns whether the record is in force when both name the same target. A
// target that has moved is announced at two instances until the lease of the
// old one expires; the instance whose daemon started later has it.
bool IsNewer(const TargetRecord& left, const TargetRecord& right) {
  return std::tie(left.version_, left.instance_) >
         std::tie(right.version_, right.instance_);
}

// Returns one record for each target, in the order of `records`.
std::vector<const TargetRecord*> RecordsInForce(
    const std::vector<TargetRecord>& records) {
  absl::flat_hash_map<absl::string_view, const TargetRecord*> newest;
  for (const TargetRecord& record : records) {
    const TargetRecord*& known = newest[record.target_];
    if (known == nullptr || IsNewer(record, *known)) {
      known = &record;
    }
  }
  std::vector<const TargetRecord*> in_force;
  for (const TargetRecord& record : records) {
    if (!record.target_.empty() && newest[record.target_] == &record) {
      in_force.push_back(&record);
    }
  }
  return in_force;
}

}  // namespace

void Router::Impl::UpdateConfiguration(
    const state::Configuration& configuration) {
  for (const state::Service& service : configuration.services_) {
    ServiceState& service_state = services_[service.name_];
    if (service_state.policy_ == nullptr ||
        service_state.policy_->strategy_ != service.strategy_) {
      service_state.strategy_ = MakeStrategy(service.strategy_);
    }
    service_state.policy_ = std::make_unique<state::Service>(service);
    service_state.retry_budget_.SetRatio(service.retry_.budget_ratio_);
    service_state.hedge_budget_.SetRatio(service.hedge_.budget_ratio_);
  }
  load_meter_.SetBudget(configuration.load_budget_);
  cross_region_bytes_.SetRate(configuration.cross_region_bytes_per_second_);
}

void Router::Impl::UpdateTargets(const std::vector<TargetRecord>& targets,
                                 state::Millis now) {
  absl::flat_hash_map<std::string, std::unique_ptr<Target>> previous;
  previous.swap(targets_);
  for (auto& [name, service] : services_) {
    service.members_.clear();
  }
  if (!targets.empty() && !first_targets_at_.has_value()) {
    first_targets_at_ = now;
  }
  const bool is_collecting = first_targets_at_.has_value() &&
                             now - *first_targets_at_ < kCollectionTime;
  for (const TargetRecord* in_force : RecordsInForce(targets)) {
    const TargetRecord& record = *in_force;
    const auto existing = previous.find(record.target_);
    auto target = existing == previous.end() ? std::make_unique<Target>()
                                             : std::move(existing->second);
    const bool starts_serving =
        record.state_ == TargetState::kServing &&
        (target->record_ == nullptr ||
         target->record_->state_ != TargetState::kServing ||
         target->record_->version_.incarnation_ !=
             record.version_.incarnation_);
    if (starts_serving) {
      target->load_.reset();
      target->serving_since_ = is_collecting ? now - kRampedUpAge : now;
    }
    target->record_ = std::make_unique<TargetRecord>(record);
    AdmitMember(target.get());
    targets_.emplace(record.target_, std::move(target));
  }
  // Each daemon has one target, and all daemons share the retries that a
  // service may have in a second.
  for (auto& [name, service] : services_) {
    service.retry_budget_.SetRate(
        service.policy_->retry_.budget_per_second_ /
        static_cast<double>(std::max<size_t>(1, targets_.size())));
  }
}

void Router::Impl::AdmitMember(Target* target) {
  const TargetRecord& record = *target->record_;
  const auto entry = services_.find(record.service_);
  if (entry == services_.end()) {
    return;
  }
  const state::AdmissionPolicy& policy = entry->second.policy_->admission_;
  const bool domain_allowed =
      policy.failure_domains_.empty() ||
      std::count(policy.failure_domains_.begin(), policy.failure_domains_.end(),
                 record.failure_domain_) > 0;
  const bool has_capacity =
      static_cast<int>(entry->second.members_.size()) < policy.max_targets_;
  if (domain_allowed && has_capacity && record.slots_ <= policy.max_slots_) {
    entry->second.members_.push_back(target);
  }
}

bool Router::Impl::HasTarget(absl::string_view service,
                             const state::AllowedRegions& allowed) const {
  const auto entry = services_.find(service);
  return entry != services_.end() &&
         std::any_of(entry->second.members_.begin(),
                     entry->second.members_.end(),
                     [&allowed](const Target* target) {
                       return allowed.Allows(target->record_->region_);
                     });
}

}  // namespace gooseberrygap::coordination
