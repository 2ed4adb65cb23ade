#include <algorithm>
#include <array>
#include <cmath>

#include "absl/container/flat_hash_map.h"
#include "absl/random/distributions.h"
#include "coordination/coordination.h"
#include "coordination/internal/latency_window.h"
#include "coordination/internal/load_meter.h"
#include "coordination/internal/ratio_budget.h"

namespace gooseberrygap::coordination {

namespace {

using state::TargetRecord;
using state::TargetState;

// Round trips beyond the own failure domain, from the platform's latencies.
constexpr state::Millis kRegionRoundTrip(2);
constexpr state::Millis kCrossRegionRoundTrip(24);
// Assumed length of the name of an unknown target, in bytes.
constexpr size_t kUnknownNameBytes = 255;
// A target is ejected after this many consecutive failures.
constexpr int kFailuresToEject = 5;
// Duration of an ejection, and the age from which a load report no longer keeps
// calls away from a target, unless the report is that the target drains or
// has left.
constexpr state::Millis kEjectionTime(1000);
// A target whose load report is younger than this is not probed.
constexpr state::Millis kMinProbedLoadAge(20);
// Bytes charged to the cross-region budget for a call. Its size is unknown when
// it is sent, so one packet is charged.
constexpr double kChargedCallBytes = 1500;
// Quantile of a service's latencies that stands for answers of targets that
// were neither slow nor full.
constexpr double kUsualLatencyQuantile = 0.3;
// Cost of a kilobyte in the own failure domain, in the region and on the paid
// link between regions, as a fraction of the value of a lookup.
constexpr std::array<double, 3> kCostPerKilobyte = {0, 0.03, 0.2};
// Upper bound of a call's link cost, as a fraction of the value of the call.
constexpr double kMaxLinkCost = 0.5;
// Factor on the link cost of an action: an action has a higher value, so its
// bytes cost a smaller fraction of it.
constexpr double kActionCostFactor = 0.4;
constexpr double kBytesPerKilobyte = 1000;
// Assumed size of the headers of request and answer, between caller and daemon
// and between the daemons, in bytes.
constexpr double kHeaderBytes = 800;
// Assumed size of a call, in kilobytes, on a route that has had no answer yet.
constexpr double kDefaultCallKilobytes = 2;
// The targets of a service that this daemon has not called for this long are
// not probed.
constexpr state::Millis kProbeIdleLimit(1000);

}  // namespace

class Router::Impl {
 public:
  Impl(const TargetRecord& self,
       absl::BitGenRef random,
       state::Counters* counters)
      : self_(self),
        random_(random),
        counters_(counters),
        load_meter_(counters) {}

  void UpdateConfiguration(const state::Configuration& configuration) {
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

  void UpdateTargets(const std::vector<TargetRecord>& targets,
                     state::Millis now) {
    absl::flat_hash_map<std::string, std::unique_ptr<Target>> previous;
    previous.swap(targets_);
    for (auto& [name, service] : services_) {
      service.members_.clear();
    }
    for (const TargetRecord& record : targets) {
      if (record.target_.empty()) {
        continue;
      }
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
        // When the daemon starts, all targets are new to it, but they have
        // already ramped up.
        target->serving_since_ =
            has_targets_ ? now : state::Millis(-kEjectionTime.value() * 1e6);
      }
      target->record_ = std::make_unique<TargetRecord>(record);
      AdmitMember(target.get());
      targets_.emplace(record.target_, std::move(target));
    }
    has_targets_ = has_targets_ || !targets.empty();
    // Each daemon has one target, and all daemons share the retries that a
    // service may have in a second.
    for (auto& [name, service] : services_) {
      service.retry_budget_.SetRate(
          service.policy_->retry_.budget_per_second_ /
          static_cast<double>(std::max<size_t>(1, targets_.size())));
    }
  }

