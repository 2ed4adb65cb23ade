#ifndef COORDINATION_INTERNAL_ROUTER_IMPL_H_
#define COORDINATION_INTERNAL_ROUTER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "coordination/coordination.h"
#include "coordination/internal/latency_window.h"
#include "coordination/internal/link_times.h"
#include "coordination/internal/load_meter.h"
#include "coordination/internal/ratio_budget.h"
#include "coordination/internal/route_trials.h"
#include "coordination/internal/service_times.h"

namespace gooseberrygap::coordination {

// Duration of an ejection, and the age from which a load report no longer keeps
// calls away from a target, unless the report is that the target drains or
// has left.
inline constexpr state::Millis kEjectionTime(1000);

// The state of a router. router_members.cc follows the configuration and the
// membership, router_choice.cc chooses among the members, router_warmup.cc
// leaves cold ones out, router_evacuation.cc excludes evacuated ones,
// router_load.cc records loads and ends of attempts, ejects and probes targets,
// and router.cc holds the budgets for retries and hedges.
class Router::Impl {
 public:
  Impl(const state::TargetRecord& self,
       absl::BitGenRef random,
       state::Counters* counters)
      : self_(self),
        random_(random),
        counters_(counters),
        link_times_(self),
        load_meter_(counters) {}

  void UpdateConfiguration(const state::Configuration& configuration);
  void UpdateTargets(const std::vector<state::TargetRecord>& targets,
                     state::Millis now);
  void UpdateEvacuations(const state::Evacuations& evacuations,
                         state::Millis now);
  std::optional<state::TargetRecord> Choose(const ChoiceQuery& query,
                                            state::Millis now);
  bool HasTarget(absl::string_view service,
                 const state::AllowedRegions& allowed) const;
  bool IsEvacuated(absl::string_view service,
                   const state::AllowedRegions& allowed) const;
  void OnSent(absl::string_view target, state::Millis);
  void OnEnd(const AttemptOutcome& outcome, state::Millis now);
  bool TakeProbe(const std::string& address, state::Millis now);
  void OnLoad(absl::string_view target,
              const state::GuardLoad& load,
              state::Millis now);
  std::optional<ReportedLoad> LoadOf(absl::string_view target,
                                     state::Millis now) const;
  state::Millis UsualLatency(absl::string_view service) const;
  bool TakeRetry(absl::string_view service, state::Millis now);
  bool TakeHedge(absl::string_view service, state::Millis now);
  std::optional<state::Millis> HedgeDelay(absl::string_view service) const;
  Commands Tick(state::Millis now);
  bool SendsProbes(state::Millis now) const;

 private:
  struct Target {
    std::unique_ptr<const state::TargetRecord> record_;
    int own_in_flight_ = 0;
    std::optional<state::GuardLoad> load_;
    state::Millis load_at_;
    state::Millis serving_since_;
    int failures_ = 0;
    state::Millis ejected_until_;
    // This daemon's share of the requests that the target admits while it is
    // cold, and when it was last updated; nothing while the target is warm.
    double share_ = 0;
    std::optional<state::Millis> share_at_;
    std::optional<state::Millis> cold_probe_at_;
  };
  struct ByWarmth {
    std::vector<Target*> warm_;
    std::vector<Target*> cold_with_share_;
    std::vector<Target*> cold_;  // Without a share left.
  };

  struct ServiceState {
    std::unique_ptr<const state::Service> policy_;
    std::unique_ptr<Strategy> strategy_;
    std::vector<Target*> members_;
    size_t next_cold_ = 0;  // Place from which cold targets are looked for.
    RatioBudget retry_budget_;
    RatioBudget hedge_budget_;
    LatencyWindow latencies_;
    std::optional<state::Millis> last_call_;
  };

