#ifndef COORDINATION_INTERNAL_RAFT_ROUNDS_H_
#define COORDINATION_INTERNAL_RAFT_ROUNDS_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "state/state.h"

namespace gooseberrygap::coordination {

// When the leader's latest rounds of requests began. A reply to a round shows
// that its sender followed the leader after that time, not when the reply was
// received. Not thread-safe.
class RaftRounds {
 public:
  // Adds a round. Precondition: `round` is higher than all earlier ones.
  void Begin(uint64_t round, state::Millis now) {
    while (!rounds_.empty() && now - rounds_.front().began_at_ > kMaxAge) {
      rounds_.pop_front();
    }
    rounds_.push_back(Round{.number_ = round, .began_at_ = now});
  }

  // Returns when the round began; nothing if it is unknown or too old to count
  // as a contact.
  std::optional<state::Millis> BeganAt(uint64_t round) const {
    const auto entry = std::lower_bound(
        rounds_.begin(), rounds_.end(), round,
        [](const Round& left, uint64_t right) { return left.number_ < right; });
    return entry == rounds_.end() || entry->number_ != round
               ? std::nullopt
               : std::optional(entry->began_at_);
  }

 private:
  struct Round {
    const uint64_t number_ = 0;
    const state::Millis began_at_;
  };

  // Longer than any time-out that is compared with the last contact.
  static constexpr state::Millis kMaxAge = state::Millis(5000);

  std::deque<Round> rounds_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_ROUNDS_H_