  std::optional<TargetRecord> Choose(const ChoiceQuery& query,
                                     state::Millis now) {
    const auto entry = services_.find(query.service_);
    if (entry == services_.end() || entry->second.strategy_ == nullptr) {
      return std::nullopt;
    }
    ServiceState& service = entry->second;
    service.last_call_ = now;
    if (service.strategy_->weighs_links()) {
      return ChooseInAllRegions(&service, query, now);
    }
    const std::vector<Target*> local =
        Eligible(service, query, /*local=*/true, now);
    const bool local_in_time =
        std::any_of(local.begin(), local.end(), [&](const Target* target) {
          return MeetsDeadline(*target, query.deadline_left_, now);
        });
    if (local_in_time) {
      return ChooseAmong(&service, local, query, now);
    }
    const std::vector<Target*> remote =
        Eligible(service, query, /*local=*/false, now);
    if (!remote.empty() && cross_region_bytes_.Take(kChargedCallBytes, now)) {
      counters_->Add(state::Counter::kCallsCrossRegion);
      return ChooseAmong(&service, remote, query, now);
    }
    return local.empty() ? std::nullopt
                         : ChooseAmong(&service, local, query, now);
  }

  bool HasTarget(absl::string_view service) const {
    const auto entry = services_.find(service);
    return entry != services_.end() && !entry->second.members_.empty();
  }

  void OnSent(absl::string_view target, state::Millis) {
    const auto entry = targets_.find(target);
    if (entry != targets_.end()) {
      ++entry->second->own_in_flight_;
    }
  }

  void OnEnd(const AttemptOutcome& outcome, state::Millis now) {
    const auto service = services_.find(outcome.service_);
    if (service != services_.end() && outcome.end_ == AttemptEnd::kServed) {
      service->second.retry_budget_.OnSuccess();
      service->second.hedge_budget_.OnSuccess();
      service->second.latencies_.Add(outcome.latency_);
    }
    const auto entry = targets_.find(outcome.target_);
    if (entry == targets_.end()) {
      return;
    }
    Target* target = entry->second.get();
    target->own_in_flight_ = std::max(0, target->own_in_flight_ - 1);
    if (outcome.load_.has_value()) {
      target->load_.emplace(*outcome.load_);
      target->load_at_ = now;
    }
    if (outcome.end_ == AttemptEnd::kServed) {
      target->failures_ = 0;
    } else if (outcome.end_ == AttemptEnd::kFailed) {
      ++target->failures_;
      EjectIfFailing(target, now);
    }
  }

  bool TakeProbe(const std::string& address, state::Millis now) {
    for (const auto& [name, target] : targets_) {
      if (target->record_->guard_address_ == address) {
        return load_meter_.TakeProbe(LinkTo(*target->record_), name.size(),
                                     now);
      }
    }
    return load_meter_.TakeProbe(LinkClass::kCrossRegion, kUnknownNameBytes,
                                 now);
  }

  void OnSize(absl::string_view route, size_t bytes) {
    constexpr double kSampleWeight = 0.1;
    const double kilobytes =
        (static_cast<double>(bytes) + kHeaderBytes) / kBytesPerKilobyte;
    const auto [entry, inserted] = call_kilobytes_.emplace(route, kilobytes);
    if (!inserted) {
      entry->second += kSampleWeight * (kilobytes - entry->second);
    }
  }

  void OnLoad(absl::string_view target,
              const state::GuardLoad& load,
              state::Millis now) {
    const auto entry = targets_.find(target);
    if (entry == targets_.end()) {
      return;
    }
    entry->second->load_.emplace(load);
    entry->second->load_at_ = now;
  }

  std::optional<ReportedLoad> LoadOf(absl::string_view target,
                                     state::Millis now) const {
    const auto entry = targets_.find(target);
    if (entry == targets_.end() || !entry->second->load_.has_value()) {
      return std::nullopt;
    }
    return ReportedLoad{.load_ = *entry->second->load_,
                        .age_ = now - entry->second->load_at_};
  }

  state::Millis UsualLatency(absl::string_view service) const {
    const auto entry = services_.find(service);
    return entry == services_.end()
               ? state::Millis()
               : entry->second.latencies_.Quantile(kUsualLatencyQuantile)
                     .value_or(state::Millis());
  }

  bool TakeRetry(absl::string_view service, state::Millis now) {
    const auto entry = services_.find(service);
    return entry != services_.end() && entry->second.retry_budget_.Take(now);
  }

