#ifndef COORDINATION_API_STRATEGY_H_
#define COORDINATION_API_STRATEGY_H_

#include <memory>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/random/bit_gen_ref.h"
#include "state/state.h"

namespace gooseberrygap::coordination {

// Distance that a message travels: within the failure domain, within the region
// or between regions.
enum class LinkClass { kDomain, kRegion, kCrossRegion };

// Routing data of one target, at the moment of the choice.
struct Candidate {
  const std::string target_ = {};
  // Attempts that this daemon has in flight at the target.
  const int own_in_flight_ = 0;
  // The last load that the guard reported, and the age of that report.
  // `has_load_` is false without a report.
  const bool has_load_ = false;
  const state::GuardLoad load_ = {};
  const state::Millis load_age_ = {};
  // Round-trip time to the guard.
  const state::Millis link_latency_ = {};
  // Cost of the call's bytes on the link, as a fraction of the call's value.
  const double link_cost_ = 0;
  // Time left to the latency objective, within which an answer has its full
  // value; 0 when unknown.
  const state::Millis objective_left_ = {};
  const state::Millis deadline_left_ = {};
  // Time that the call's route usually takes at a target; 0 when unknown.
  const state::Millis usual_run_time_ = {};
  const int slots_ = 1;
  // Fraction of its slots, from 0 to 1, that a target may use while it ramps
  // up.
  const double ramp_up_fraction_ = 1;

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
  // Returns whether the strategy chooses among the targets of all regions and
  // weighs the cost of their links itself. Otherwise other regions are left out
  // while a target in the own region can meet the deadline.
  virtual bool weighs_links() const { return false; }
  // Returns whether the target that was chosen last is expected to answer while
  // the answer is useful. Otherwise the call is better refused at once than
  // sent to a target that would refuse it.
  virtual bool can_meet_objective() const { return true; }
  // Returns whether the strategy needs probes of its targets.
  virtual bool uses_probes() const { return true; }
};

// Returns a new strategy of that name, or null for an unknown name.
// Thread-safe.
std::unique_ptr<Strategy> MakeStrategy(absl::string_view name);

// Returns the names that MakeStrategy accepts. Thread-safe.
std::vector<absl::string_view> StrategyNames();

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_STRATEGY_H_
