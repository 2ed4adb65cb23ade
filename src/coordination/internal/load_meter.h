#ifndef COORDINATION_INTERNAL_LOAD_METER_H_
#define COORDINATION_INTERNAL_LOAD_METER_H_

#include "coordination/api/strategy.h"

namespace gooseberrygap::coordination {

// Counts the messages that this daemon exchanges to measure load, and limits
// them to the load budget. Not thread-safe.
class LoadMeter {
 public:
  explicit LoadMeter(state::Counters* counters) : counters_(counters) {}

  void SetBudget(const state::LoadBudget& budget);

  // Charges a probe, and its reply from a target whose name has `name_bytes`
  // bytes, to the budget. Returns false, and charges nothing, when it is spent.
  bool TakeProbe(LinkClass link, size_t name_bytes, state::Millis now);

 private:
  state::Counters* const counters_;
  state::TokenBucket bytes_;
  state::TokenBucket messages_;
  state::TokenBucket cross_region_bytes_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LOAD_METER_H_
