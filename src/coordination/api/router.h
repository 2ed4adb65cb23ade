#ifndef COORDINATION_API_ROUTER_H_
#define COORDINATION_API_ROUTER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/random/bit_gen_ref.h"
#include "coordination/api/commands.h"
#include "coordination/api/strategy.h"

namespace gooseberrygap::coordination {

// What a call needs of its target.
struct ChoiceQuery {
  const std::string service_ = {};
  const state::Millis deadline_left_ = {};
  // Time in which an answer is as good as an immediate one.
  const state::Millis objective_left_ = {};
  const std::string route_ = {};
  const bool is_action_ = false;
  // Targets that this call has already tried.
  const std::vector<std::string> tried_ = {};
};

// A target's load as it was last heard of.
struct ReportedLoad {
  const state::GuardLoad load_ = {};
  const state::Millis age_ = {};
};

// How an attempt ended, as far as routing is concerned.
enum class AttemptEnd { kServed, kRefused, kFailed, kLost, kCancelled };

struct AttemptOutcome {
  const std::string service_ = {};
  const std::string target_ = {};
  const AttemptEnd end_ = AttemptEnd::kServed;
  const state::Millis latency_ = {};
  // Absent when no answer came.
  const std::optional<state::GuardLoad> load_ = {};
};

// Chooses targets for the calls that this daemon accepts, from what it knows of
// membership, from the load that answers and probes carry, and from its own
// attempts in flight. Decides also when to probe, within the load budget, and
// when retries and hedges are allowed. Not thread-safe.
class Router {
 public:
  // `self` gives this daemon's region and failure domain. `random` and
  // `counters` must outlive the router.
  Router(state::TargetRecord self,
         absl::BitGenRef random,
         state::Counters* counters);
  ~Router();

  // Takes the configuration into force.
  void UpdateConfiguration(const state::Configuration& configuration);
  // Replaces the known targets of all services.
  void UpdateTargets(const std::vector<state::TargetRecord>& targets,
                     state::Millis now);

  // Returns the target for the next attempt, or nothing if no target may take
  // it or none could answer it in time.
  std::optional<state::TargetRecord> Choose(const ChoiceQuery& query,
                                            state::Millis now);
  // Returns whether the service has any target.
  bool HasTarget(absl::string_view service) const;
  // Records an attempt that was sent to the target.
  void OnSent(absl::string_view target, state::Millis now);
  // Records the end of an attempt. Each OnSent has exactly one OnEnd.
  void OnEnd(const AttemptOutcome& outcome, state::Millis now);
  // Takes a probe of `address` and its reply from the load budget and counts
  // them; false when the budget is spent.
  bool TakeProbe(const std::string& address, state::Millis now);
  // Records the size of a call's request and answer together.
  void OnSize(absl::string_view route, size_t bytes);
  // Records a load that a guard told without an attempt.
  void OnLoad(absl::string_view target,
              const state::GuardLoad& load,
              state::Millis now);
  // Returns what is known of the target's load and how old it is, if anything.
  std::optional<ReportedLoad> LoadOf(absl::string_view target,
                                     state::Millis now) const;
  // Returns how long the service's calls take on targets that are neither slow
  // nor full; 0 when it is not known.
  state::Millis UsualLatency(absl::string_view service) const;

  // Takes one retry from the service's budget; false when it is spent.
  bool TakeRetry(absl::string_view service, state::Millis now);
  // Takes one hedge from the service's budget; false when it is spent.
  bool TakeHedge(absl::string_view service, state::Millis now);
  // Returns the time after which a lookup may be hedged, or nothing.
  std::optional<state::Millis> HedgeDelay(absl::string_view service) const;

  // Returns the probes that are due and allowed by the load budget. Call it
  // about every 10 ms.
  Commands Tick(state::Millis now);
  // Returns whether Tick sends probes to the targets of a service.
  bool SendsProbes(state::Millis now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_ROUTER_H_
