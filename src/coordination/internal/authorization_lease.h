#ifndef COORDINATION_INTERNAL_AUTHORIZATION_LEASE_H_
#define COORDINATION_INTERNAL_AUTHORIZATION_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Decides until when a daemon may serve calls under the API keys that it knows.
// With strict revocation, a removed key must stop working within the policy's
// limit also at a daemon that learns nothing of the removal: one that is cut
// off, frozen, or fed by a lagging control instance. The lease therefore counts
// from the time at which a quorum confirmed that the keys were the newest.
// Reads no clock; `now` must be the daemon's steady clock, which counts
// suspended time. Not thread-safe.
class AuthorizationLease {
 public:
  explicit AuthorizationLease(const RevocationPolicy& policy)
      : policy_(policy) {}

  // Records that the renewal with this number is about to be sent; a renewal
  // without a number (0) is ignored.
  void OnRenewalSent(uint64_t renewal, state::Millis now);
  // Extends the lease by a granted reply, if it has the number of a recorded
  // renewal and the configuration in force here is at least as new as the
  // confirmed one. Call it after the reply's configuration has been applied.
  void OnReply(const LeaseReply& reply,
               uint64_t configuration_index,
               state::Millis now);

  // Whether calls with a key need a valid lease.
  bool is_required() const { return policy_.is_strict_; }
  // Returns whether calls with a key may be served.
  bool IsValid(state::Millis now) const {
    return !policy_.is_strict_ ||
           (valid_until_.has_value() && now < *valid_until_);
  }
  // Returns the remaining time of the lease, not below 0; nothing where no
  // lease is required.
  std::optional<state::Millis> Left(state::Millis now) const;
  // Returns the time since the begin of the newest confirmation, as far as the
  // daemon can tell; nothing without one.
  std::optional<state::Millis> ConfirmationAge(state::Millis now) const;
  // Returns whether so little of the lease is left that the daemon should renew
  // more often than usual.
  bool IsRunningLow(state::Millis now) const;

  // Returns a log line if the lease has been lost or regained since the last
  // call, with the values that decided it.
  std::optional<state::LogEvent> TakeChange(state::Millis now);

 private:
  const RevocationPolicy policy_;
  // Time of sending by number of the renewal, for renewals whose reply could
  // still extend the lease.
  std::map<uint64_t, state::Millis> sent_at_;
  std::optional<state::Millis> valid_until_;
  std::optional<state::Millis> confirmed_at_;
  uint64_t confirmed_index_ = 0;
  uint64_t configuration_index_ = 0;  // In force at the last reply.
  bool was_valid_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_AUTHORIZATION_LEASE_H_
