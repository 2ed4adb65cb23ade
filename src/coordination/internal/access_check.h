#ifndef COORDINATION_INTERNAL_ACCESS_CHECK_H_
#define COORDINATION_INTERNAL_ACCESS_CHECK_H_

#include <optional>
#include <string>

#include "coordination/coordination.h"
#include "coordination/internal/authorization_lease.h"
#include "coordination/internal/tenant_directory.h"

namespace gooseberrygap::coordination {

// Decides by its credentials whether a call may be made: when it is received,
// and again before each attempt. Not thread-safe.
class AccessCheck {
 public:
  // `lease` may be null: then keys need no confirmation. Both must outlive the
  // check.
  AccessCheck(const AuthorizationLease* lease, state::Counters* counters)
      : lease_(lease), counters_(counters) {}

  void UpdateConfiguration(const state::Configuration& configuration) {
    tenants_.Update(configuration);
  }

  struct Decision {
    // kNone if the call may be made.
    const state::RefusalReason refusal_ = state::RefusalReason::kNone;
    // The tenant whose key the call has, if any.
    const std::optional<state::Shared<state::Tenant>> tenant_ = {};
  };
  // Decides and counts a call with these credentials. Without `keys_recent` a
  // change may have been missed here, so that no key is called unknown.
  Decision Check(const std::optional<std::string>& api_key,
                 bool allows_anonymous,
                 bool keys_recent,
                 state::Millis now);

  // Returns whether a call with these credentials lacks a known key.
  bool Denies(const std::optional<std::string>& api_key,
              bool allows_anonymous) const {
    return tenants_.has_tenants() &&
           (api_key.has_value() ? tenants_.FindByKey(*api_key) == nullptr
                                : !allows_anonymous);
  }

  // Returns why a call that was admitted with this tenant and key may not be
  // sent now, or kNone.
  state::RefusalReason CheckAgain(
      const std::optional<state::Shared<state::Tenant>>& tenant,
      const std::string& api_key,
      state::Millis now) const;

  // Returns until when a call of the tenant may be started; nothing where its
  // key needs no confirmation.
  std::optional<state::Millis> AuthorizedUntil(
      const std::optional<state::Shared<state::Tenant>>& tenant,
      state::Millis now) const;

  // Returns the request that targets receive: with the headers that carried
  // credentials only while they are none of a tenant.
  state::HttpRequest RequestToPassOn(const CallReceived& received) const;

 private:
  bool HasValidLease(state::Millis now) const {
    return lease_ == nullptr || lease_->IsValid(now);
  }

  const AuthorizationLease* const lease_;
  state::Counters* const counters_;
  TenantDirectory tenants_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_ACCESS_CHECK_H_
