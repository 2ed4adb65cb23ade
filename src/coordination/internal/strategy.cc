#include <algorithm>
#include <array>
#include <cmath>

#include "absl/random/distributions.h"
#include "coordination/api/service_time.h"
#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

namespace {

using Candidates = std::vector<Candidate>;

size_t UniformIndex(size_t count, absl::BitGenRef random) {
  return absl::Uniform<size_t>(random, 0, count);
}

// Returns the index with the lowest cost; ties are broken at random.
template <class Cost>
size_t LowestCost(size_t count, absl::BitGenRef random, Cost cost) {
  size_t best = 0;
  size_t ties = 1;
  for (size_t i = 1; i < count; ++i) {
    if (cost(i) < cost(best)) {
      best = i;
      ties = 1;
    } else if (cost(i) == cost(best)) {
      ++ties;
      if (absl::Uniform<size_t>(random, 0, ties) == 0) {
        best = i;
      }
    }
  }
  return best;
}

class RandomStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef random) override {
    return UniformIndex(candidates.size(), random);
  }
};

class RoundRobinStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef) override {
    return next_++ % candidates.size();
  }

 private:
  size_t next_ = 0;
};

class LeastInFlightStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef random) override {
    return LowestCost(candidates.size(), random, [&candidates](size_t i) {
      return candidates[i].own_in_flight_;
    });
  }
};

class TwoChoicesStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef random) override {
    const size_t first = UniformIndex(candidates.size(), random);
    const size_t second = UniformIndex(candidates.size(), random);
    return candidates[second].own_in_flight_ < candidates[first].own_in_flight_
               ? second
               : first;
  }
};

// Chooses the target with the lowest expected latency. It is estimated from the
// own attempts in flight and from the load that guards have reported, which
// counts less the older it is.
class ProbedLatencyStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef random) override {
    const double typical_ms = TypicalLatency(candidates);
    return LowestCost(candidates.size(), random,
                      [&candidates, typical_ms](size_t i) {
                        return ExpectedMillis(candidates[i], typical_ms);
                      });
  }

 private:
  // A report loses half of its weight in this time. The number of requests in
  // flight changes within milliseconds; the latency of a target changes more
  // slowly, and a report of it is rarely younger than the probe interval.
  static constexpr double kInFlightHalfLifeMs = 5;
  static constexpr double kLatencyHalfLifeMs = 200;
  // Latency that is assumed when no candidate has a load report. Otherwise a
  // candidate without a report is assumed to have the median latency.
  static constexpr double kDefaultLatencyMs = 5;

  static double Weight(const Candidate& candidate, double half_life_ms) {
    return candidate.has_load_
               ? std::exp2(-candidate.load_age_.value() / half_life_ms)
               : 0;
  }

  static double TypicalLatency(const Candidates& candidates) {
    std::vector<double> known;
    for (const Candidate& candidate : candidates) {
      if (candidate.has_load_) {
        known.push_back(candidate.load_.latency_.value());
      }
    }
    if (known.empty()) {
      return kDefaultLatencyMs;
    }
    const auto middle = known.begin() + static_cast<int64_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
  }

  static double ExpectedMillis(const Candidate& candidate, double typical_ms) {
    const double in_flight_weight = Weight(candidate, kInFlightHalfLifeMs);
    const double latency_weight = Weight(candidate, kLatencyHalfLifeMs);
    const int reported = candidate.load_.in_flight_ + candidate.load_.queued_;
    const int others = std::max(0, reported - candidate.own_in_flight_);
    const double in_flight =
        candidate.own_in_flight_ + in_flight_weight * others;
    const double slots = std::max(
        1.0, candidate.slots_ * std::max(0.1, candidate.ramp_up_fraction_));
    const double service_ms =
        latency_weight * candidate.load_.latency_.value() +
        (1 - latency_weight) * typical_ms;
    return candidate.link_latency_.value() +
           service_ms * (1 + in_flight / slots);
  }
};

