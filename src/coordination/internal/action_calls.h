#ifndef COORDINATION_INTERNAL_ACTION_CALLS_H_
#define COORDINATION_INTERNAL_ACTION_CALLS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/internal/call.h"

namespace gooseberrygap::coordination {

// The actions with a key in progress. An action is sent only under the attempt
// number that the register assigned, and not-run is returned to its caller only
// after a fence, or when no attempt was sent. Not thread-safe.
class ActionCalls {
 public:
  ActionCalls(Router* router,
              RegisterClient* register_client,
              const AccessCheck* access,
              state::Counters* counters)
      : router_(router),
        access_(access),
        register_client_(register_client),
        counters_(counters) {}

  Commands OnCall(const ClassifiedCall& call, state::Millis now);
  // Returns nothing when the answer belongs to no action in progress.
  std::optional<Commands> OnAnswer(const AttemptAnswer& answer,
                                   state::Millis now);
  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);
  Commands OnLinkLost(const std::string& address, state::Millis now);
  Commands Tick(state::Millis now);
  // Returns the time when Tick is next due, or nothing if no action is pending.
  std::optional<state::Millis> NextDue() const;
  size_t size() const { return actions_.size(); }

 private:
  enum class ActionPhase {
    kBeginning,  // Waits for the register to assign an attempt number.
    kRunning,    // An attempt is at a guard.
    kFencing,    // Waits for the register's answer to a fence.
    kPolling,    // Started by this or another request; polls the register.
  };

  struct Action {
    Action(const ClassifiedCall& classified,
           Router* router,
           const AccessCheck* access)
        : call_(classified), attempts_(call_, router, access) {}

    const ClassifiedCall call_;
    AttemptSet attempts_;
    ActionPhase phase_ = ActionPhase::kBeginning;
    uint64_t register_attempt_ = 0;
    // The action may not be sent again: another request under the same key has
    // fenced this one off, or this request has given up.
    bool no_more_attempts_ = false;
    uint32_t refusals_ = 0;       // Without those of cold targets.
    uint32_t cold_refusals_ = 0;  // Of cold targets.
    uint32_t lost_attempts_ = 0;
    // When to fence an attempt that has not been answered.
    state::Millis fence_at_;
    std::optional<state::Millis> poll_at_;
    state::RefusalReason last_reason_ = state::RefusalReason::kNone;
  };

  // Returns the time when Tick is next due for the action.
  static state::Millis DueAt(const Action& action);

  Commands Begin(Action* action, state::Millis now);
  Commands Fence(Action* action, uint64_t attempt, state::Millis now);
  Commands SendNext(Action* action, state::Millis now);
  // Returns why no target can be chosen for the call.
  state::RefusalReason ReasonWithoutTarget(const ClassifiedCall& call) const;
  Commands OnBegun(Action* action, const RegisterEnd& end, state::Millis now);
  Commands OnFenced(Action* action, const RegisterEnd& end, state::Millis now);
  // Handles an entry that is not open: ends the action if the entry is done or
  // unknown, and polls the register while it is started.
  Commands OnEntryNotOpen(Action* action,
                          const state::RegisterResult& result,
                          state::Millis now);
  Commands Finish(Action* action, AnswerCall answer, state::Millis now);
  Commands CallRegister(Action* action,
                        state::RegisterOperation operation,
                        uint64_t attempt,
                        state::Millis now);

  Router* const router_;
  const AccessCheck* const access_;
  RegisterClient* const register_client_;
  state::Counters* const counters_;
  std::map<std::string, std::unique_ptr<Action>> actions_;
  std::map<uint64_t, std::string> request_by_tag_;
  uint64_t next_tag_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_ACTION_CALLS_H_
