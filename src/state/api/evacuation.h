#ifndef STATE_API_EVACUATION_H_
#define STATE_API_EVACUATION_H_

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrygap::state {

// An operator's order to send nothing more to the targets of a failure domain,
// or to withdraw such an order.
struct EvacuationOrder {
  const std::string failure_domain_ = {};
  const bool evacuates_ = true;  // False withdraws the order.
  // Index of the last order for this failure domain that its submitter knew; 0
  // for none. The order is refused when a later one has been committed, so that
  // a delayed copy cannot undo it.
  const uint64_t known_index_ = 0;

  friend bool operator==(const EvacuationOrder&,
                         const EvacuationOrder&) = default;
};

// The last order for a failure domain.
struct EvacuationState {
  const std::string failure_domain_ = {};
  const bool evacuated_ = false;
  const uint64_t index_ = 0;  // Log index of the order.

  friend bool operator==(const EvacuationState&,
                         const EvacuationState&) = default;
};

// The last orders for all failure domains that ever had one, ordered by name.
// `index_` is the log index of the newest of them; 0 without any.
struct Evacuations {
  const uint64_t index_ = 0;
  const std::vector<EvacuationState> domains_ = {};

  friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

// Returns the last order for the failure domain; not evacuated at index 0 when
// it never had one. Thread-safe.
EvacuationState FindEvacuation(const Evacuations& evacuations,
                               const std::string& failure_domain);

}  // namespace gooseberrygap::state

#endif  // STATE_API_EVACUATION_H_
