#include "coordination/internal/router_impl.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace gooseberrygap::coordination {

namespace {

// Assumed length of the name of an unknown target, in bytes.
constexpr size_t kUnknownNameBytes = 255;
// A target is ejected after this many consecutive failures.
constexpr int kFailuresToEject = 5;
// A target whose load report is younger than this is not probed.
constexpr state::Millis kMinProbedLoadAge(20);
// The targets of a service that this daemon has not called for this long are
// not probed.
constexpr state::Millis kProbeIdleLimit(1000);

}  // namespace

void Router::Impl::OnSent(absl::string_view target, state::Millis) {
  const auto entry = targets_.find(target);
  if (entry != targets_.end()) {
    ++entry->second->own_in_flight_;
  }
}

void Router::Impl::OnEnd(const AttemptOutcome& outcome, state::Millis now) {
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
    if (outcome.served_.has_value()) {
      OnServed(*target, outcome, *outcome.served_, now);
    }
  } else if (outcome.end_ == AttemptEnd::kFailed) {
    ++target->failures_;
    EjectIfFailing(target, now);
  }
}

void Router::Impl::OnLoad(absl::string_view target,
                          const state::GuardLoad& load,
                          state::Millis now) {
  const auto entry = targets_.find(target);
  if (entry == targets_.end()) {
    return;
  }
  entry->second->load_.emplace(load);
  entry->second->load_at_ = now;
}

std::optional<ReportedLoad> Router::Impl::LoadOf(absl::string_view target,
                                                 state::Millis now) const {
  const auto entry = targets_.find(target);
  if (entry == targets_.end() || !entry->second->load_.has_value()) {
    return std::nullopt;
  }
  return ReportedLoad{.load_ = *entry->second->load_,
                      .age_ = now - entry->second->load_at_};
}

void Router::Impl::EjectIfFailing(Target* target, state::Millis now) {
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

bool Router::Impl::TakeProbe(const std::string& address, state::Millis now) {
  for (const auto& [name, target] : targets_) {
    if (target->record_->guard_address_ == address) {
      return load_meter_.TakeProbe(LinkTo(*target->record_), name.size(), now);
    }
  }
  return load_meter_.TakeProbe(LinkClass::kCrossRegion, kUnknownNameBytes, now);
}

Commands Router::Impl::Tick(state::Millis now) {
  Commands commands;
  for (auto& [name, service] : services_) {
    Append(&commands, ProbeCold(&service, now));
    if (IsProbed(service, now)) {
      Append(&commands, ProbeOne(service, now));
    }
  }
  return commands;
}

bool Router::Impl::SendsProbes(state::Millis now) const {
  return std::any_of(
      services_.begin(), services_.end(),
      [now](const auto& entry) { return IsProbed(entry.second, now); });
}

bool Router::Impl::IsProbed(const ServiceState& service, state::Millis now) {
  const bool is_called = service.last_call_.has_value() &&
                         now - *service.last_call_ < kProbeIdleLimit;
  return is_called && !service.members_.empty() &&
         service.strategy_ != nullptr && service.strategy_->uses_probes();
}

Commands Router::Impl::ProbeOne(const ServiceState& service,
                                state::Millis now) {
  const Target* target =
      service
          .members_[absl::Uniform<size_t>(random_, 0, service.members_.size())];
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

}  // namespace gooseberrygap::coordination
