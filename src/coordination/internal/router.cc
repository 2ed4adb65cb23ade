#include "coordination/internal/router_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::TargetRecord;

// Quantile of a service's latencies that stands for answers of targets that
// were neither slow nor full.
constexpr double kUsualLatencyQuantile = 0.3;

}  // namespace

state::Millis Router::Impl::UsualLatency(absl::string_view service) const {
  const auto entry = services_.find(service);
  return entry == services_.end()
             ? state::Millis()
             : entry->second.latencies_.Quantile(kUsualLatencyQuantile)
                   .value_or(state::Millis());
}

bool Router::Impl::TakeRetry(absl::string_view service, state::Millis now) {
  const auto entry = services_.find(service);
  return entry != services_.end() && entry->second.retry_budget_.Take(now);
}

bool Router::Impl::TakeHedge(absl::string_view service, state::Millis now) {
  const auto entry = services_.find(service);
  return entry != services_.end() && entry->second.hedge_budget_.Take(now);
}

std::optional<state::Millis> Router::Impl::HedgeDelay(
    absl::string_view service) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) {
    return std::nullopt;
  }
  const ServiceState& service_state = entry->second;
  return service_state.latencies_.Quantile(
      service_state.policy_->hedge_.quantile_);
}

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

void Router::UpdateEvacuations(const state::Evacuations& evacuations,
                               state::Millis now) {
  impl_->UpdateEvacuations(evacuations, now);
}

std::optional<TargetRecord> Router::Choose(const ChoiceQuery& query,
                                           state::Millis now) {
  return impl_->Choose(query, now);
}

bool Router::HasTarget(absl::string_view service,
                       const state::AllowedRegions& allowed) const {
  return impl_->HasTarget(service, allowed);
}

bool Router::IsEvacuated(absl::string_view service,
                         const state::AllowedRegions& allowed) const {
  return impl_->IsEvacuated(service, allowed);
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
