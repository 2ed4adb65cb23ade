#ifndef COORDINATION_API_STRATEGY_H_
#define COORDINATION_API_STRATEGY_H_

#include <memory>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/random/bit_gen_ref.h"
#include "state/state.h"

namespace gooseberrygap::coordination {

// How far a message travels.
enum class LinkClass { kDomain, kRegion, kCrossRegion };

// What an ingress knows of a target when it chooses.
struct Candidate {
  const std::string target_ = {};
  // Attempts that this daemon has in flight there.
  const int own_in_flight_ = 0;
  // The last load heard from the guard, and its age. Without a report,
  // `has_load_` is false.
  const bool has_load_ = false;
  const state::GuardLoad load_ = {};
  const state::Millis load_age_ = {};
  // Round trip to the guard beyond that to a guard in the own failure domain.
  const state::Millis link_latency_ = {};
  // What the bytes of the call cost on the link, in parts of its worth.
  const double link_loss_ = 0;
  // Time in which an answer is as good as an immediate one; 0 when unknown.
  const state::Millis objective_left_ = {};
  const state::Millis deadline_left_ = {};
  const int slots_ = 1;
  // Share of its slots that a cold target may take, from 0 to 1.
  const double ramp_ = 1;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

// Chooses among candidates. Implementations keep no references to arguments.
// Not thread-safe.
class Strategy {
 public:
  virtual ~Strategy() = default;
  // Returns an index into `candidates`. Precondition: it is not empty.
  virtual size_t Choose(const std::vector<Candidate>& candidates,
                        absl::BitGenRef random) = 0;
  // Whether it is given the targets of all regions and weighs their links
  // itself. Otherwise other regions are left out while a target of the own one
  // can meet the deadline.
  virtual bool weighs_links() const { return false; }
  // Whether the last choice can be answered within its objective. Otherwise it
  // is better refused at once than sent to a target that would refuse it.
  virtual bool can_meet_objective() const { return true; }
  // Whether targets are probed for it.
  virtual bool uses_probes() const { return true; }
};

// Returns a new strategy of that name, or null when there is none. Thread-safe.
std::unique_ptr<Strategy> MakeStrategy(absl::string_view name);

// Returns the names that MakeStrategy knows. Thread-safe.
std::vector<absl::string_view> StrategyNames();

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_STRATEGY_H_
