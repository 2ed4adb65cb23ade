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
  // Applies the order of the log entry `index`. Returns false, and changes
  // nothing, when its submitter did not know the last order for the failure
  // domain and that one has another effect. An order that changes nothing is
  // accepted: it is a resend.
  bool Apply(uint64_t index, const EvacuationOrder& order);

  Evacuations Snapshot() const;
  void Restore(const Evacuations& evacuations);

 private:
  uint64_t index_ = 0;
  std::map<std::string, EvacuationState> domains_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_EVACUATION_TABLE_H_
