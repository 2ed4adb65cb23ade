#ifndef COORDINATION_INTERNAL_WITHDRAWAL_ACKNOWLEDGEMENTS_H_
#define COORDINATION_INTERNAL_WITHDRAWAL_ACKNOWLEDGEMENTS_H_

#include <deque>

#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

// Holds the senders of withdrawals until the log of the control group has what
// they withdrew. Not thread-safe.
class WithdrawalAcknowledgements {
 public:
  void Add(uint64_t call_id,
           const state::TargetWithdrawal& withdrawal,
           state::Millis now) {
    waiting_.push_back(Waiting{.call_id_ = call_id,
                               .withdrawal_ = withdrawal,
                               .until_ = now + kMaxWait});
  }

  // Answers the senders whose withdrawal `stored` covers, and refuses those
  // that have waited for too long.
  Commands Release(const state::TargetWithdrawal& stored, state::Millis now) {
    Commands answers;
    std::deque<Waiting> waiting;
    for (const Waiting& each : waiting_) {
      const bool is_stored = state::Covers(stored, each.withdrawal_);
      if (is_stored || now >= each.until_) {
        answers.emplace_back(AnswerAnnouncement{.call_id_ = each.call_id_,
                                                .acknowledged_ = is_stored});
      } else {
        waiting.push_back(each);
      }
    }
    waiting_.swap(waiting);
    return answers;
  }

  size_t size() const { return waiting_.size(); }

 private:
  // A platform takes an acknowledgement only within a second. Longer than a
  // commit and its way to the daemon take.
  static constexpr state::Millis kMaxWait = state::Millis(850);

  struct Waiting {
    const uint64_t call_id_ = 0;
    const state::TargetWithdrawal withdrawal_ = {};
    const state::Millis until_;
  };

  std::deque<Waiting> waiting_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_WITHDRAWAL_ACKNOWLEDGEMENTS_H_
