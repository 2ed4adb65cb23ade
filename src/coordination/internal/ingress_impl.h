#ifndef COORDINATION_INTERNAL_INGRESS_IMPL_H_
#define COORDINATION_INTERNAL_INGRESS_IMPL_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "coordination/internal/access_check.h"
#include "coordination/internal/action_calls.h"
#include "coordination/internal/limited_calls.h"
#include "coordination/internal/lookup_calls.h"
#include "coordination/internal/split_choice.h"

namespace gooseberrygap::coordination {

// The state of an ingress. ingress.cc passes events on to the calls in
// progress, ingress_calls.cc admits calls of services by their rules, and
// ingress_routes.cc admits calls by their routes.
class Ingress::Impl {
 public:
  Impl(std::string request_id_prefix,
       Router* router,
       RegisterClient* register_client,
       state::Counters* counters,
       const AuthorizationLease* lease,
       QuotaGate* quota);

  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);

  void SetActionsAllowed(bool allowed) { actions_allowed_ = allowed; }
  void SetConfigurationRecent(bool recent) { configuration_recent_ = recent; }

  bool Denies(const CallReceived& call) const;
  Commands OnCall(const CallReceived& received, state::Millis now);
  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now);
  Commands OnAnswer(const AttemptAnswer& answer, state::Millis now);
  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);
  Commands OnTargetSlow(const std::string& target, state::Millis now);
  Commands OnLinkLost(const std::string& address, state::Millis now);
  Commands ReleaseHeldCalls(state::Millis now);
  Commands Tick(state::Millis now);
  std::optional<state::Millis> NextDue() const;
  size_t calls_in_progress() const;

 private:
  static Commands Refuse(const CallReceived& received,
                         const std::string& request_id,
                         state::RefusalReason reason);

  // A change that allows the call may have been missed here.
  state::RefusalReason DenialReason(state::RefusalReason reason) const;

  // Precondition: there is a configuration.
  Commands OnRoutedCall(const CallReceived& received,
                        const std::string& request_id,
                        state::Millis now);

  // Whether and where a call may run.
  struct Admission {
    const state::RefusalReason refusal_ = state::RefusalReason::kNone;
    const std::optional<state::Shared<state::Tenant>> tenant_ = {};
    const state::AllowedRegions allowed_regions_ = {};
  };

  // Takes the steps that precede the choice of a target: the check of the
  // credentials, then the regions that both the rule or route of the call and
  // its tenant allow.
  Admission Admit(const CallReceived& received,
                  bool allows_anonymous,
                  const std::vector<std::string>& allowed_regions,
                  state::Millis now);

  const std::string request_id_prefix_;
  state::Counters* const counters_;
  AccessCheck access_;
  LookupCalls lookups_;
  LimitedCalls limited_;
  ActionCalls actions_;
  std::optional<state::IndexedConfiguration> configuration_;
  absl::flat_hash_set<std::string> convicted_;
  absl::flat_hash_set<std::string> suspects_;
  SplitChoice splits_;
  bool actions_allowed_ = false;
  bool configuration_recent_ = true;
  uint64_t next_request_ = 1;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_INGRESS_IMPL_H_
