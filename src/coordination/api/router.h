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

// What a call requires of the target to choose.
struct ChoiceQuery {
  const std::string service_ = {};
  const state::Millis deadline_left_ = {};
  // Time left to the latency objective; an answer within it has its full value.
  const state::Millis objective_left_ = {};
  const std::string route_ = {};
  const bool is_action_ = false;
  // Targets that this call has already tried.
  const std::vector<std::string> tried_ = {};
  const state::AllowedRegions allowed_regions_ = {};
};

// The last load that a target's guard reported, and the age of that report.
struct ReportedLoad {
  const state::GuardLoad load_ = {};
  const state::Millis age_ = {};
};

// How an attempt ended, in the terms that routing distinguishes.
enum class AttemptEnd { kServed, kRefused, kFailed, kLost, kCancelled };

// What a served attempt shows of its route and of the link to its target.
struct ServedAttempt {
  const std::string route_ = {};
  const size_t bytes_ = 0;  // Of the request's and the answer's bodies.
  const state::Millis guard_time_ = {};
  // Time for which the target ran the request; 0 when it is not reported.
  const state::Millis run_time_ = {};
};

struct AttemptOutcome {
  const std::string service_ = {};
  const std::string target_ = {};
  const AttemptEnd end_ = AttemptEnd::kServed;
  const state::Millis latency_ = {};
  // Load that the answer reported; nothing without an answer.
  const std::optional<state::GuardLoad> load_ = {};
  // Set for kServed, if the times are known.
  const std::optional<ServedAttempt> served_ = {};
};

// Chooses targets for the calls that this daemon accepts, based on membership,
// on the load that answers and probe replies report, and on its own attempts in
// flight. Also decides when to probe, within the load budget, and when retries
// and hedges are allowed. Not thread-safe.
class Router {
 public:
  // `self` gives this daemon's region and failure domain. `random` and
  // `counters` must outlive the router.
  Router(state::TargetRecord self,
         absl::BitGenRef random,
         state::Counters* counters);
  ~Router();

  // Applies the configuration to the calls from now on.
  void UpdateConfiguration(const state::Configuration& configuration);
  // Replaces the known targets of all services.
  void UpdateTargets(const std::vector<state::TargetRecord>& targets,
                     state::Millis now);

  // Excludes the targets in the evacuated failure domains from now on, and
  // admits those in all others. What was known of targets that return is
  // forgotten: they may have become cold.
  void UpdateEvacuations(const state::Evacuations& evacuations,
                         state::Millis now);

  // Returns the target for the next attempt, or nothing if no target is
  // eligible or none is expected to answer in time.
  std::optional<state::TargetRecord> Choose(const ChoiceQuery& query,
                                            state::Millis now);
  // Returns whether the service has any target in a region that `allowed`
  // allows.
  bool HasTarget(absl::string_view service,
                 const state::AllowedRegions& allowed = {}) const;
  // Returns whether the service has serving targets in regions that `allowed`
  // allows, and all of them are in evacuated failure domains.
  bool IsEvacuated(absl::string_view service,
                   const state::AllowedRegions& allowed) const;
  // Records an attempt that was sent to the target.
  void OnSent(absl::string_view target, state::Millis now);
  // Records the end of an attempt. Each OnSent has exactly one OnEnd.
  void OnEnd(const AttemptOutcome& outcome, state::Millis now);
  // Charges a probe of `address` and its reply to the load budget and counts
  // them. Returns false when the budget is spent.
  bool TakeProbe(const std::string& address, state::Millis now);
  // Records a load that the target's guard reported outside an answer.
  void OnLoad(absl::string_view target,
              const state::GuardLoad& load,
              state::Millis now);
  // Returns the last reported load of the target, or nothing without a report.
  std::optional<ReportedLoad> LoadOf(absl::string_view target,
                                     state::Millis now) const;
  // Returns the latency of the service's calls on targets that are neither slow
  // nor full; 0 while it is unknown.
  state::Millis UsualLatency(absl::string_view service) const;

  // Takes one retry from the service's budget. Returns false when it is spent.
  bool TakeRetry(absl::string_view service, state::Millis now);
  // Takes one hedge from the service's budget. Returns false when it is spent.
  bool TakeHedge(absl::string_view service, state::Millis now);
  // Returns the time after which a lookup may be hedged, or nothing while too
  // few latencies are recorded.
  std::optional<state::Millis> HedgeDelay(absl::string_view service) const;

  // Returns the probes that are due and allowed by the load budget. Call it
  // about every 10 ms.
  Commands Tick(state::Millis now);
  // Returns whether Tick sends probes to the targets of any service.
  bool SendsProbes(state::Millis now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_ROUTER_H_