  static bool IsProbed(const ServiceState& service, state::Millis now);
  LinkClass LinkTo(const state::TargetRecord& record) const {
    return link_times_.ClassOf(record);
  }
  void OnServed(const Target& target,
                const AttemptOutcome& outcome,
                const ServedAttempt& served,
                state::Millis now);
  // Records the size of a call, in bytes.
  void RecordSize(const std::string& route, size_t bytes);
  // Makes the target a member of its service if the admission policy allows it.
  void AdmitMember(Target* target);
  // Returns the target for an attempt, without the charge to its share.
  std::optional<state::TargetRecord> ChooseTarget(const ChoiceQuery& query,
                                                  state::Millis now);
  // Returns the targets on this or the other side of the region's border that
  // may take the call. Ejected ones are returned only when there is no other.
  std::vector<Target*> Eligible(const ServiceState& service,
                                const ChoiceQuery& query,
                                bool local,
                                state::Millis now) const;
  bool IsInEvacuatedDomain(const state::TargetRecord& record) const {
    return evacuated_domains_.contains(record.failure_domain_);
  }
  // Returns the rate at which a cold target admits requests, or 0 for one that
  // is not known to be cold. A target that has started to serve counts as cold
  // until its guard reports.
  static double ColdRate(const Target& target,
                         const state::WarmupPolicy& policy,
                         state::Millis now);
  // Returns whether this daemon's share of `rate` has room for a request.
  bool HasShare(Target* target, double rate, state::Millis now);
  ByWarmth SplitByWarmth(const ServiceState& service,
                         const std::vector<Target*>& targets,
                         state::Millis now);
  // Returns the targets to choose among: cold ones only without a warm one, and
  // those without a share left only if `allows_exhausted`.
  static std::vector<Target*> Preferred(const ByWarmth& split,
                                        bool allows_exhausted);
  // Charges a request to the share of the chosen target if it is cold.
  void TakeShare(const state::TargetRecord& chosen);
  // Probes a cold target, one in a call, in turn: cold targets get too few
  // calls to tell when they are warm.
  Commands ProbeCold(ServiceState* service, state::Millis now);
  // Returns whether the last report of the target's guard allows new work.
  // After a report of draining the target is not tried until a probe reply or
  // the membership reports that it serves again: without control instances the
  // membership continues to list the target as serving.
  static bool GuardTakesWork(const Target& target, state::Millis now);
  static bool MeetsDeadline(const Target& target,
                            state::Millis deadline_left,
                            state::Millis now);
  // Chooses among the targets of all regions, for a strategy that weighs links.
  // Only targets of the own region remain once the budget of the paid link is
  // spent.
  std::optional<state::TargetRecord> ChooseInAllRegions(
      ServiceState* service,
      const ChoiceQuery& query,
      state::Millis now);
  std::optional<state::TargetRecord> ChooseAmong(
      ServiceState* service,
      const std::vector<Target*>& targets,
      const ChoiceQuery& query,
      state::Millis now);
  // Returns the cost of a call's bytes on a link, as a fraction of the call's
  // value.
  double LinkCost(LinkClass link, const ChoiceQuery& query) const;
  Candidate CandidateOf(const Target& target,
                        const state::Service& policy,
                        const ChoiceQuery& query,
                        state::Millis now) const;
  // Ejects a target after repeated failures, unless more than half of its
  // service's targets would be ejected: then the fault is likely elsewhere.
  void EjectIfFailing(Target* target, state::Millis now);
  Commands ProbeOne(const ServiceState& service, state::Millis now);

  const state::TargetRecord self_;
  absl::BitGenRef random_;
  state::Counters* const counters_;
  std::map<std::string, ServiceState, std::less<>> services_;
  absl::flat_hash_map<std::string, std::unique_ptr<Target>> targets_;
  absl::flat_hash_set<std::string> evacuated_domains_;
  // Smoothed size of the calls of each route, in kilobytes.
  absl::flat_hash_map<std::string, double> call_kilobytes_;
  ServiceTimes route_times_;  // Of all targets, for each route.
  RouteTrials route_trials_;
  LinkTimes link_times_;
  std::optional<state::Millis> first_targets_at_;  // First known targets.
  LoadMeter load_meter_;
  state::TokenBucket cross_region_bytes_;
  uint64_t next_probe_id_ = 1;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_ROUTER_IMPL_H_
