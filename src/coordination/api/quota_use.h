#ifndef COORDINATION_API_QUOTA_USE_H_
#define COORDINATION_API_QUOTA_USE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrygap::coordination {

// Use of one tenant's quota, for operators.
struct QuotaUse {
  const std::string tenant_ = {};
  const double rate_ = 0;       // Calls per second that the quota allows.
  const double demand_ = 0;     // Calls per second, refused ones included.
  const double available_ = 0;  // Tokens that no daemon holds.
  // Calls since the present leader was elected, as far as daemons have
  // reported them.
  const uint64_t spent_ = 0;
  const uint64_t refused_ = 0;

  friend bool operator==(const QuotaUse&, const QuotaUse&) = default;
};

// What a control instance knows of the quotas.
struct QuotaOverview {
  // Only the leader knows their use.
  const bool is_owner_ = false;
  const std::string leader_address_ = {};  // Empty when unknown.
  // All tenants with a rate, those with the highest demand first.
  const std::vector<QuotaUse> tenants_ = {};

  friend bool operator==(const QuotaOverview&, const QuotaOverview&) = default;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_QUOTA_USE_H_
