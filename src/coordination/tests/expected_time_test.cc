#include <catch2/catch.hpp>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

struct Reported {
  const Millis mean_time_ = Millis(60);
  const int in_flight_ = 0;
  const Millis age_ = {};
  const int own_in_flight_ = 0;
  const Millis usual_run_time_ = Millis(60);
};

Candidate MakeCandidate(const Reported& reported) {
  return Candidate{.own_in_flight_ = reported.own_in_flight_,
                   .has_load_ = true,
                   .load_ = {.in_flight_ = reported.in_flight_,
                             .service_time_percent_ = 100,
                             .service_time_ = reported.mean_time_},
                   .load_age_ = reported.age_,
                   .objective_left_ = Millis(200),
                   .deadline_left_ = Millis(1000),
                   .usual_run_time_ = reported.usual_run_time_,
                   .slots_ = 4};
}

size_t Choose(const std::vector<Candidate>& candidates) {
  std::mt19937_64 random;
  return MakeStrategy("expected_time")->Choose(candidates, random);
}

// Guards against a herd: a target whose last requests were short ones reports a
// small mean, and with it alone a long queue there would look short.
TEST_CASE("a small mean does not make a full target attractive",
          "[load_cost]") {
  const Millis run_time = GENERATE(Millis(0), Millis(60));
  CHECK(Choose({MakeCandidate({.mean_time_ = Millis(5),
                               .in_flight_ = 20,
                               .usual_run_time_ = run_time}),
                MakeCandidate({.usual_run_time_ = run_time})}) == 1);
}

// Guards against an old report of a long queue that counts as an average load,
// although the queue cannot have been worked off since.
TEST_CASE("a long queue does not vanish with the age of its report",
          "[load_cost]") {
  const Millis age(1000);
  std::vector<Candidate> candidates = {
      MakeCandidate({.in_flight_ = 200, .age_ = age})};
  for (int i = 0; i < 20; ++i) {
    candidates.push_back(
        MakeCandidate({.in_flight_ = 5, .age_ = age, .own_in_flight_ = 2}));
  }
  CHECK(Choose(candidates) != 0);
}

}  // namespace
}  // namespace gooseberrygap::coordination
