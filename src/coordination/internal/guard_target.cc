#include "coordination/internal/guard_target.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::TargetState;

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
  if (IsStale(announced) || NamesUnknownService(announced)) {
    return false;
  }
  last_announced_ = now;
  const bool is_new_process =
      has_announcement() &&
      (announcement_->target_ != announced.target_ ||
       (announced.incarnation_ != 0 &&
        announcement_->incarnation_ != announced.incarnation_));
  withdrawn_ = withdrawn_ && !is_new_process;
  const bool was_draining =
      has_announcement() && announcement_->state_ == TargetState::kDraining;
  const bool is_known_withdrawal =
      was_draining && withdrawal_.has_value() &&
      withdrawal_->target_ == announced.target_ &&
      withdrawal_->incarnation_ == announced.incarnation_;
  if (announced.state_ == TargetState::kDraining && !is_known_withdrawal) {
    SetWithdrawal(announced, TargetState::kDraining);
  }
  announcement_.emplace(announced);
  if (draining_ && announced.state_ != TargetState::kLeft) {
    SetState(TargetState::kDraining);
  }
  return is_new_process;
}

void GuardTarget::SetWithdrawal(const TargetAnnounced& announced,
                                TargetState target_state) {
  // Without an incarnation, a later process could not be told apart.
  if (announced.incarnation_ != 0) {
    withdrawal_.emplace(
        state::TargetWithdrawal{.target_ = announced.target_,
                                .incarnation_ = announced.incarnation_,
                                .sequence_ = announced.sequence_,
                                .state_ = target_state});
  }
}

bool GuardTarget::IsWithdrawn(const TargetAnnounced& announced) const {
  if (!withdrawal_.has_value() || announced.incarnation_ == 0 ||
      announced.target_ != withdrawal_->target_) {
    return false;
  }
  if (announced.incarnation_ != withdrawal_->incarnation_) {
    return announced.incarnation_ < withdrawal_->incarnation_;
  }
  return withdrawal_->state_ == TargetState::kLeft ||
         (withdrawal_->sequence_ != 0 &&
          announced.sequence_ <= withdrawal_->sequence_);
}

bool GuardTarget::IsStale(const TargetAnnounced& announced) const {
  if (IsWithdrawn(announced)) {
    return true;
  }
  const uint64_t known_incarnation = has_announcement()
                                         ? announcement_->incarnation_
                                         : withdrawal().incarnation_;
  if (announced.incarnation_ == 0 && known_incarnation != 0) {
    // The target reports its incarnation, so that this comes from another
    // writer.
    return true;
  }
  if (!has_announcement() || announcement_->incarnation_ == 0) {
    return false;
  }
  if (announced.incarnation_ != announcement_->incarnation_) {
    return announced.incarnation_ < announcement_->incarnation_;
  }
  // A target may count from 0; one that does not count always says 0.
  return withdrawn_ || (announcement_->sequence_ != 0 &&
                        announced.sequence_ <= announcement_->sequence_);
}

bool GuardTarget::NamesUnknownService(const TargetAnnounced& announced) const {
  if (!has_announcement() || !configuration_.has_value() ||
      configuration_->configuration_ == nullptr) {
    return false;
  }
  const state::Configuration& configuration = *configuration_->configuration_;
  return state::FindService(configuration, announced.service_) == nullptr &&
         state::FindService(configuration, announcement_->service_) != nullptr;
}

void GuardTarget::Withdraw(const TargetWithdrawn& withdrawn) {
  const bool is_for_target =
      has_announcement() &&
      (withdrawn.target_.empty() ||
       withdrawn.target_ == announcement_->target_) &&
      (withdrawn.incarnation_ == 0 || announcement_->incarnation_ == 0 ||
       withdrawn.incarnation_ == announcement_->incarnation_);
  // Empty when the daemon withdraws the target, as it does when it stops.
  const bool is_by_target = !withdrawn.target_.empty();
  if (is_for_target) {
    withdrawn_ = true;
    SetState(TargetState::kLeft);
    if (is_by_target) {
      SetWithdrawal(*announcement_, TargetState::kLeft);
    }
  } else if (is_by_target && !has_announcement()) {
    // The daemon has restarted since the target's last announcement.
    SetWithdrawal(TargetAnnounced{.target_ = withdrawn.target_,
                                  .incarnation_ = withdrawn.incarnation_},
                  TargetState::kLeft);
  }
}