  bool TakeHedge(absl::string_view service, state::Millis now) {
    const auto entry = services_.find(service);
    return entry != services_.end() && entry->second.hedge_budget_.Take(now);
  }

  std::optional<state::Millis> HedgeDelay(absl::string_view service) const {
    const auto entry = services_.find(service);
    if (entry == services_.end()) {
      return std::nullopt;
    }
    const ServiceState& service_state = entry->second;
    return service_state.latencies_.Quantile(
        service_state.policy_->hedge_.quantile_);
  }

  Commands Tick(state::Millis now) {
    Commands commands;
    for (auto& [name, service] : services_) {
      if (IsProbed(service, now)) {
        Append(&commands, ProbeOne(service, now));
      }
    }
    return commands;
  }

  bool SendsProbes(state::Millis now) const {
    return std::any_of(
        services_.begin(), services_.end(),
        [now](const auto& entry) { return IsProbed(entry.second, now); });
  }

 private:
  struct Target {
    std::unique_ptr<const TargetRecord> record_;
    int own_in_flight_ = 0;
    std::optional<state::GuardLoad> load_;
    state::Millis load_at_;
    state::Millis serving_since_;
    int failures_ = 0;
    state::Millis ejected_until_;
  };

  struct ServiceState {
    std::unique_ptr<const state::Service> policy_;
    std::unique_ptr<Strategy> strategy_;
    std::vector<Target*> members_;
    RatioBudget retry_budget_;
    RatioBudget hedge_budget_;
    LatencyWindow latencies_;
    std::optional<state::Millis> last_call_;
  };

  static bool IsProbed(const ServiceState& service, state::Millis now) {
    const bool is_called = service.last_call_.has_value() &&
                           now - *service.last_call_ < kProbeIdleLimit;
    return is_called && !service.members_.empty() &&
           service.strategy_ != nullptr && service.strategy_->uses_probes();
  }

  LinkClass LinkTo(const TargetRecord& record) const {
    if (record.region_ != self_.region_) {
      return LinkClass::kCrossRegion;
    }
    return record.failure_domain_ == self_.failure_domain_ ? LinkClass::kDomain
                                                           : LinkClass::kRegion;
  }

  // Makes the target a member of its service if the admission policy allows it.
  void AdmitMember(Target* target) {
    const TargetRecord& record = *target->record_;
    const auto entry = services_.find(record.service_);
    if (entry == services_.end()) {
      return;
    }
    const state::AdmissionPolicy& policy = entry->second.policy_->admission_;
    const bool domain_allowed =
        policy.failure_domains_.empty() ||
        std::count(policy.failure_domains_.begin(),
                   policy.failure_domains_.end(), record.failure_domain_) > 0;
    const bool has_capacity =
        static_cast<int>(entry->second.members_.size()) < policy.max_targets_;
    if (domain_allowed && has_capacity && record.slots_ <= policy.max_slots_) {
      entry->second.members_.push_back(target);
    }
  }

  // Returns the targets on this or the other side of the region's border that
  // may take the call. Ejected ones are returned only when there is no other.
  std::vector<Target*> Eligible(const ServiceState& service,
                                const ChoiceQuery& query,
                                bool local,
                                state::Millis now) const {
    std::vector<Target*> eligible;
    std::vector<Target*> ejected;
    for (Target* target : service.members_) {
      const TargetRecord& record = *target->record_;
      const bool is_local = LinkTo(record) != LinkClass::kCrossRegion;
      const bool is_tried = std::count(query.tried_.begin(), query.tried_.end(),
                                       record.target_) > 0;
      const bool takes_work = record.state_ == TargetState::kServing &&
                              GuardTakesWork(*target, now);
      if (is_local != local || is_tried || !takes_work) {
        continue;
      }
      (now < target->ejected_until_ ? ejected : eligible).push_back(target);
    }
    return eligible.empty() ? ejected : eligible;
  }

  // Returns whether the last report of the target's guard allows new work.
  // After a report of draining the target is not tried until a probe reply or
  // the membership reports that it serves again: without control instances the
  // membership continues to list the target as serving.
  static bool GuardTakesWork(const Target& target, state::Millis now) {
    if (!target.load_.has_value()) {
      return true;
    }
    const TargetState reported = target.load_->state_;
    const bool is_leaving =
        reported == TargetState::kDraining || reported == TargetState::kLeft;
    return reported == TargetState::kServing ||
           (!is_leaving && now - target.load_at_ > kEjectionTime);
  }

