#ifndef COORDINATION_INTERNAL_RECENT_ANSWERS_H_
#define COORDINATION_INTERNAL_RECENT_ANSWERS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Identifies one attempt of one call.
struct AttemptId {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;

  static AttemptId Of(const Attempt& attempt) {
    return AttemptId{.request_id_ = attempt.request_id_,
                     .attempt_ = attempt.attempt_};
  }
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

// The last answers that a guard has sent, for ingresses whose link was replaced
// while an answer was on it. Bounded by the size of the answers; one answer
// beyond the bound is kept for a time only, since its bytes may be what the
// answers of other attempts wait for. Not thread-safe.
class RecentAnswers {
 public:
  void Add(const AttemptId& id, const AttemptAnswer& answer) {
    const auto [entry, inserted] = answers_.emplace(id, answer);
    if (!inserted) {
      return;
    }
    order_.push_back(id);
    bytes_ += SizeOf(answer);
    exceeds_since_.reset();
    while (bytes_ > kMaxBytes && order_.size() > 1) {
      const auto oldest = answers_.find(order_.front());
      bytes_ -= SizeOf(oldest->second);
      answers_.erase(oldest);
      order_.pop_front();
    }
  }

  // Drops the answer that is larger than the bound when its time is over.
  void Tick(state::Millis now) {
    if (bytes_ <= kMaxBytes) {
      return;
    }
    if (!exceeds_since_.has_value()) {
      exceeds_since_.emplace(now);
    } else if (now - *exceeds_since_ >= kKeepExceeding) {
      answers_.clear();
      order_.clear();
      bytes_ = 0;
      exceeds_since_.reset();
    }
  }

  // Returns the answer, or null. Valid until the next Add or Tick.
  const AttemptAnswer* Find(const AttemptId& id) const {
    const auto entry = answers_.find(id);
    return entry == answers_.end() ? nullptr : &entry->second;
  }

 private:
  // At 100 answers of 2 kB a second, the answers of the last second, which is
  // longer than it takes to replace a silent link.
  static constexpr size_t kMaxBytes = 200000;
  // An ingress gives an attempt up after three silent links, 1.2 s.
  static constexpr state::Millis kKeepExceeding{2000};
  // Assumed size of an answer's headers and of its entry here, in bytes.
  static constexpr size_t kEntryBytes = 1000;

  static size_t SizeOf(const AttemptAnswer& answer) {
    return kEntryBytes + answer.answer_.body_.size();
  }

  std::map<AttemptId, AttemptAnswer> answers_;
  std::deque<AttemptId> order_;  // Oldest first.
  size_t bytes_ = 0;
  // Since when the newest answer alone is larger than the bound.
  std::optional<state::Millis> exceeds_since_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RECENT_ANSWERS_H_
