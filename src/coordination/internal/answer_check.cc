#include "coordination/api/answer_check.h"

#include <array>
#include <cstddef>

namespace gooseberrygap::coordination {

namespace {

struct VerdictRow {
  const AnswerVerdict first_;  // For the first message on a connection.
  const AnswerVerdict later_;
};

// By owner. A message that names no request is an answer only where nothing
// else can have been sent before it.
constexpr std::array<VerdictRow, static_cast<size_t>(AnswerOwner::kCount)>
    kVerdicts = {{
        {AnswerVerdict::kTake, AnswerVerdict::kTake},
        {AnswerVerdict::kSkip, AnswerVerdict::kSkip},
        {AnswerVerdict::kTake, AnswerVerdict::kSkip},
    }};

}  // namespace

AnswerVerdict JudgeAnswer(const ReceivedAnswer& answer,
                          bool has_earlier_answer) {
  const VerdictRow& row = kVerdicts.at(static_cast<size_t>(answer.owner_));
  const AnswerVerdict verdict = has_earlier_answer ? row.later_ : row.first_;
  return verdict == AnswerVerdict::kTake && answer.is_unproven_
             ? AnswerVerdict::kGiveUp
             : verdict;
}

}  // namespace gooseberrygap::coordination
