#include <algorithm>

#include "absl/random/distributions.h"
#include "coordination/internal/router_impl.h"

namespace gooseberrygap::coordination {

namespace {

constexpr double kMillisPerSecond = 1000;
// A cold target is avoided, so that no answer tells when it is warm. It is
// probed this often instead: 22 targets then cost 22 messages a second of the
// 50 that the load budget has by default.
constexpr state::Millis kColdProbeInterval(2000);
// The targets of a service that this daemon has not called for this long are
// not probed.
constexpr state::Millis kProbeIdleLimit(1000);
// Targets that one tick looks at, so that its cost does not grow with the
// fleet.
constexpr size_t kColdScan = 8;

}  // namespace

double Router::Impl::ColdRate(const Target& target,
                              const state::WarmupPolicy& policy,
                              state::Millis now) {
  if (policy.requests_per_second_ <= 0) {
    return 0;
  }
  if (!target.load_.has_value()) {
    return now - target.serving_since_ < policy.duration_
               ? policy.requests_per_second_
               : 0;
  }
  return now - target.load_at_ < policy.duration_
             ? target.load_->admissions_per_second_
             : 0;
}

bool Router::Impl::HasShare(Target* target, double rate, state::Millis now) {
  const double share =
      rate / static_cast<double>(std::max<size_t>(1, targets_.size()));
  if (!target->share_at_.has_value()) {
    // The daemons learn of a target together and must not send together.
    target->share_ = absl::Uniform<double>(random_, 0, 1);
  } else {
    const double elapsed = (now - *target->share_at_).value();
    target->share_ =
        std::min(1.0, target->share_ + elapsed * share / kMillisPerSecond);
  }
  target->share_at_ = now;
  return target->share_ >= 1;
}

Router::Impl::ByWarmth Router::Impl::SplitByWarmth(
    const ServiceState& service,
    const std::vector<Target*>& targets,
    state::Millis now) {
  ByWarmth split;
  for (Target* target : targets) {
    const double rate = ColdRate(*target, service.policy_->warmup_, now);
    if (rate <= 0) {
      target->share_at_.reset();
      split.warm_.push_back(target);
    } else if (HasShare(target, rate, now)) {
      split.cold_with_share_.push_back(target);
    } else {
      split.cold_.push_back(target);
    }
  }
  return split;
}

std::vector<Router::Impl::Target*> Router::Impl::Preferred(
    const ByWarmth& split,
    bool allows_exhausted) {
  if (!split.warm_.empty()) {
    return split.warm_;
  }
  if (!split.cold_with_share_.empty()) {
    return split.cold_with_share_;
  }
  return allows_exhausted ? split.cold_ : std::vector<Target*>();
}

void Router::Impl::TakeShare(const state::TargetRecord& chosen) {
  const auto entry = targets_.find(chosen.target_);
  if (entry != targets_.end() && entry->second->share_at_.has_value()) {
    entry->second->share_ = std::max(0.0, entry->second->share_ - 1);
  }
}

Commands Router::Impl::ProbeCold(ServiceState* service, state::Millis now) {
  const bool is_called = service->last_call_.has_value() &&
                         now - *service->last_call_ < kProbeIdleLimit;
  const size_t count = service->members_.size();
  if (!is_called || service->policy_->warmup_.requests_per_second_ <= 0) {
    return {};
  }
  for (size_t i = 0; i < std::min(count, kColdScan); ++i) {
    Target* target = service->members_[service->next_cold_++ % count];
    const bool is_due = !target->cold_probe_at_.has_value() ||
                        now - *target->cold_probe_at_ >= kColdProbeInterval;
    if (!is_due || ColdRate(*target, service->policy_->warmup_, now) <= 0) {
      continue;
    }
    if (!load_meter_.TakeProbe(LinkTo(*target->record_),
                               target->record_->target_.size(), now)) {
      // The next tick begins with this one.
      --service->next_cold_;
      return {};
    }
    target->cold_probe_at_ = now;
    return {SendToPeer{.address_ = target->record_->guard_address_,
                       .message_ = Probe{.probe_id_ = next_probe_id_++}}};
  }
  return {};
}

}  // namespace gooseberrygap::coordination
