#include "coordination/internal/guard_target.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::TargetState;

// The target announces itself every second; after three misses it is gone.
constexpr state::Millis kAnnouncementLifetime(3000);

}  // namespace

void GuardTarget::UpdateConfiguration(
    const state::IndexedConfiguration& configuration) {
  configuration_.emplace(configuration);
}

void GuardTarget::UpdateRefusedFingerprints(
    const std::vector<RefusedFingerprint>& fingerprints) {
  convicted_.clear();
  suspects_.clear();
  for (const RefusedFingerprint& refused : fingerprints) {
    (refused.convicted_ ? convicted_ : suspects_).insert(refused.fingerprint_);
  }
}

bool GuardTarget::Announce(const TargetAnnounced& announced,
                           state::Millis now) {
  last_announced_ = now;
  const bool is_new_process =
      announced.incarnation_ != 0 && known() &&
      announced_->incarnation_ != announced.incarnation_;
  announced_.emplace(announced);
  if (draining_ && announced.state_ != TargetState::kLeft) {
    SetState(TargetState::kDraining);
  }
  return is_new_process;
}

void GuardTarget::SetState(TargetState target_state) {
  if (!known()) {
    return;
  }
  const TargetAnnounced old = *announced_;
  announced_.emplace(TargetAnnounced{.target_ = old.target_,
                                     .service_ = old.service_,
                                     .address_ = old.address_,
                                     .slots_ = old.slots_,
                                     .state_ = target_state,
                                     .incarnation_ = old.incarnation_});
}

void GuardTarget::Drain() {
  draining_ = true;
  SetState(TargetState::kDraining);
}

bool GuardTarget::IsGone(state::Millis now) const {
  return known() && announced_->state_ != TargetState::kLeft &&
         now - last_announced_ > kAnnouncementLifetime;
}

TargetState GuardTarget::state() const {
  return known() ? announced_->state_ : TargetState::kLeft;
}

const TargetAnnounced& GuardTarget::announced() const {
  static const TargetAnnounced kNone;
  return known() ? *announced_ : kNone;
}

RefusalReason GuardTarget::Check(const Attempt& attempt,
                                 int running,
                                 int queued,
                                 state::Millis expected) const {
  if (!known() || state() == TargetState::kStarting) {
    return RefusalReason::kNotServing;
  }
  if (state() != TargetState::kServing) {
    return RefusalReason::kDraining;
  }
  if (announced_->target_ != attempt.target_ ||
      announced_->service_ != attempt.service_) {
    return RefusalReason::kNoTarget;
  }
  if (convicted_.contains(attempt.digest_)) {
    return RefusalReason::kPoisoned;
  }
  const RefusalReason stale = CheckConfiguration(attempt);
  return stale != RefusalReason::kNone
             ? stale
             : CheckLoad(attempt, running, queued, expected);
}

RefusalReason GuardTarget::CheckConfiguration(const Attempt& attempt) const {
  const bool is_newer_here =
      configuration_.has_value() && configuration_->configuration_ != nullptr &&
      configuration_->index_ > attempt.configuration_index_;
  if (!is_newer_here) {
    return RefusalReason::kNone;
  }
  const state::Service* service =
      state::FindService(*configuration_->configuration_, attempt.service_);
  const state::Rule* rule =
      service == nullptr ? nullptr
                         : state::FindRule(*service, attempt.request_.method_,
                                           attempt.request_.path_);
  const bool is_same =
      rule != nullptr && rule->request_class_ == attempt.request_class_;
  return is_same ? RefusalReason::kNone : RefusalReason::kStaleConfiguration;
}

RefusalReason GuardTarget::CheckLoad(const Attempt& attempt,
                                     int running,
                                     int queued,
                                     state::Millis expected) const {
  if (running < slots() && queued == 0) {
    return RefusalReason::kNone;
  }
  const bool has_configuration =
      configuration_.has_value() && configuration_->configuration_ != nullptr;
  const state::Service* service =
      has_configuration ? state::FindService(*configuration_->configuration_,
                                             attempt.service_)
                        : nullptr;
  if (service == nullptr || queued >= service->max_queue_) {
    return RefusalReason::kOverloaded;
  }
  // Elsewhere a slot may be free, so a first attempt is queued only briefly.
  const bool is_short_queue = queued < std::max(1, slots() / 4);
  const bool fits = expected <= attempt.deadline_left_;
  return attempt.may_queue_ || (fits && is_short_queue)
             ? RefusalReason::kNone
             : RefusalReason::kOverloaded;
}

}  // namespace gooseberrygap::coordination
