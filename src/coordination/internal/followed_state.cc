#include "coordination/internal/followed_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrygap::coordination {

namespace {

// Ends of a hold that differ by at most this are considered equal: the
// difference is due to message latency.
constexpr state::Millis kHoldTolerance(1000);

bool HaveSameHolds(const std::vector<RefusedFingerprint>& left,
                   const std::vector<RefusedFingerprint>& right,
                   state::Millis elapsed) {
  if (left.size() != right.size()) {
    return false;
  }
  for (size_t i = 0; i < left.size(); ++i) {
    const double difference =
        (left[i].left_ - elapsed - right[i].left_).value();
    if (left[i].fingerprint_ != right[i].fingerprint_ ||
        left[i].convicted_ != right[i].convicted_ ||
        std::abs(difference) > kHoldTolerance.value()) {
      return false;
    }
  }
  return true;
}

}  // namespace

FollowedState::FollowedState(state::Counters* counters) : counters_(counters) {
  configuration_.emplace();
}

FollowedState::Changes FollowedState::Apply(const LeaseReply& reply,
                                            state::Millis now) {
  Changes changes;
  changes.configuration_ = ApplyConfiguration(reply);
  changes.membership_ = ApplyMembership(reply);
  changes.refused_fingerprints_ = ApplyRefusedFingerprints(reply, now);
  // A daemon without a configuration waits for the confirmation of one.
  changes.misses_configuration_ =
      configuration_->index_ != 0 &&
      reply.configuration_index_ > configuration_->index_;
  changes.misses_membership_ =
      reply.membership_epoch_ != 0 &&
      (reply.membership_epoch_ != membership_epoch_ ||
       reply.membership_version_ > membership_version_);
  return changes;
}

bool FollowedState::ApplyConfiguration(const LeaseReply& reply) {
  const state::IndexedConfiguration& current = *configuration_;
  if (reply.configuration_ == nullptr ||
      reply.configuration_index_ == current.index_) {
    return false;
  }
  if (reply.configuration_index_ < current.index_) {
    counters_->Add(state::Counter::kConfigurationsOlderIgnored);
    return false;
  }
  // The first configuration could be older than the one that this daemon
  // applied before its restart, unless a quorum has confirmed it.
  if (current.index_ == 0 && !reply.configuration_confirmed_) {
    return false;
  }
  if (reply.delta_base_index_ != 0 &&
      reply.delta_base_index_ != current.index_) {
    counters_->Add(state::Counter::kConfigurationDeltasUnusable);
    return false;
  }
  const std::shared_ptr<const state::Configuration> newer =
      reply.delta_base_index_ == 0
          ? reply.configuration_
          : std::make_shared<const state::Configuration>(
                state::ApplyDelta(*current.configuration_,
                                  *reply.configuration_, reply.removed_));
  configuration_.emplace(state::IndexedConfiguration{
      .index_ = reply.configuration_index_, .configuration_ = newer});
  counters_->Add(state::Counter::kConfigurationsApplied);
  return true;
}

bool FollowedState::ApplyMembership(const LeaseReply& reply) {
  // An instance that has just started does not have the whole membership yet.
  // Its partial table is used only while this daemon has no table.
  if (reply.membership_epoch_ == 0) {
    return membership_epoch_ == 0 && ApplyRecords(reply.membership_);
  }
  if (reply.membership_full_) {
    return ReplaceMembership(reply);
  }
  if (reply.membership_epoch_ != membership_epoch_ ||
      reply.membership_version_ < membership_version_) {
    return false;
  }
  // Records that lead on from a version that was lost on the way are valid by
  // themselves; the version stays, so that the lost ones are sent again.
  if (reply.membership_base_version_ <= membership_version_) {
    membership_version_ = reply.membership_version_;
  }
  return ApplyRecords(reply.membership_);
}

bool FollowedState::ApplyRecords(
    const std::vector<state::TargetRecord>& records) {
  bool changed = false;
  for (const state::TargetRecord& record : records) {
    changed = ApplyRecord(record) || changed;
  }
  return changed;
}