bool GuardTarget::RestoreWithdrawal(const state::TargetWithdrawal& withdrawal) {
  if (state::Covers(GuardTarget::withdrawal(), withdrawal)) {
    return false;
  }
  withdrawal_.emplace(withdrawal);
  if (!has_announcement() || !IsWithdrawn(*announcement_)) {
    return false;
  }
  withdrawn_ = withdrawal.state_ == TargetState::kLeft;
  SetState(withdrawal.state_);
  return true;
}

const state::TargetWithdrawal& GuardTarget::withdrawal() const {
  static const state::TargetWithdrawal kNone;
  return withdrawal_.has_value() ? *withdrawal_ : kNone;
}

void GuardTarget::SetState(TargetState target_state) {
  if (!has_announcement()) {
    return;
  }
  const TargetAnnounced old = *announcement_;
  announcement_.emplace(
      TargetAnnounced{.target_ = old.target_,
                      .service_ = old.service_,
                      .address_ = old.address_,
                      .slots_ = old.slots_,
                      .state_ = target_state,
                      .incarnation_ = old.incarnation_,
                      .sequence_ = old.sequence_,
                      .warmup_remaining_ = old.warmup_remaining_});
}

void GuardTarget::Drain() {
  draining_ = true;
  SetState(TargetState::kDraining);
}

bool GuardTarget::HasExpired(state::Millis now) const {
  return has_announcement() && announcement_->state_ != TargetState::kLeft &&
         now - last_announced_ > announcement_lifetime_;
}

TargetState GuardTarget::state() const {
  return has_announcement() ? announcement_->state_ : TargetState::kLeft;
}

const TargetAnnounced& GuardTarget::announcement() const {
  static const TargetAnnounced kNone;
  return has_announcement() ? *announcement_ : kNone;
}

const state::Service* GuardTarget::OwnService() const {
  return has_announcement() && has_configuration()
             ? state::FindService(*configuration_->configuration_,
                                  announcement_->service_)
             : nullptr;
}

std::string GuardTarget::HealthPath() const {
  const state::Service* service = OwnService();
  return service == nullptr ? std::string() : service->properties_.health_path_;
}

state::WarmupPolicy GuardTarget::warmup() const {
  const state::Service* service = OwnService();
  return service == nullptr ? state::WarmupPolicy() : service->warmup_;
}

RefusalReason GuardTarget::CheckState(const Attempt& attempt) const {
  if (!has_announcement() || state() == TargetState::kStarting) {
    return RefusalReason::kNotServing;
  }
  if (state() != TargetState::kServing) {
    return RefusalReason::kDraining;
  }
  if (announcement_->target_ != attempt.target_ ||
      announcement_->service_ != attempt.service_) {
    return RefusalReason::kNoTarget;
  }
  if (convicted_.contains(attempt.digest_)) {
    return RefusalReason::kPoisoned;
  }
  return CheckConfiguration(attempt);
}

RefusalReason GuardTarget::CheckConfiguration(const Attempt& attempt) const {
  const bool is_newer_here =
      configuration_.has_value() && configuration_->configuration_ != nullptr &&
      configuration_->index_ > attempt.configuration_index_;
  if (!is_newer_here) {
    return RefusalReason::kNone;
  }
  if (!attempt.host_.empty()) {
    const state::Route* route = state::FindRoute(
        *configuration_->configuration_, attempt.host_, attempt.request_.path_);
    return route != nullptr && RoutesTo(*route, attempt)
               ? RefusalReason::kNone
               : RefusalReason::kStaleConfiguration;
  }
  return HasSameRule(attempt) ? RefusalReason::kNone
                              : RefusalReason::kStaleConfiguration;
}

bool GuardTarget::RoutesTo(const state::Route& route, const Attempt& attempt) {
  return route.request_class_ == attempt.request_class_ &&
         std::any_of(route.destinations_.begin(), route.destinations_.end(),
                     [&attempt](const state::Destination& destination) {
                       return destination.service_ == attempt.service_;
                     });
}

bool GuardTarget::HasSameRule(const Attempt& attempt) const {
  const state::Service* service =
      state::FindService(*configuration_->configuration_, attempt.service_);
  const state::Rule* rule =
      service == nullptr ? nullptr
                         : state::FindRule(*service, attempt.request_.method_,
                                           attempt.request_.path_);
  return rule != nullptr && rule->request_class_ == attempt.request_class_;
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
  // Another target may have a free slot, so a first attempt is admitted only to
  // a short queue.
  const bool is_short_queue = queued < std::max(1, slots() / 4);
  const bool fits = expected <= attempt.deadline_left_;
  return attempt.may_queue_ || (fits && is_short_queue)
             ? RefusalReason::kNone
             : RefusalReason::kOverloaded;
}

}  // namespace gooseberrygap::coordination
