#ifndef COORDINATION_INTERNAL_LOAD_METER_H_
#define COORDINATION_INTERNAL_LOAD_METER_H_

#include "coordination/api/strategy.h"

namespace gooseberrygap::coordination {

// Accounts what this daemon sends to measure load, and allows no more than the
// budget. Not thread-safe.
class LoadMeter {
 public:
  explicit LoadMeter(state::Counters* counters) : counters_(counters) {}

  void SetBudget(const state::LoadBudget& budget);

  // Accounts a probe and its reply from a target whose name has that many
  // bytes. Returns false, and accounts nothing, when the budget is spent.
  bool TakeProbe(LinkClass link, size_t name_bytes, state::Millis now);

 private:
  state::Counters* const counters_;
  state::TokenBucket bytes_;
  state::TokenBucket messages_;
  state::TokenBucket cross_region_bytes_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LOAD_METER_H_
