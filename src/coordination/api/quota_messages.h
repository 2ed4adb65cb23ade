#ifndef COORDINATION_API_QUOTA_MESSAGES_H_
#define COORDINATION_API_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// What a daemon holds and needs of one tenant's quota.
struct QuotaNeed {
  const std::string tenant_ = {};
  const uint64_t held_ = 0;  // Tokens in the daemon's stock.
  // Tokens of this tenant that the daemon's incarnation has spent, without
  // those of calls that were not run. Tokens that were granted and are neither
  // held nor spent have been returned.
  const uint64_t spent_ = 0;
  // Tokens that calls need which wait now or are expected soon, beyond `held_`.
  const uint64_t needed_ = 0;
  const uint64_t goal_ = 0;  // Size of the stock that the daemon wants.
  const double demand_ = 0;  // Recent calls per second, refused ones included.
  const uint64_t refused_ = 0;  // Calls refused by this incarnation.

  friend bool operator==(const QuotaNeed&, const QuotaNeed&) = default;
};

// A daemon's report to the owner of the quotas, the leader of the control
// group. Contains only tenants that the daemon has served recently.
struct QuotaReport {
  const std::string instance_ = {};
  const uint64_t incarnation_ = 0;
  const uint64_t number_ = 0;  // Increases within the incarnation.
  // The daemon ignores grants that answer reports before this one, since they
  // were sent to another owner.
  const uint64_t first_number_ = 0;
  // The last grant that the daemon has applied: the owner's term and its
  // number; 0 if none.
  const uint64_t term_ = 0;
  const uint64_t applied_grant_ = 0;
  const std::vector<QuotaNeed> needs_ = {};

  friend bool operator==(const QuotaReport&, const QuotaReport&) = default;
};

// Tokens granted to a daemon for one tenant.
struct QuotaTokens {
  const std::string tenant_ = {};
  const uint64_t tokens_ = 0;
  // Set when fewer tokens are left than needed: for this time the daemon
  // refuses calls that find no token.
  const state::Millis denied_for_ = {};
  // Then the expected time between two tokens for this daemon.
  const state::Millis token_interval_ = {};

  friend bool operator==(const QuotaTokens&, const QuotaTokens&) = default;
};

// The answer to a quota report, with an entry for each of its tenants.
struct QuotaGrant {
  // False if the sender does not own the quotas now; then only the number of
  // the report and the leader's address, if it is known, are set.
  const bool is_owner_ = false;
  const std::string leader_address_ = {};
  const uint64_t term_ = 0;    // Term of the leader.
  const uint64_t number_ = 0;  // Increases within the term, for each daemon.
  const uint64_t report_number_ = 0;
  const std::vector<QuotaTokens> tokens_ = {};

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_QUOTA_MESSAGES_H_
