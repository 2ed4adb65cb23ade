#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

Candidate MakeCandidate(const std::string& target,
                        Millis mean_time,
                        int in_flight) {
  return Candidate{.target_ = target,
                   .has_load_ = true,
                   .load_ = {.in_flight_ = in_flight,
                             .service_time_percent_ = 100,
                             .service_time_ = mean_time},
                   .objective_left_ = Millis(200),
                   .deadline_left_ = Millis(1000),
                   .usual_run_time_ = Millis(60),
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
  CHECK(Choose({MakeCandidate("full", Millis(5), 20),
                MakeCandidate("idle", Millis(60), 0)}) == 1);
}

// Guards against an old report of a long queue that counts as an average load,
// although the queue cannot have been worked off since.
TEST_CASE("a long queue does not vanish with the age of its report",
          "[load_cost]") {
  Candidate queue = MakeCandidate("queue", Millis(60), 60);
  const Candidate aged{.target_ = queue.target_,
                       .has_load_ = true,
                       .load_ = queue.load_,
                       .load_age_ = Millis(300),
                       .objective_left_ = queue.objective_left_,
                       .deadline_left_ = queue.deadline_left_,
                       .usual_run_time_ = queue.usual_run_time_,
                       .slots_ = queue.slots_};
  CHECK(Choose({aged, MakeCandidate("busy", Millis(60), 5)}) == 1);
}

}  // namespace
}  // namespace gooseberrygap::coordination
