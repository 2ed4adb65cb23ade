#ifndef COORDINATION_API_ANSWER_CHECK_H_
#define COORDINATION_API_ANSWER_CHECK_H_

namespace gooseberrygap::coordination {

// Whose answer a message from the target is by its own account.
enum class AnswerOwner { kRequest, kOtherRequest, kUnnamed, kCount };

// What a whole message that came while a request waits says of itself.
struct ReceivedAnswer {
  const AnswerOwner owner_ = AnswerOwner::kRequest;
  // It states that the target has not run the request.
  const bool is_refusal_ = false;
  // It is a success that lacks the mark by which the target shows that it has
  // run a request.
  const bool is_unproven_ = false;

  friend bool operator==(const ReceivedAnswer&,
                         const ReceivedAnswer&) = default;
};

enum class AnswerVerdict {
  kTake,    // It is the answer of the request.
  kSkip,    // It belongs to no request; the own answer is still to come.
  kGiveUp,  // It cannot be trusted, and none after it. The request may have
            // run.
};

// Decides what a message from the target is to the request that waits on its
// connection. A target in trouble sends additional bytes after an answer, an
// answer twice, or a refusal once more; what is taken for the answer of a later
// request would reach the wrong caller, or end a request as not run that runs.
// `has_earlier_answer` tells whether the connection has carried a message
// before. Thread-safe.
AnswerVerdict JudgeAnswer(const ReceivedAnswer& answer,
                          bool has_earlier_answer);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_ANSWER_CHECK_H_
