#include "state/api/withdrawal_table.h"

#include "state/api/replace.h"

namespace gooseberrygap::state {

namespace {

// How long a withdrawal is kept: longer than an announcement can be delayed on
// its way to the daemon.
constexpr uint64_t kRetentionMillis = uint64_t{60} * 60 * 1000;

}  // namespace

bool Covers(const TargetWithdrawal& known, const TargetWithdrawal& other) {
  if (other.target_.empty()) {
    return true;
  }
  if (known.incarnation_ != other.incarnation_ ||
      known.target_ != other.target_) {
    return known.incarnation_ > other.incarnation_;
  }
  return known.state_ == TargetState::kLeft ||
         (other.state_ != TargetState::kLeft &&
          known.sequence_ >= other.sequence_);
}

void WithdrawalTable::Apply(const WithdrawTarget& command,
                            uint64_t wall_millis) {
  std::erase_if(withdrawals_, [wall_millis](const auto& entry) {
    return entry.second.wall_millis_ + kRetentionMillis < wall_millis;
  });
  if (!Covers(Find(command.instance_), command.withdrawal_)) {
    Replace(&withdrawals_, command.instance_,
            StoredWithdrawal{.instance_ = command.instance_,
                             .withdrawal_ = command.withdrawal_,
                             .wall_millis_ = wall_millis});
  }
}

const TargetWithdrawal& WithdrawalTable::Find(
    const std::string& instance) const {
  static const TargetWithdrawal kNone;
  const auto entry = withdrawals_.find(instance);
  return entry == withdrawals_.end() ? kNone : entry->second.withdrawal_;
}

std::vector<StoredWithdrawal> WithdrawalTable::Snapshot() const {
  std::vector<StoredWithdrawal> withdrawals;
  withdrawals.reserve(withdrawals_.size());
  for (const auto& [instance, withdrawal] : withdrawals_) {
    withdrawals.push_back(withdrawal);
  }
  return withdrawals;
}

void WithdrawalTable::Restore(
    const std::vector<StoredWithdrawal>& withdrawals) {
  withdrawals_.clear();
  for (const StoredWithdrawal& withdrawal : withdrawals) {
    withdrawals_.emplace(withdrawal.instance_, withdrawal);
  }
}

}  // namespace gooseberrygap::state