bool FollowedState::ReplaceMembership(const LeaseReply& reply) {
  if (reply.membership_epoch_ == membership_epoch_ &&
      reply.membership_version_ < membership_version_) {
    return false;
  }
  membership_epoch_ = reply.membership_epoch_;
  membership_version_ = reply.membership_version_;
  std::map<std::string, state::TargetRecord> old;
  old.swap(records_);
  for (const state::TargetRecord& record : reply.membership_) {
    const auto known = old.find(record.instance_);
    const bool is_newer =
        known != old.end() && record.version_ < known->second.version_;
    records_.emplace(record.instance_, is_newer ? known->second : record);
  }
  return !std::equal(old.begin(), old.end(), records_.begin(), records_.end(),
                     [](const auto& left, const auto& right) {
                       return state::IsSameForRouting(left.second,
                                                      right.second);
                     });
}

bool FollowedState::ApplyRecord(const state::TargetRecord& record) {
  const auto known = records_.find(record.instance_);
  if (known != records_.end()) {
    if (known->second == record) {
      return false;
    }
    if (state::IsSameForRouting(known->second, record) &&
        !(record.version_ < known->second.version_)) {
      state::Replace(&records_, record.instance_, record);
      return false;
    }
    if (record.version_ < known->second.version_) {
      counters_->Add(state::Counter::kMembershipStaleIgnored);
      return false;
    }
  }
  counters_->Add(state::Counter::kMembershipChanges);
  state::Replace(&records_, record.instance_, record);
  return true;
}

std::vector<RefusedFingerprint> FollowedState::MergeRefused(
    const LeaseReply& reply,
    state::Millis elapsed) const {
  std::map<std::string, RefusedFingerprint> merged;
  for (const RefusedFingerprint& refused : reply.refused_fingerprints_) {
    merged.emplace(refused.fingerprint_, refused);
  }
  // An instance that has not been up to date since its start may lack what the
  // log has.
  const bool may_lack_suspects = reply.staleness_ >= kNeverContacted;
  for (const RefusedFingerprint& known : refused_) {
    const auto entry = merged.find(known.fingerprint_);
    const bool is_replaced = entry != merged.end() &&
                             (entry->second.convicted_ || !known.convicted_);
    const bool is_kept = known.convicted_ || may_lack_suspects;
    if (known.left_ > elapsed && is_kept && !is_replaced) {
      state::Replace(&merged, known.fingerprint_,
                     RefusedFingerprint{.fingerprint_ = known.fingerprint_,
                                        .left_ = known.left_ - elapsed,
                                        .convicted_ = known.convicted_});
    }
  }
  std::vector<RefusedFingerprint> refused;
  refused.reserve(merged.size());
  for (const auto& [fingerprint, entry] : merged) {
    refused.push_back(entry);
  }
  return refused;
}

bool FollowedState::ApplyRefusedFingerprints(const LeaseReply& reply,
                                             state::Millis now) {
  const state::Millis elapsed = now - refused_at_;
  std::vector<RefusedFingerprint> refused = MergeRefused(reply, elapsed);
  if (HaveSameHolds(refused_, refused, elapsed)) {
    return false;
  }
  refused_at_ = now;
  refused_.swap(refused);
  return true;
}

bool FollowedState::ApplyEvacuations(const LeaseReply& reply) {
  if (reply.evacuations_.index_ <= evacuations_->index_) {
    return false;
  }
  evacuations_.emplace(reply.evacuations_);
  return true;
}

bool FollowedState::RemoveExpired(state::Millis now) {
  std::vector<RefusedFingerprint> left;
  for (const RefusedFingerprint& refused : refused_) {
    if (refused.left_ > now - refused_at_) {
      left.push_back(refused);
    }
  }
  if (left.size() == refused_.size()) {
    return false;
  }
  // `refused_at_` stays, since the remaining times still count from it.
  refused_.swap(left);
  return true;
}

const state::IndexedConfiguration& FollowedState::configuration() const {
  return *configuration_;
}

std::vector<state::TargetRecord> FollowedState::Targets() const {
  std::vector<state::TargetRecord> targets;
  targets.reserve(records_.size());
  for (const auto& [instance, record] : records_) {
    if (!record.service_.empty() &&
        record.state_ != state::TargetState::kLeft) {
      targets.push_back(record);
    }
  }
  return targets;
}

}  // namespace gooseberrygap::coordination
