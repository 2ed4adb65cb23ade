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
  if (is_evacuated_) {
    return RefuseQueued(state::RefusalReason::kEvacuated);
  }
  // The target may have restarted meanwhile and be cold.
  warmup_.OnUncertain(WarmupReason::kEvacuationEnded, now);
  return {};
}

}  // namespace gooseberrygap::coordination
