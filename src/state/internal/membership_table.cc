#include "state/state.h"

namespace gooseberrygap::state {

namespace {

// How long left and suspended records stay in the table: longer than any daemon
// or control instance can lag behind before it requests the whole table.
constexpr Millis kTombstoneRetention(5.0 * 60 * 1000);

bool IsTombstone(const MembershipRecord& record) {
  return record.suspended_ || record.record_.state_ == TargetState::kLeft;
}

TargetRecord WithState(const TargetRecord& record, TargetState state) {
  return TargetRecord{.target_ = record.target_,
                      .service_ = record.service_,
                      .instance_ = record.instance_,
                      .guard_address_ = record.guard_address_,
                      .region_ = record.region_,
                      .failure_domain_ = record.failure_domain_,
                      .slots_ = record.slots_,
                      .state_ = state,
                      .version_ = record.version_,
                      .withdrawal_ = record.withdrawal_};
}

TargetRecord WithWithdrawal(const TargetRecord& record,
                            const TargetWithdrawal& withdrawal) {
  return TargetRecord{.target_ = record.target_,
                      .service_ = record.service_,
                      .instance_ = record.instance_,
                      .guard_address_ = record.guard_address_,
                      .region_ = record.region_,
                      .failure_domain_ = record.failure_domain_,
                      .slots_ = record.slots_,
                      .state_ = record.state_,
                      .version_ = record.version_,
                      .withdrawal_ = withdrawal};
}

}  // namespace

bool IsSameForRouting(const TargetRecord& left, const TargetRecord& right) {
  return left.target_ == right.target_ && left.service_ == right.service_ &&
         left.instance_ == right.instance_ &&
         left.guard_address_ == right.guard_address_ &&
         left.region_ == right.region_ &&
         left.failure_domain_ == right.failure_domain_ &&
         left.slots_ == right.slots_ && left.state_ == right.state_ &&
         left.version_.incarnation_ == right.version_.incarnation_;
}

MergeResult MembershipTable::Merge(const TargetRecord& record,
                                   absl::string_view holder,
                                   uint64_t holder_epoch,
                                   Millis now) {
  const MembershipRecord* known = Find(record.instance_);
  std::string former_service;
  if (known != nullptr) {
    if (record.version_ < known->record_.version_) {
      return MergeResult::kOlder;
    }
    const bool has_left = record.state_ == TargetState::kLeft;
    const bool known_has_left = known->record_.state_ == TargetState::kLeft;
    if (record.version_ == known->record_.version_) {
      if (has_left == known_has_left) {
        UpdateHolderEpoch(*known, holder, holder_epoch);
        return MergeResult::kSame;
      }
      if (known_has_left) {
        return MergeResult::kOlder;
      }
    }
    former_service = known->record_.service_ == record.service_
                         ? known->former_service_
                         : known->record_.service_;
  }
  const bool is_same_for_routing = known != nullptr && !known->suspended_ &&
                                   IsSameForRouting(known->record_, record);
  const bool keeps_withdrawal =
      known != nullptr && record.withdrawal_.target_.empty();
  Put(MembershipRecord{
      .record_ = keeps_withdrawal
                     ? WithWithdrawal(record, known->record_.withdrawal_)
                     : record,
      .holder_ = std::string(holder),
      .holder_epoch_ = holder_epoch,
      .former_service_ = former_service,
      .change_version_ = ++version_,
      .changed_at_ = now});
  if (!is_same_for_routing) {
    routing_version_ = version_;
  }
  return MergeResult::kNewer;
}

void MembershipTable::UpdateHolderEpoch(const MembershipRecord& known,
                                        absl::string_view holder,
                                        uint64_t holder_epoch) {
  if (known.holder_ != holder || known.holder_epoch_ == holder_epoch) {
    return;
  }
  Put(MembershipRecord{.record_ = known.record_,
                       .holder_ = known.holder_,
                       .holder_epoch_ = holder_epoch,
                       .suspended_ = known.suspended_,
                       .former_service_ = known.former_service_,
                       .change_version_ = known.change_version_,
                       .changed_at_ = known.changed_at_});
}

bool MembershipTable::Expire(absl::string_view instance, Millis now) {
  const MembershipRecord* known = Find(instance);
  if (known == nullptr || known->record_.state_ == TargetState::kLeft) {
    return false;
  }
  Put(MembershipRecord{.record_ = WithState(known->record_, TargetState::kLeft),
                       .holder_ = known->holder_,
                       .holder_epoch_ = known->holder_epoch_,
                       .former_service_ = known->former_service_,
                       .change_version_ = ++version_,
                       .changed_at_ = now});
  routing_version_ = version_;
  return true;
}

bool MembershipTable::SetSuspended(absl::string_view instance,
                                   bool suspended,
                                   Millis now) {
  const MembershipRecord* known = Find(instance);
  if (known == nullptr || known->suspended_ == suspended) {
    return false;
  }
  Put(MembershipRecord{.record_ = known->record_,
                       .holder_ = known->holder_,
                       .holder_epoch_ = known->holder_epoch_,
                       .suspended_ = suspended,
                       .former_service_ = known->former_service_,
                       .change_version_ = ++version_,
                       .changed_at_ = now});
  routing_version_ = version_;
  return true;
}

void MembershipTable::Purge(Millis now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    const MembershipRecord& record = entry->second;
    if (!IsTombstone(record) ||
        now - record.changed_at_ < kTombstoneRetention) {
      ++entry;
      continue;
    }
    purged_version_ = std::max(purged_version_, record.change_version_);
    by_version_.erase(record.change_version_);
    entry = records_.erase(entry);
  }
}

const MembershipRecord* MembershipTable::Find(
    absl::string_view instance) const {
  const auto entry = records_.find(instance);
  return entry == records_.end() ? nullptr : &entry->second;
}

bool MembershipTable::HasChangesSince(uint64_t version) const {
  return version >= purged_version_ && version <= version_;
}

std::vector<MembershipRecord> MembershipTable::ChangesSince(
    uint64_t version) const {
  std::vector<MembershipRecord> changes;
  FindChange(version, [&changes](const MembershipRecord& record) {
    changes.push_back(record);
    return false;
  });
  return changes;
}

const MembershipRecord* MembershipTable::FindChange(
    uint64_t version,
    absl::FunctionRef<bool(const MembershipRecord&)> matches) const {
  for (auto entry = by_version_.upper_bound(version);
       entry != by_version_.end(); ++entry) {
    const MembershipRecord& record = records_.find(entry->second)->second;
    if (matches(record)) {
      return &record;
    }
  }
  return nullptr;
}

void MembershipTable::Put(const MembershipRecord& record) {
  const std::string instance = record.record_.instance_;
  const auto known = records_.find(instance);
  if (known != records_.end()) {
    by_version_.erase(known->second.change_version_);
    records_.erase(known);
  }
  by_version_.emplace(record.change_version_, instance);
  records_.emplace(instance, record);
}

TargetRecord EffectiveRecord(const MembershipRecord& record) {
  return record.suspended_ ? WithState(record.record_, TargetState::kLeft)
                           : record.record_;
}

}  // namespace gooseberrygap::state