  static bool MeetsDeadline(const Target& target,
                            state::Millis deadline_left,
                            state::Millis now) {
    const bool has_recent_load =
        target.load_.has_value() && now - target.load_at_ < kEjectionTime;
    return !has_recent_load || target.load_->latency_ < deadline_left;
  }

  // Chooses among the targets of all regions, for a strategy that weighs links.
  // Only targets of the own region remain once the budget of the paid link is
  // spent.
  std::optional<TargetRecord> ChooseInAllRegions(ServiceState* service,
                                                 const ChoiceQuery& query,
                                                 state::Millis now) {
    std::vector<Target*> targets =
        Eligible(*service, query, /*local=*/true, now);
    const std::vector<Target*> remote =
        Eligible(*service, query, /*local=*/false, now);
    const size_t local_count = targets.size();
    targets.insert(targets.end(), remote.begin(), remote.end());
    if (targets.empty()) {
      return std::nullopt;
    }
    std::optional<TargetRecord> chosen =
        ChooseAmong(service, targets, query, now);
    if (!service->strategy_->can_meet_objective()) {
      return std::nullopt;
    }
    if (LinkTo(*chosen) != LinkClass::kCrossRegion) {
      return chosen;
    }
    if (cross_region_bytes_.Take(kChargedCallBytes, now)) {
      counters_->Add(state::Counter::kCallsCrossRegion);
      return chosen;
    }
    targets.resize(local_count);
    return targets.empty() ? std::nullopt
                           : ChooseAmong(service, targets, query, now);
  }

  std::optional<TargetRecord> ChooseAmong(ServiceState* service,
                                          const std::vector<Target*>& targets,
                                          const ChoiceQuery& query,
                                          state::Millis now) {
    std::vector<Candidate> candidates;
    candidates.reserve(targets.size());
    for (const Target* target : targets) {
      candidates.push_back(CandidateOf(*target, *service->policy_, query, now));
    }
    const size_t index = service->strategy_->Choose(candidates, random_);
    return *targets[index]->record_;
  }

  // Returns the cost of a call's bytes on a link, as a fraction of the call's
  // value.
  double LinkCost(LinkClass link, const ChoiceQuery& query) const {
    const auto entry = call_kilobytes_.find(query.route_);
    const double kilobytes =
        entry == call_kilobytes_.end() ? kDefaultCallKilobytes : entry->second;
    const double cost =
        kCostPerKilobyte.at(static_cast<size_t>(link)) * kilobytes;
    return std::min(kMaxLinkCost, cost) *
           (query.is_action_ ? kActionCostFactor : 1);
  }

  Candidate CandidateOf(const Target& target,
                        const state::Service& policy,
                        const ChoiceQuery& query,
                        state::Millis now) const {
    constexpr state::Millis kLinkLatency[] = {
        state::Millis(0), kRegionRoundTrip, kCrossRegionRoundTrip};
    const double ramp_up_ms = std::max(1.0, policy.ramp_up_.value());
    const double ramp = (now - target.serving_since_).value() / ramp_up_ms;
    const LinkClass link = LinkTo(*target.record_);
    return Candidate{.target_ = target.record_->target_,
                     .own_in_flight_ = target.own_in_flight_,
                     .has_load_ = target.load_.has_value(),
                     .load_ = target.load_.value_or(state::GuardLoad{}),
                     .load_age_ = now - target.load_at_,
                     .link_latency_ = kLinkLatency[static_cast<size_t>(link)],
                     .link_cost_ = LinkCost(link, query),
                     .objective_left_ = query.objective_left_,
                     .deadline_left_ = query.deadline_left_,
                     .slots_ = target.record_->slots_,
                     .ramp_up_fraction_ = std::clamp(ramp, 0.0, 1.0)};
  }

