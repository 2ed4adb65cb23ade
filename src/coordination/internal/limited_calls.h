#ifndef COORDINATION_INTERNAL_LIMITED_CALLS_H_
#define COORDINATION_INTERNAL_LIMITED_CALLS_H_

#include <optional>

#include "coordination/internal/lookup_calls.h"
#include "coordination/internal/quota_gate.h"

namespace gooseberrygap::coordination {

// Starts routed calls once their tenants' quotas admit them. Not thread-safe.
class LimitedCalls {
 public:
  // Both must outlive this object. Without a gate no tenant has a quota.
  LimitedCalls(LookupCalls* lookups, QuotaGate* gate)
      : lookups_(lookups), gate_(gate) {}

  Commands OnCall(const ClassifiedCall& call, state::Millis now);
  // Continues the calls that the gate holds no longer.
  Commands Release(state::Millis now);
  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now);
  // Returns when Release is next due, or nothing if no call is held.
  std::optional<state::Millis> NextDue() const;
  // Returns the number of held calls.
  size_t size() const { return gate_ == nullptr ? 0 : gate_->held_calls(); }

 private:
  LookupCalls* const lookups_;
  QuotaGate* const gate_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LIMITED_CALLS_H_
