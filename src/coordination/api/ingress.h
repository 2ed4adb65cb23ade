#ifndef COORDINATION_API_INGRESS_H_
#define COORDINATION_API_INGRESS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/events.h"
#include "coordination/api/register_client.h"
#include "coordination/api/router.h"

namespace gooseberrygap::coordination {

class AuthorizationLease;
class QuotaGate;

// Decides for the calls that this daemon accepts: classifies them, sends
// attempts, retries and hedges lookups within their budgets, and resolves
// actions through the register. Not thread-safe.
class Ingress {
 public:
  // `request_id_prefix` is unique to this daemon's incarnation. The router, the
  // register client, the counters, the lease and the gate must outlive the
  // ingress. Without a lease API keys need no confirmation; without a gate no
  // tenant has a quota.
  Ingress(std::string request_id_prefix,
          Router* router,
          RegisterClient* register_client,
          state::Counters* counters,
          const AuthorizationLease* lease = nullptr,
          QuotaGate* quota = nullptr);
  ~Ingress();

  // Applies a configuration to the calls received from now on.
  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  // Replaces the set of suspected and convicted fingerprints.
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);
  // Sets whether actions with a key are accepted. The last contact with a
  // control instance must be recent enough for them.
  void SetActionsAllowed(bool allowed);
  // Sets whether the configuration is recent enough to tell a caller that it
  // does not allow its call. While it is not, such a call is refused with
  // kControlTooOld, since a change may allow it.
  void SetConfigurationRecent(bool recent);
  // Returns whether the configuration in force does not allow the call: there
  // is no route, service or rule for it, or its API key is unknown.
  bool Denies(const CallReceived& call) const;

  Commands OnCall(const CallReceived& call, state::Millis now);
  // Cancels the attempts of a lookup or of an action without a key whose caller
  // has disconnected. An action with a key runs to its end, since its answer is
  // stored for a resend.
  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now);
  Commands OnAnswer(const AttemptAnswer& answer, state::Millis now);
  // Handles the end of a register call. Precondition: OwnsTag(end.tag_).
  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);
  // The machine of this target has become slow: also sends the lookups that are
  // open there to another target, within the retry budget.
  Commands OnTargetSlow(const std::string& target, state::Millis now);
  // The connection to this address was replaced: ends the attempts sent on it,
  // since their answers cannot be received any more.
  Commands OnLinkLost(const std::string& address, state::Millis now);
  // Continues the calls that the gate of the quotas holds no longer.
  Commands ReleaseHeldCalls(state::Millis now);
  Commands Tick(state::Millis now);

  // Returns the time when Tick is next due, or nothing if no call is pending.
  std::optional<state::Millis> NextDue() const;

  // Returns the number of calls that have not been answered.
  size_t calls_in_progress() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_INGRESS_H_
