#ifndef COORDINATION_INTERNAL_LOOKUP_CALLS_H_
#define COORDINATION_INTERNAL_LOOKUP_CALLS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/internal/call.h"

namespace gooseberrygap::coordination {

// The lookups and the actions without a key in progress: sends attempts, and
// for lookups retries and hedges. Not thread-safe.
class LookupCalls {
 public:
  // All must outlive this object.
  LookupCalls(Router* router,
              const AccessCheck* access,
              state::Counters* counters)
      : router_(router), access_(access), counters_(counters) {}

  Commands OnCall(const ClassifiedCall& call, state::Millis now);
  // Returns nothing when the answer belongs to no lookup in progress.
  std::optional<Commands> OnAnswer(const AttemptAnswer& answer,
                                   state::Millis now);
  // Removes the lookup of this call, if there is one, and cancels its attempts.
  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now);
  Commands OnTargetSlow(const std::string& target, state::Millis now);
  Commands OnLinkLost(const std::string& address, state::Millis now);
  Commands Tick(state::Millis now);
  // Returns the time when Tick is next due, or nothing if no lookup is pending.
  std::optional<state::Millis> NextDue() const;
  size_t size() const { return lookups_.size(); }

 private:
  struct Lookup {
    Lookup(const ClassifiedCall& classified,
           Router* router,
           const AccessCheck* access)
        : call_(classified), attempts_(call_, router, access) {}

    const ClassifiedCall call_;
    AttemptSet attempts_;
    std::optional<state::Millis> hedge_at_;
    // When the answer is sent after the last attempt crashed its target.
    std::optional<state::Millis> give_up_at_;
    uint32_t refusals_ = 0;
    uint32_t cold_refusals_ = 0;  // Of these, those of cold targets.
    uint32_t failures_ = 0;
    uint32_t crashes_ = 0;
    uint32_t resumes_ = 0;  // Times the link of an open attempt was replaced.
    state::RefusalReason last_reason_ = state::RefusalReason::kNone;
    // A target's own error answer, returned to the caller if no retry is left.
    std::optional<AttemptAnswer> error_answer_;
  };
  using Lookups = std::map<std::string, std::unique_ptr<Lookup>>;

  // Sends the next attempt, or ends the lookup when none can be sent and none
  // is open.
  Commands SendNext(Lookup* lookup, state::Millis now);
  // Returns why no target can be chosen for the call.
  state::RefusalReason ReasonWithoutTarget(const ClassifiedCall& call) const;
  Commands OnRefused(Lookup* lookup,
                     const AttemptAnswer& answer,
                     state::Millis now);
  Commands OnFailed(Lookup* lookup, state::Millis now);
  Commands OnDeadline(Lookup* lookup, state::Millis now);
  Commands Hedge(Lookup* lookup, state::Millis now);
  // Returns the time when Tick is next due for the lookup.
  static state::Millis DueAt(const Lookup& lookup);
  // Returns whether one more target may be reached. Refused attempts do not
  // count as having reached a target.
  static bool MayReachAnotherTarget(const Lookup& lookup);
  Commands Finish(Lookup* lookup, AnswerCall answer, state::Millis now);
  // Ends the lookup after its last attempt ended without an answer. After a
  // crash the answer is delayed, so that the caller's resend reaches daemons
  // that already suspect the request.
  Commands GiveUp(Lookup* lookup, state::Millis now);

  Router* const router_;
  const AccessCheck* const access_;
  state::Counters* const counters_;
  Lookups lookups_;
  std::map<uint64_t, std::string> request_by_call_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LOOKUP_CALLS_H_