  // Ejects a target after repeated failures, unless more than half of its
  // service's targets would be ejected: then the fault is likely elsewhere.
  void EjectIfFailing(Target* target, state::Millis now) {
    const auto entry = services_.find(target->record_->service_);
    if (target->failures_ < kFailuresToEject || entry == services_.end()) {
      return;
    }
    const std::vector<Target*>& members = entry->second.members_;
    const auto ejected = std::count_if(
        members.begin(), members.end(),
        [now](const Target* member) { return now < member->ejected_until_; });
    if (2 * (ejected + 1) > static_cast<int64_t>(members.size())) {
      return;
    }
    target->ejected_until_ = now + kEjectionTime;
    target->failures_ = 0;
    counters_->Add(state::Counter::kTargetsEjected);
  }

  Commands ProbeOne(const ServiceState& service, state::Millis now) {
    const Target* target = service.members_[absl::Uniform<size_t>(
        random_, 0, service.members_.size())];
    const bool is_fresh =
        target->load_.has_value() && now - target->load_at_ < kMinProbedLoadAge;
    const bool is_own_target =
        target->record_->guard_address_ == self_.guard_address_;
    if (is_fresh || is_own_target) {
      return {};
    }
    if (!load_meter_.TakeProbe(LinkTo(*target->record_),
                               target->record_->target_.size(), now)) {
      return {};
    }
    return {SendToPeer{.address_ = target->record_->guard_address_,
                       .message_ = Probe{.probe_id_ = next_probe_id_++}}};
  }

  const TargetRecord self_;
  absl::BitGenRef random_;
  state::Counters* const counters_;
  std::map<std::string, ServiceState, std::less<>> services_;
  absl::flat_hash_map<std::string, std::unique_ptr<Target>> targets_;
  // Smoothed size of the calls of each route, in kilobytes.
  absl::flat_hash_map<std::string, double> call_kilobytes_;
  bool has_targets_ = false;
  LoadMeter load_meter_;
  state::TokenBucket cross_region_bytes_;
  uint64_t next_probe_id_ = 1;
};

Router::Router(TargetRecord self,
               absl::BitGenRef random,
               state::Counters* counters)
    : impl_(std::make_unique<Impl>(self, random, counters)) {}

Router::~Router() = default;

void Router::UpdateConfiguration(const state::Configuration& configuration) {
  impl_->UpdateConfiguration(configuration);
}

void Router::UpdateTargets(const std::vector<TargetRecord>& targets,
                           state::Millis now) {
  impl_->UpdateTargets(targets, now);
}

std::optional<TargetRecord> Router::Choose(const ChoiceQuery& query,
                                           state::Millis now) {
  return impl_->Choose(query, now);
}

bool Router::HasTarget(absl::string_view service) const {
  return impl_->HasTarget(service);
}

void Router::OnSent(absl::string_view target, state::Millis now) {
  impl_->OnSent(target, now);
}

void Router::OnEnd(const AttemptOutcome& outcome, state::Millis now) {
  impl_->OnEnd(outcome, now);
}

bool Router::TakeProbe(const std::string& address, state::Millis now) {
  return impl_->TakeProbe(address, now);
}

void Router::OnSize(absl::string_view route, size_t bytes) {
  impl_->OnSize(route, bytes);
}

void Router::OnLoad(absl::string_view target,
                    const state::GuardLoad& load,
                    state::Millis now) {
  impl_->OnLoad(target, load, now);
}

std::optional<ReportedLoad> Router::LoadOf(absl::string_view target,
                                           state::Millis now) const {
  return impl_->LoadOf(target, now);
}

state::Millis Router::UsualLatency(absl::string_view service) const {
  return impl_->UsualLatency(service);
}

bool Router::TakeRetry(absl::string_view service, state::Millis now) {
  return impl_->TakeRetry(service, now);
}

bool Router::TakeHedge(absl::string_view service, state::Millis now) {
  return impl_->TakeHedge(service, now);
}

std::optional<state::Millis> Router::HedgeDelay(
    absl::string_view service) const {
  return impl_->HedgeDelay(service);
}

bool Router::SendsProbes(state::Millis now) const {
  return impl_->SendsProbes(now);
}

Commands Router::Tick(state::Millis now) {
  return impl_->Tick(now);
}

}  // namespace gooseberrygap::coordination
