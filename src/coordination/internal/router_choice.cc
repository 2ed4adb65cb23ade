#include "coordination/internal/router_impl.h"

#include <algorithm>
#include <array>

#include "coordination/api/service_time.h"

namespace gooseberrygap::coordination {

namespace {

using state::TargetRecord;
using state::TargetState;

// Bytes charged to the cross-region budget for a call. Its size is unknown when
// it is sent, so one packet is charged.
constexpr double kChargedCallBytes = 1500;
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

// Returns whether a call may be sent to a cold target beyond this daemon's
// share of its requests. The other daemons may not use their shares, so that a
// call without another target tries once, and queues when it is sent again.
bool AllowsExhausted(const ChoiceQuery& query) {
  return query.tried_.empty();
}

}  // namespace

std::optional<TargetRecord> Router::Impl::Choose(const ChoiceQuery& query,
                                                 state::Millis now) {
  std::optional<TargetRecord> chosen = ChooseTarget(query, now);
  if (chosen.has_value()) {
    TakeShare(*chosen);
  }
  return chosen;
}

std::optional<TargetRecord> Router::Impl::ChooseTarget(const ChoiceQuery& query,
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
  const ByWarmth split = SplitByWarmth(
      service, Eligible(service, query, /*local=*/true, now), now);
  const std::vector<Target*> local = Preferred(split, false);
  const bool local_in_time =
      std::any_of(local.begin(), local.end(), [&](const Target* target) {
        return MeetsDeadline(*target, query.deadline_left_, now);
      });
  if (local_in_time) {
    return ChooseAmong(&service, local, query, now);
  }
  const std::vector<Target*> remote = Preferred(
      SplitByWarmth(service, Eligible(service, query, /*local=*/false, now),
                    now),
      false);
  if (!remote.empty() && cross_region_bytes_.Take(kChargedCallBytes, now)) {
    counters_->Add(state::Counter::kCallsCrossRegion);
    return ChooseAmong(&service, remote, query, now);
  }
  const std::vector<Target*> left = Preferred(split, AllowsExhausted(query));
  return left.empty() ? std::nullopt : ChooseAmong(&service, left, query, now);
}

std::vector<Router::Impl::Target*> Router::Impl::Eligible(
    const ServiceState& service,
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
    const bool takes_work =
        record.state_ == TargetState::kServing && GuardTakesWork(*target, now);
    if (is_local != local || is_tried || !takes_work ||
        IsInEvacuatedDomain(record) ||
        !query.allowed_regions_.Allows(record.region_)) {
      continue;
    }
    (now < target->ejected_until_ ? ejected : eligible).push_back(target);
  }
  return eligible.empty() ? ejected : eligible;
}

bool Router::Impl::GuardTakesWork(const Target& target, state::Millis now) {
  if (!target.load_.has_value()) {
    return true;
  }
  const TargetState reported = target.load_->state_;
  const bool is_leaving =
      reported == TargetState::kDraining || reported == TargetState::kLeft;
  return reported == TargetState::kServing ||
         (!is_leaving && now - target.load_at_ > kEjectionTime);
}

bool Router::Impl::MeetsDeadline(const Target& target,
                                 state::Millis deadline_left,
                                 state::Millis now) {
  const bool has_recent_load =
      target.load_.has_value() && now - target.load_at_ < kEjectionTime;
  return !has_recent_load || target.load_->latency_ < deadline_left;
}

