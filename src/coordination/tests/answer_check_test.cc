#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

struct Case {
  const ReceivedAnswer answer_;
  const bool has_earlier_answer_ = false;
  const AnswerVerdict verdict_ = AnswerVerdict::kTake;
};

// Guards against a message of a target in trouble that is taken for the answer
// of a request that it does not belong to: the caller would get bytes of
// another request, or be told that its request has not run while it runs.
TEST_CASE("only an answer that is the request's own is taken",
          "[at_most_once]") {
  const ReceivedAnswer own;
  const ReceivedAnswer own_refusal{.is_refusal_ = true};
  const ReceivedAnswer unproven{.is_unproven_ = true};
  const ReceivedAnswer late{.owner_ = AnswerOwner::kOtherRequest};
  const ReceivedAnswer late_refusal{.owner_ = AnswerOwner::kOtherRequest,
                                    .is_refusal_ = true};
  const ReceivedAnswer unnamed{.owner_ = AnswerOwner::kUnnamed};
  const ReceivedAnswer unnamed_refusal{.owner_ = AnswerOwner::kUnnamed,
                                       .is_refusal_ = true};
  const ReceivedAnswer unnamed_unproven{.owner_ = AnswerOwner::kUnnamed,
                                        .is_unproven_ = true};
  const Case tried = GENERATE_REF(
      values<Case>({{own, false, AnswerVerdict::kTake},
                    {own, true, AnswerVerdict::kTake},
                    {own_refusal, false, AnswerVerdict::kTake},
                    {own_refusal, true, AnswerVerdict::kTake},
                    {unproven, false, AnswerVerdict::kGiveUp},
                    {unproven, true, AnswerVerdict::kGiveUp},
                    {late, false, AnswerVerdict::kSkip},
                    {late, true, AnswerVerdict::kSkip},
                    {late_refusal, true, AnswerVerdict::kSkip},
                    {unnamed, false, AnswerVerdict::kTake},
                    {unnamed_refusal, false, AnswerVerdict::kTake},
                    {unnamed, true, AnswerVerdict::kSkip},
                    {unnamed_refusal, true, AnswerVerdict::kSkip},
                    {unnamed_unproven, false, AnswerVerdict::kGiveUp},
                    {unnamed_unproven, true, AnswerVerdict::kSkip}}));
  CAPTURE(tried.answer_.owner_, tried.answer_.is_refusal_,
          tried.answer_.is_unproven_, tried.has_earlier_answer_);
  CHECK(JudgeAnswer(tried.answer_, tried.has_earlier_answer_) ==
        tried.verdict_);
}

}  // namespace
}  // namespace gooseberrygap::coordination
