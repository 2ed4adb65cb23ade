#ifndef COORDINATION_INTERNAL_SENT_TIMES_H_
#define COORDINATION_INTERNAL_SENT_TIMES_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "state/state.h"

namespace gooseberrygap::coordination {

// When the latest of a sequence of numbered messages were sent. What an answer
// to one of them says was true at some time after that, however long the
// message and its answer have waited; the time of receipt shows nothing. Not
// thread-safe.
class SentTimes {
 public:
  // Records a message. Precondition: `number` is higher than all earlier ones.
  void Record(uint64_t number, state::Millis now) {
    while (!sent_.empty() && now - sent_.front().at_ > kMaxAge) {
      sent_.pop_front();
    }
    sent_.push_back(Sent{.number_ = number, .at_ = now});
  }

  // Returns when the message was sent; nothing if it is unknown or too old to
  // show a contact.
  std::optional<state::Millis> SentAt(uint64_t number) const {
    const auto entry = std::lower_bound(
        sent_.begin(), sent_.end(), number,
        [](const Sent& left, uint64_t right) { return left.number_ < right; });
    return entry == sent_.end() || entry->number_ != number
               ? std::nullopt
               : std::optional(entry->at_);
  }

 private:
  struct Sent {
    const uint64_t number_ = 0;
    const state::Millis at_;
  };

  // Longer than any time-out that is compared with the last contact.
  static constexpr state::Millis kMaxAge = state::Millis(5000);

  std::deque<Sent> sent_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SENT_TIMES_H_
