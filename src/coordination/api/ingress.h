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

// Decides for the calls that this daemon accepts: classifies them, sends
// attempts, retries and hedges lookups within their budgets, and resolves
// actions through the register. Not thread-safe.
class Ingress {
 public:
  // `request_id_prefix` is unique to this daemon's incarnation. The router, the
  // register client and the counters must outlive the ingress.
  Ingress(std::string request_id_prefix,
          Router* router,
          RegisterClient* register_client,
          state::Counters* counters);
  ~Ingress();

  // Takes a configuration into force for calls that arrive from now on.
  void UpdateConfiguration(const state::IndexedConfiguration& configuration);
  // Replaces the fingerprints that are refused.
  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints);
  // Tells whether a control instance was heard from lately enough for actions.
  void SetActionsAllowed(bool allowed);

  Commands OnCall(const CallReceived& call, state::Millis now);
  // The caller of a lookup or of an action without a key has gone: its attempts
  // are cancelled. An action with a key runs to its end, since its answer is
  // kept for a resend.
  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now);
  Commands OnAnswer(const AttemptAnswer& answer, state::Millis now);
  // Handles the end of a register call. Precondition: OwnsTag(end.tag_).
  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);
  // The machine of this target has turned slow: lookups that it has begun are
  // sent to another one too, within the retry budget.
  Commands OnTargetSlow(const std::string& target, state::Millis now);
  // The connection to this address was replaced: its answers will not come.
  Commands OnLinkLost(const std::string& address, state::Millis now);
  Commands Tick(state::Millis now);

  // Returns when Tick next has something to do, if anything waits.
  std::optional<state::Millis> NextDue() const;

  // Returns the number of calls that have not been answered.
  size_t calls_in_progress() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_INGRESS_H_
