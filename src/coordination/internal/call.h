#ifndef COORDINATION_INTERNAL_CALL_H_
#define COORDINATION_INTERNAL_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination.h"
#include "coordination/internal/access_check.h"

namespace gooseberrygap::coordination {

// A call after classification. Shared by LookupCalls and ActionCalls.
struct ClassifiedCall {
  const uint64_t call_id_ = 0;
  const std::string request_id_ = {};
  const std::shared_ptr<const state::Configuration> configuration_ = {};
  const uint64_t configuration_index_ = 0;
  const state::Service* const service_ = nullptr;  // In `configuration_`.
  const state::RequestClass request_class_ = state::RequestClass::kLookup;
  const state::HttpRequest request_ = {};
  const std::string key_ = {};     // Register key of an action.
  const std::string digest_ = {};  // Also the request's fingerprint.
  // A request with this fingerprint was in flight when a target crashed.
  const bool is_suspect_ = false;
  const state::Millis received_at_ = {};
  const state::Millis deadline_ = {};
  const uint32_t depth_ = 0;
  // Maximum number of targets that attempts of the call may reach.
  const uint32_t max_attempts_ = 1;
  // Time up to which an answer is as good as an immediate one.
  const state::Millis objective_ = {};
  const int priority_ = 0;
  const std::string origin_service_ = {};
  const std::string caller_id_ = {};
  // Set for calls that a route has classified.
  const std::string host_ = {};
  const std::string route_ = {};
  // The action has no key: only a guard's refusal allows another attempt.
  const bool is_unkeyed_ = false;
  // The tenant whose API key the call had, if any.
  const std::optional<state::Shared<state::Tenant>> tenant_ = {};
  // That key, which stays in this process: it is looked up again before each
  // attempt.
  const std::string api_key_ = {};
  const state::AllowedRegions allowed_regions_ = {};
};

// An attempt that was sent and has not ended.
struct OpenAttempt {
  const uint32_t number_ = 0;
  const state::TargetRecord target_ = {};
  const state::Millis sent_at_ = {};
};

// Attempts of one call: numbers them, and reports each start and end to the
// router.
class AttemptSet {
 public:
  AttemptSet(const ClassifiedCall& call,
             Router* router,
             const AccessCheck* access)
      : call_(call), router_(router), access_(access) {}

  // Returns why the credentials of the call allow no further attempt, or kNone.
  state::RefusalReason CheckAccess(state::Millis now) const {
    return access_->CheckAgain(call_.tenant_, call_.api_key_, now);
  }

  // Target for the next attempt, if there is one. With `all_tried_`, only
  // targets that the call has already tried were available.
  struct NextTarget {
    const std::optional<state::TargetRecord> target_ = {};
    const bool all_tried_ = false;
  };
  NextTarget ChooseNext(state::Millis now) const;

  struct SendOptions {
    const bool may_queue_ = false;
    const bool is_hedged_ = false;
    const bool run_alone_ = false;
    const uint64_t register_attempt_ = 0;
  };
  // Sends the next attempt to the target. Precondition: CheckAccess allows it.
  SendToPeer Send(const state::TargetRecord& target,
                  const SendOptions& options,
                  state::Millis now);
  // Ends the attempt with this number. Returns false when it is not open.
  bool End(uint32_t number,
           AttemptEnd end,
           const std::optional<state::GuardLoad>& load,
           state::Millis now,
           const std::optional<ServedAttempt>& served = std::nullopt);
  // Ends all open attempts, and returns the cancels for their guards.
  Commands CancelAll(state::Millis now);
  // Returns requests to answer the open attempts at this address on the new
  // connection to it. The attempts stay open.
  Commands ResumeAttemptsTo(const std::string& address) const;
  // Ends the open attempts that were sent to this address; returns how many.
  size_t EndAttemptsTo(const std::string& address, state::Millis now);

  const std::vector<OpenAttempt>& open() const { return open_; }
  const std::vector<std::string>& tried() const { return tried_; }
  uint32_t sent() const { return sent_; }

 private:
  const ClassifiedCall& call_;
  Router* const router_;
  const AccessCheck* const access_;
  std::vector<OpenAttempt> open_;
  std::vector<std::string> tried_;
  uint32_t sent_ = 0;
};

// Returns what the answer shows of the call's route and of the link.
ServedAttempt ServedBy(const ClassifiedCall& call, const AttemptAnswer& answer);

// The following functions return the answers that end a call.

AnswerCall NotRunAnswer(const ClassifiedCall& call,
                        state::RefusalReason reason);
AnswerCall UnknownOutcomeAnswer(const ClassifiedCall& call,
                                state::RefusalReason reason);
// The action has run, but its answer was too large for the register to store.
AnswerCall CompleteWithoutAnswer(const ClassifiedCall& call);
AnswerCall CompleteAnswer(const ClassifiedCall& call,
                          const AttemptAnswer& answer,
                          state::Millis now);
// The answer of an action that the register has stored.
AnswerCall StoredAnswer(const ClassifiedCall& call,
                        const state::HttpAnswer& answer);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CALL_H_
