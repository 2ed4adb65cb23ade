#ifndef COORDINATION_INTERNAL_QUOTA_GATE_H_
#define COORDINATION_INTERNAL_QUOTA_GATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/internal/call.h"
#include "coordination/internal/quota_stock.h"

namespace gooseberrygap::coordination {

// Admits the calls of tenants with a rate: lets those run that have a token,
// refuses others, and holds calls for a short time while the owner of the
// quotas is asked. Not thread-safe.
class QuotaGate {
 public:
  // `counters` must outlive the gate.
  QuotaGate(std::string instance,
            const QuotaPolicy& policy,
            state::Counters* counters)
      : stock_(std::move(instance), policy), counters_(counters) {}

  void UpdateConfiguration(const state::Configuration& configuration) {
    stock_.UpdateConfiguration(configuration);
  }

  enum class Verdict {
    kAdmitted,
    kRefused,  // `answer_` is set.
    kHeld,     // Release returns the call later.
  };
  struct Decision {
    const Verdict verdict_ = Verdict::kAdmitted;
    const std::optional<AnswerCall> answer_ = {};
  };
  // Decides on a call that was received now. A call of no tenant, or of one
  // without a rate, is admitted.
  Decision Admit(const ClassifiedCall& call, state::Millis now);

  // Calls that were held and are no longer.
  struct Released {
    std::vector<ClassifiedCall> admitted_;
    std::vector<AnswerCall> refused_;
  };
  // Decides again on the held calls. Call it after a grant and about every
  // 20 ms while calls are held.
  Released Release(state::Millis now);
  // The caller of this call has disconnected. Returns whether the call was
  // held; then it needs nothing more. The token of an admitted call is spent.
  bool OnCallerDisconnected(uint64_t call_id);
  // The call was answered. Gives its token back if it was not run.
  void OnAnswered(uint64_t call_id, Outcome outcome, state::Millis now);

  // Returns the report to the owner that is due, if any, with the present
  // incarnation of the daemon's lease. `leader` is the address of the control
  // group's leader according to the last lease reply, or empty.
  Commands SendReport(const std::string& leader,
                      uint64_t incarnation,
                      state::Millis now);
  void OnGrant(const QuotaGrant& grant, state::Millis now);

  // Returns the number of held calls.
  size_t held_calls() const { return held_.size(); }
  // Returns when Release or SendReport is next due because of held calls.
  std::optional<state::Millis> NextDue() const;

 private:
  struct HeldCall {
    const ClassifiedCall call_;
    const state::Millis since_;
  };

  void CountHeld(const std::string& tenant);
  AnswerCall Refuse(const ClassifiedCall& call, state::RefusalReason reason);
  void MarkAdmitted(const ClassifiedCall& call);

  QuotaStock stock_;
  std::string leader_;  // According to the last lease reply.
  // According to an instance that does not lead; newer than `leader_`.
  std::string leader_hint_;
  state::Counters* const counters_;
  std::deque<HeldCall> held_;  // In the order of their arrival.
  // Tenant of the admitted calls that used a token and have not ended, by call.
  absl::flat_hash_map<uint64_t, std::string> admitted_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_QUOTA_GATE_H_