// Chooses the target with the lowest expected cost: that of an answer after the
// objective, times its probability, plus that of the bytes on paid links.
// Guards report changes of the service time at once, so a report of it stays
// valid for long. Designed for calls of 100 to 200 ms on machines that their
// neighbours slow down for half a second at a time.
class ExpectedTimeStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef random) override {
    const AverageLoad average = AverageLoadOf(candidates);
    const size_t best = LowestCost(
        candidates.size(), random, [&candidates, &average](size_t i) {
          return ExpectedCost(candidates[i], average);
        });
    const state::Millis useful = UsefulTime(candidates[best].objective_left_,
                                            candidates[best].deadline_left_);
    best_is_late_ = ExpectedMillis(candidates[best], average) >=
                    useful.value() * kCertainlyLateRatio;
    return best;
  }
  bool can_meet_objective() const override { return !best_is_late_; }
  bool weighs_links() const override { return true; }
  bool uses_probes() const override { return false; }

 private:
  // A report loses half of its weight in this time.
  static constexpr double kInFlightHalfLifeMs = 100;
  static constexpr double kServiceTimeHalfLifeMs = 1000;
  static constexpr double kAverageLoadHalfLifeMs = 500;
  // Cost of an answer after its objective, as a fraction of the call's value.
  static constexpr double kLateCost = 0.9;
  // Ratios of the expected latency to the objective between which the
  // probability of a late answer rises from 0 to 1.
  static constexpr double kCertainlyInTimeRatio = 0.6;
  static constexpr double kCertainlyLateRatio = 1.3;
  // Cost of one unit of that ratio. It orders targets that are all certain to
  // answer in time, or all certain to answer late.
  static constexpr double kLatencyCost = 0.1;
  // Objective that is assumed for calls without one.
  static constexpr double kDefaultObjectiveMs = 1000;
  // Service time that is assumed when no candidate has reported one.
  static constexpr double kDefaultServiceMs = 50;
  // Factor on the usual service time of a target whose current service time is
  // unknown: it may be slow.
  static constexpr double kUnknownServiceTimeFactor = 1.5;
  // Fraction of the service time that requests on a full target take longer,
  // because they share its machine.
  static constexpr double kFullTargetSlowdown = 0.3;

  static double Weight(const Candidate& candidate, double half_life_ms) {
    return candidate.has_load_
               ? std::exp2(-candidate.load_age_.value() / half_life_ms)
               : 0;
  }

  // Average of the reported loads, assumed of a target whose own report is
  // missing or old.
  struct AverageLoad {
    double service_ms_ = kDefaultServiceMs;
    double other_requests_ = 0;  // Requests of other daemons at a target.
  };

  static AverageLoad AverageLoadOf(const Candidates& candidates) {
    AverageLoad average;
    double service_ms = 0;
    int service_time_reports = 0;
    double other_requests = 0;
    double load_reports = 0;
    for (const Candidate& candidate : candidates) {
      if (candidate.load_.service_time_ > state::Millis(0)) {
        service_ms += candidate.load_.service_time_.value();
        ++service_time_reports;
      }
      other_requests +=
          Weight(candidate, kAverageLoadHalfLifeMs) * OtherRequests(candidate);
      load_reports += candidate.has_load_ ? 1 : 0;
    }
    if (service_time_reports > 0) {
      average.service_ms_ = service_ms / service_time_reports;
    }
    average.other_requests_ =
        load_reports > 0 ? other_requests / load_reports : 0;
    return average;
  }

  static double OtherRequests(const Candidate& candidate) {
    return std::max(0, candidate.load_.in_flight_ + candidate.load_.queued_ -
                           candidate.own_in_flight_);
  }

  static double ExpectedCost(const Candidate& candidate,
                             const AverageLoad& average) {
    return kLateCost * LateProbability(candidate, average) +
           kLatencyCost * LatencyRatio(candidate, average) +
           candidate.link_cost_;
  }

  // Returns the probability of an answer after the objective.
  static double LateProbability(const Candidate& candidate,
                                const AverageLoad& average) {
    return std::clamp(
        (LatencyRatio(candidate, average) - kCertainlyInTimeRatio) /
            (kCertainlyLateRatio - kCertainlyInTimeRatio),
        0.0, 1.0);
  }

  // Returns the ratio of the expected latency to the objective.
  static double LatencyRatio(const Candidate& candidate,
                             const AverageLoad& average) {
    const double objective = candidate.objective_left_ > state::Millis(0)
                                 ? candidate.objective_left_.value()
                                 : kDefaultObjectiveMs;
    return ExpectedMillis(candidate, average) / objective;
  }

  static double ExpectedMillis(const Candidate& candidate,
                               const AverageLoad& average) {
    const double ramp_up = std::max(0.1, candidate.ramp_up_fraction_);
    const double slots = std::max(1.0, candidate.slots_ * ramp_up);
    // The mean of one target's recent requests depends on which routes they
    // were of, so that the average of all targets predicts the requests ahead
    // better.
    const double ahead_ms = ExpectedAtSpeed(candidate, average.service_ms_);
    const double run_ms =
        candidate.usual_run_time_ > state::Millis(0)
            ? ExpectedAtSpeed(candidate, candidate.usual_run_time_.value())
            : ahead_ms;
    const double in_flight =
        candidate.own_in_flight_ +
        std::max(OthersByAverage(candidate, average) * ramp_up,
                 OthersLeft(candidate, ahead_ms));
    const double utilization = in_flight / slots;
    const double rounds = std::max(1.0, (in_flight + 1) / slots);
    return candidate.link_latency_.value() + ahead_ms * (rounds - 1) +
           run_ms * (1 + kFullTargetSlowdown * utilization);
  }

  // Returns the expected duration of work that usually takes `usual_ms`, at the
  // speed of the target that its last report gives.
  static double ExpectedAtSpeed(const Candidate& candidate, double usual_ms) {
    const int percent = candidate.load_.service_time_percent_;
    const double weight =
        percent > 0 ? Weight(candidate, kServiceTimeHalfLifeMs) : 0;
    const double at_reported_speed =
        ExpectedServiceTime(state::Millis(usual_ms), percent).value();
    return weight * at_reported_speed +
           (1 - weight) * kUnknownServiceTimeFactor * usual_ms;
  }

  // Returns the expected number of requests of other daemons, which approaches
  // the average with the age of the report.
  static double OthersByAverage(const Candidate& candidate,
                                const AverageLoad& average) {
    const double weight = Weight(candidate, kInFlightHalfLifeMs);
    return weight * OtherRequests(candidate) +
           (1 - weight) * average.other_requests_;
  }

  // Returns how many of the reported requests cannot have ended yet: a long
  // queue lasts longer than the average load says.
  static double OthersLeft(const Candidate& candidate, double service_ms) {
    if (!candidate.has_load_) {
      return 0;
    }
    const double ended = candidate.load_age_.value() * candidate.slots_ /
                         std::max(1.0, service_ms);
    return OtherRequests(candidate) - ended;
  }

  bool best_is_late_ = false;
};

template <class Concrete>
std::unique_ptr<Strategy> Make() {
  return std::make_unique<Concrete>();
}

struct StrategyRow {
  const absl::string_view name_;
  std::unique_ptr<Strategy> (*const make_)();
};

constexpr std::array<StrategyRow, 6> kStrategies = {{
    {"probed_latency", Make<ProbedLatencyStrategy>},
    {"random", Make<RandomStrategy>},
    {"round_robin", Make<RoundRobinStrategy>},
    {"least_in_flight", Make<LeastInFlightStrategy>},
    {"two_choices", Make<TwoChoicesStrategy>},
    {"expected_time", Make<ExpectedTimeStrategy>},
}};

}  // namespace

std::unique_ptr<Strategy> MakeStrategy(absl::string_view name) {
  for (const StrategyRow& row : kStrategies) {
    if (row.name_ == name) {
      return row.make_();
    }
  }
  return nullptr;
}

std::vector<absl::string_view> StrategyNames() {
  std::vector<absl::string_view> names;
  for (const StrategyRow& row : kStrategies) {
    names.push_back(row.name_);
  }
  return names;
}

}  // namespace gooseberrygap::coordination
