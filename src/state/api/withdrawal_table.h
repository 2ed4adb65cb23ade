#ifndef STATE_API_WITHDRAWAL_TABLE_H_
#define STATE_API_WITHDRAWAL_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/api/target.h"

namespace gooseberrygap::state {

// Records in the replicated log that a target of the instance has withdrawn.
struct WithdrawTarget {
  const std::string instance_ = {};
  const TargetWithdrawal withdrawal_ = {};

  friend bool operator==(const WithdrawTarget&,
                         const WithdrawTarget&) = default;
};

struct StoredWithdrawal {
  const std::string instance_ = {};
  const TargetWithdrawal withdrawal_ = {};
  const uint64_t wall_millis_ = 0;  // Wall time of the command.

  friend bool operator==(const StoredWithdrawal&,
                         const StoredWithdrawal&) = default;
};

// Returns whether `known` says at least as much as `other`: it is the same
// withdrawal or a later one at the same instance. Every withdrawal covers an
// empty one. Thread-safe.
bool Covers(const TargetWithdrawal& known, const TargetWithdrawal& other);

// The last withdrawal of a target at each instance: a deterministic state
// machine, so that replicas that apply the same commands agree. Not
// thread-safe.
class WithdrawalTable {
 public:
  // Applies the command with the proposer's wall time. Has no effect when a
  // later withdrawal is known. Removes entries that are too old to be needed.
  void Apply(const WithdrawTarget& command, uint64_t wall_millis);

  // Returns the last withdrawal at the instance; one without a name when there
  // was none.
  const TargetWithdrawal& Find(const std::string& instance) const;

  std::vector<StoredWithdrawal> Snapshot() const;
  void Restore(const std::vector<StoredWithdrawal>& withdrawals);

 private:
  std::map<std::string, StoredWithdrawal> withdrawals_;  // By instance.
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_WITHDRAWAL_TABLE_H_
