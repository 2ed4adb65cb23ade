#ifndef STATE_API_EVACUATION_TABLE_H_
#define STATE_API_EVACUATION_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "state/api/evacuation.h"

namespace gooseberrygap::state {

// The last evacuation order for each failure domain: a deterministic state
// machine, so that replicas that apply the same orders agree. Not thread-safe.
class EvacuationTable {
 public:
  // Applies the order of the log entry `index`. Returns whether it is in force.
  // An order whose submitter did not know the last one for the failure domain
  // changes nothing, and is in force only if that one has the same effect. Any
  // other takes the place of the last one, even with the same effect: a delayed
  // order that was submitted before it must not undo it.
  bool Apply(uint64_t index, const EvacuationOrder& order);

  Evacuations Snapshot() const;
  void Restore(const Evacuations& evacuations);

 private:
  uint64_t index_ = 0;
  std::map<std::string, EvacuationState> domains_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_EVACUATION_TABLE_H_
