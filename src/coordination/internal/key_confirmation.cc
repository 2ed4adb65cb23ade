#include "coordination/internal/key_confirmation.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Time between the begins of two reads. A confirmation has to stay younger than
// 500 ms, and a read takes up to two round trips between regions, 120 ms.
constexpr state::Millis kReadInterval(250);
// A read without an answer for this long is forgotten. The log answers each
// read within its election timeout of at most 1 s.
constexpr state::Millis kReadTimeout(2000);

}  // namespace

void KeyConfirmation::Require(state::Millis until, state::Millis now) {
  if (!IsRequired(now)) {
    last_.reset();
  }
  required_until_ = std::max(required_until_.value_or(until), until);
}

bool KeyConfirmation::IsReadDue(state::Millis now) const {
  return IsRequired(now) && now >= next_read_at_;
}

void KeyConfirmation::OnReadStarted(uint64_t read_id, state::Millis now) {
  std::erase_if(in_flight_, [&](const auto& read) {
    return now - read.second >= kReadTimeout;
  });
  in_flight_.emplace(read_id, now);
  next_read_at_ = now + kReadInterval;
}

bool KeyConfirmation::OnReadAnswered(const ReadIndexAnswered& answer) {
  const auto read = in_flight_.find(answer.read_id_);
  if (read == in_flight_.end()) {
    return false;
  }
  if (answer.confirmed_) {
    awaiting_apply_.emplace(answer.index_, read->second);
  }
  in_flight_.erase(read);
  return true;
}

void KeyConfirmation::OnApplied(uint64_t applied_index,
                                uint64_t configuration) {
  while (!awaiting_apply_.empty() &&
         awaiting_apply_.begin()->first <= applied_index) {
    const state::Millis began = awaiting_apply_.begin()->second;
    awaiting_apply_.erase(awaiting_apply_.begin());
    if (!last_.has_value() || began >= last_->at_) {
      last_.emplace(Confirmed{.index_ = configuration, .at_ = began});
    }
  }
}

std::optional<KeyConfirmation::Confirmed> KeyConfirmation::Last(
    state::Millis now) const {
  return IsRequired(now) ? last_ : std::nullopt;
}

}  // namespace gooseberrygap::coordination