std::optional<TargetRecord> Router::Impl::ChooseInAllRegions(
    ServiceState* service,
    const ChoiceQuery& query,
    state::Millis now) {
  std::vector<Target*> eligible =
      Eligible(*service, query, /*local=*/true, now);
  const std::vector<Target*> remote =
      Eligible(*service, query, /*local=*/false, now);
  eligible.insert(eligible.end(), remote.begin(), remote.end());
  const ByWarmth split = SplitByWarmth(*service, eligible, now);
  std::vector<Target*> targets = Preferred(split, AllowsExhausted(query));
  if (targets.empty()) {
    return std::nullopt;
  }
  std::optional<TargetRecord> chosen =
      ChooseAmong(service, targets, query, now);
  if (!service->strategy_->can_meet_objective() && !split.warm_.empty()) {
    const ByWarmth without_warm{.cold_with_share_ = split.cold_with_share_,
                                .cold_ = split.cold_};
    std::vector<Target*> others =
        Preferred(without_warm, AllowsExhausted(query));
    if (!others.empty()) {
      targets = std::move(others);
      chosen.reset();
      chosen.emplace(*ChooseAmong(service, targets, query, now));
    }
  }
  if (!service->strategy_->can_meet_objective() &&
      !route_trials_.Take(query.route_, now)) {
    return std::nullopt;
  }
  if (LinkTo(*chosen) != LinkClass::kCrossRegion) {
    return chosen;
  }
  if (cross_region_bytes_.Take(kChargedCallBytes, now)) {
    counters_->Add(state::Counter::kCallsCrossRegion);
    return chosen;
  }
  std::erase_if(targets, [this](const Target* target) {
    return LinkTo(*target->record_) == LinkClass::kCrossRegion;
  });
  return targets.empty() ? std::nullopt
                         : ChooseAmong(service, targets, query, now);
}

std::optional<TargetRecord> Router::Impl::ChooseAmong(
    ServiceState* service,
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

double Router::Impl::LinkCost(LinkClass link, const ChoiceQuery& query) const {
  const auto entry = call_kilobytes_.find(query.route_);
  const double kilobytes =
      entry == call_kilobytes_.end() ? kDefaultCallKilobytes : entry->second;
  const double cost =
      kCostPerKilobyte.at(static_cast<size_t>(link)) * kilobytes;
  return std::min(kMaxLinkCost, cost) *
         (query.is_action_ ? kActionCostFactor : 1);
}

Candidate Router::Impl::CandidateOf(const Target& target,
                                    const state::Service& policy,
                                    const ChoiceQuery& query,
                                    state::Millis now) const {
  const double ramp_up_ms = std::max(1.0, policy.ramp_up_.value());
  const double ramp = (now - target.serving_since_).value() / ramp_up_ms;
  const LinkClass link = LinkTo(*target.record_);
  return Candidate{.target_ = target.record_->target_,
                   .own_in_flight_ = target.own_in_flight_,
                   .has_load_ = target.load_.has_value(),
                   .load_ = target.load_.value_or(state::GuardLoad{}),
                   .load_age_ = now - target.load_at_,
                   .link_latency_ = link_times_.For(*target.record_),
                   .link_cost_ = LinkCost(link, query),
                   .objective_left_ = query.objective_left_,
                   .deadline_left_ = query.deadline_left_,
                   .usual_run_time_ = route_times_.ForRoute(query.route_),
                   .slots_ = target.record_->slots_,
                   .ramp_up_fraction_ = std::clamp(ramp, 0.0, 1.0)};
}

void Router::Impl::OnServed(const Target& target,
                            const AttemptOutcome& outcome,
                            const ServedAttempt& served,
                            state::Millis now) {
  if (served.route_.empty()) {
    return;
  }
  route_trials_.OnServed(served.route_, now);
  RecordSize(served.route_, served.bytes_);
  link_times_.Add(*target.record_, outcome.latency_ - served.guard_time_);
  const int percent =
      outcome.load_.has_value() ? outcome.load_->service_time_percent_ : 0;
  if (served.run_time_ <= state::Millis(0) || IsSlowServiceTime(percent)) {
    return;
  }
  if (IsUsualServiceTime(percent)) {
    route_times_.Add(served.route_, served.run_time_);
  } else {
    route_times_.AddAtSpeed(served.route_, served.run_time_, percent);
  }
}

void Router::Impl::RecordSize(const std::string& route, size_t bytes) {
  constexpr double kSampleWeight = 0.1;
  const double kilobytes =
      (static_cast<double>(bytes) + kHeaderBytes) / kBytesPerKilobyte;
  const auto [entry, inserted] = call_kilobytes_.emplace(route, kilobytes);
  if (!inserted) {
    entry->second += kSampleWeight * (kilobytes - entry->second);
  }
}

}  // namespace gooseberrygap::coordination
