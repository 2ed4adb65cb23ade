#include <algorithm>

#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

Commands Guard::Impl::UpdateEvacuations(const state::Evacuations& evacuations,
                                        state::Millis now) {
  const bool was_evacuated = is_evacuated_;
  is_evacuated_ = std::any_of(
      evacuations.domains_.begin(), evacuations.domains_.end(),
      [this](const state::EvacuationState& domain) {
        return domain.evacuated_ && domain.failure_domain_ == failure_domain_;
      });
  if (is_evacuated_ == was_evacuated) {
    return {};
  }
  return is_evacuated_ ? RefuseQueued(state::RefusalReason::kEvacuated)
                       : OnEvacuationEnded(now);
}

// The limit of requests to a cold target begins here.
Commands Guard::Impl::OnEvacuationEnded(state::Millis) {
  return {};
}

}  // namespace gooseberrygap::coordination
