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

// Weighs own attempts in flight with what guards have reported, the less the
// older it is, and prefers the lowest expected time.
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
  // A report loses half of its weight in this time. Requests in flight shift
  // within milliseconds; how slow a target is holds longer, and a report of it
  // is rarely younger than the probe interval.
  static constexpr double kInFlightHalfLifeMs = 5;
  static constexpr double kLatencyHalfLifeMs = 200;
  // A target whose load is unknown counts as typical.
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
    const double slots =
        std::max(1.0, candidate.slots_ * std::max(0.1, candidate.ramp_));
    const double service_ms =
        latency_weight * candidate.load_.latency_.value() +
        (1 - latency_weight) * typical_ms;
    return candidate.link_latency_.value() +
           service_ms * (1 + in_flight / slots);
  }
};

// Takes the target where the least is lost: by an answer beyond the objective,
// weighed with its likelihood, and by the bytes on links that are paid for.
// Guards tell changes of pace at once, so that a report of it holds for long.
// Answers to calls of 100 to 200 ms on machines whose neighbours slow them for
// half a second at a time.
class ExpectedTimeStrategy : public Strategy {
 public:
  size_t Choose(const Candidates& candidates, absl::BitGenRef random) override {
    const Typical typical = TypicalOf(candidates);
    const size_t best = LowestCost(candidates.size(), random,
                                   [&candidates, &typical](size_t i) {
                                     return Loss(candidates[i], typical);
                                   });
    const state::Millis useful = UsefulTime(candidates[best].objective_left_,
                                            candidates[best].deadline_left_);
    best_is_late_ = ExpectedMillis(candidates[best], typical) >=
                    useful.value() * kSurelyLate;
    return best;
  }
  bool can_meet_objective() const override { return !best_is_late_; }
  bool weighs_links() const override { return true; }
  bool uses_probes() const override { return false; }

 private:
  // A report loses half of its weight in this time.
  static constexpr double kInFlightHalfLifeMs = 100;
  static constexpr double kPaceHalfLifeMs = 1000;
  static constexpr double kTypicalHalfLifeMs = 500;
  // What an answer beyond its objective loses, in parts of the worth of a call.
  static constexpr double kLateLoss = 0.9;
  // Expected times in parts of the objective between which the likelihood to
  // miss it grows from 0 to 1.
  static constexpr double kSurelyInTime = 0.6;
  static constexpr double kSurelyLate = 1.3;
  // Tells apart what is in time or late for certain.
  static constexpr double kTimeLoss = 0.1;
  // Of calls without an objective.
  static constexpr double kDefaultObjectiveMs = 1000;
  // Of a target that has told nothing.
  static constexpr double kDefaultServiceMs = 50;
  // A pace that is not known may be slow.
  static constexpr double kTypicalPace = 1.5;
  // Part of the service time that a full target adds by sharing its machine.
  static constexpr double kFullnessShare = 0.3;

  static double Weight(const Candidate& candidate, double half_life_ms) {
    return candidate.has_load_
               ? std::exp2(-candidate.load_age_.value() / half_life_ms)
               : 0;
  }

  // What is assumed of a target whose own report is missing or old.
  struct Typical {
    double service_ms_ = kDefaultServiceMs;
    double others_ = 0;  // Requests of other daemons.
  };

  static Typical TypicalOf(const Candidates& candidates) {
    Typical typical;
    double service_ms = 0;
    int known_services = 0;
    double others = 0;
    double weights = 0;
    for (const Candidate& candidate : candidates) {
      if (candidate.load_.service_time_ > state::Millis(0)) {
        service_ms += candidate.load_.service_time_.value();
        ++known_services;
      }
      others += Weight(candidate, kTypicalHalfLifeMs) * OthersOf(candidate);
      weights += candidate.has_load_ ? 1 : 0;
    }
    if (known_services > 0) {
      typical.service_ms_ = service_ms / known_services;
    }
    typical.others_ = weights > 0 ? others / weights : 0;
    return typical;
  }

  static double OthersOf(const Candidate& candidate) {
    return std::max(0, candidate.load_.in_flight_ + candidate.load_.queued_ -
                           candidate.own_in_flight_);
  }

  static double Loss(const Candidate& candidate, const Typical& typical) {
    return kLateLoss * LateShare(candidate, typical) +
           kTimeLoss * ObjectiveShare(candidate, typical) +
           candidate.link_loss_;
  }

  // Returns the likelihood of an answer beyond the objective.
  static double LateShare(const Candidate& candidate, const Typical& typical) {
    return std::clamp((ObjectiveShare(candidate, typical) - kSurelyInTime) /
                          (kSurelyLate - kSurelyInTime),
                      0.0, 1.0);
  }

  // Returns the expected time in parts of the objective.
  static double ObjectiveShare(const Candidate& candidate,
                               const Typical& typical) {
    const double objective = candidate.objective_left_ > state::Millis(0)
                                 ? candidate.objective_left_.value()
                                 : kDefaultObjectiveMs;
    return ExpectedMillis(candidate, typical) / objective;
  }

  static double ExpectedMillis(const Candidate& candidate,
                               const Typical& typical) {
    const state::GuardLoad& load = candidate.load_;
    const double weight = Weight(candidate, kInFlightHalfLifeMs);
    const double in_flight = candidate.own_in_flight_ +
                             weight * OthersOf(candidate) +
                             (1 - weight) * typical.others_;
    const double slots =
        std::max(1.0, candidate.slots_ * std::max(0.1, candidate.ramp_));
    const double usual_ms = load.service_time_ > state::Millis(0)
                                ? load.service_time_.value()
                                : typical.service_ms_;
    const double pace_weight =
        load.service_time_percent_ > 0 ? Weight(candidate, kPaceHalfLifeMs) : 0;
    const double service_ms =
        pace_weight * ExpectedServiceTime(state::Millis(usual_ms),
                                          load.service_time_percent_)
                          .value() +
        (1 - pace_weight) * kTypicalPace * usual_ms;
    const double fullness = in_flight / slots;
    const double rounds = std::max(1.0, (in_flight + 1) / slots);
    return candidate.link_latency_.value() +
           service_ms * (rounds + kFullnessShare * fullness);
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
