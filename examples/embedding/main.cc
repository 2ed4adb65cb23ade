// Uses the routing decisions of gooseberrygap as a library: without a daemon,
// sockets or threads.

#include <cstdio>

#include "absl/random/random.h"
#include "coordination/coordination.h"

namespace {

using gooseberrygap::coordination::AttemptEnd;
using gooseberrygap::coordination::AttemptOutcome;
using gooseberrygap::coordination::ChoiceQuery;
using gooseberrygap::coordination::Router;
using gooseberrygap::state::Configuration;
using gooseberrygap::state::Counters;
using gooseberrygap::state::Millis;
using gooseberrygap::state::Service;
using gooseberrygap::state::TargetRecord;
using gooseberrygap::state::TargetState;

TargetRecord MakeTarget(const char* name) {
  return TargetRecord{.target_ = name,
                      .service_ = "catalogue",
                      .guard_address_ = name,
                      .region_ = "cartago",
                      .failure_domain_ = "cartago-a",
                      .slots_ = 6,
                      .state_ = TargetState::kServing};
}

}  // namespace

int main() {
  absl::BitGen random;
  Counters counters;
  Router router(
      TargetRecord{.region_ = "cartago", .failure_domain_ = "cartago-a"},
      random, &counters);
  router.UpdateConfiguration(Configuration{
      .version_ = 1, .services_ = {Service{.name_ = "catalogue"}}});
  router.UpdateTargets({MakeTarget("fast"), MakeTarget("slow")}, Millis(0));

  int chosen_fast = 0;
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    const Millis now(i);
    const auto target = router.Choose(
        ChoiceQuery{.service_ = "catalogue", .deadline_left_ = Millis(100)},
        now);
    if (!target.has_value()) {
      return 1;
    }
    const bool is_fast = target->target_ == "fast";
    chosen_fast += is_fast ? 1 : 0;
    router.OnSent(target->target_, now);
    router.OnEnd(AttemptOutcome{.service_ = "catalogue",
                                .target_ = target->target_,
                                .end_ = AttemptEnd::kServed,
                                .latency_ = Millis(is_fast ? 2 : 50),
                                .load_ = {{.slots_ = 6,
                                           .latency_ = Millis(is_fast ? 2 : 50),
                                           .state_ = TargetState::kServing}}},
                 now);
  }
  std::printf("The fast target took %d of %d calls.\n", chosen_fast, kCalls);
  return 0;
}
