#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::TargetRecord;

TargetRecord Record(const std::string& instance, uint64_t incarnation) {
  return TargetRecord{.target_ = "t",
                      .service_ = "s",
                      .instance_ = instance,
                      .guard_address_ = instance + "-address",
                      .region_ = "r",
                      .failure_domain_ = "d",
                      .slots_ = 4,
                      .state_ = state::TargetState::kServing,
                      .version_ = {.incarnation_ = incarnation}};
}

// Guards against daemons that crash while two instances announce a target with
// the same name, and against requests to the place that the target has left.
TEST_CASE("of two records of a target the newer one is in force",
          "[membership]") {
  std::mt19937_64 random;
  state::Counters counters;
  Router router({.instance_ = "g", .region_ = "r"}, random, &counters);
  router.UpdateConfiguration(
      {.version_ = 1,
       .services_ = {{.name_ = "s", .strategy_ = "expected_time"}}});
  const auto address = [&router] {
    const auto chosen = router.Choose(
        {.service_ = "s", .deadline_left_ = Millis(1000)}, Millis(1));
    return chosen.has_value() ? chosen->guard_address_ : std::string();
  };
  const TargetRecord old_place = Record("b", 5);
  const TargetRecord new_place = Record("a", 9);
  router.UpdateTargets({old_place}, Millis(1));
  CHECK(address() == "b-address");
  // Both orders, and the list that is already known.
  router.UpdateTargets({old_place, new_place}, Millis(1));
  CHECK(address() == "a-address");
  router.UpdateTargets({new_place, old_place}, Millis(1));
  CHECK(address() == "a-address");
  router.UpdateTargets({new_place}, Millis(1));
  CHECK(address() == "a-address");
  router.UpdateTargets({}, Millis(1));
  CHECK(address().empty());
  // The newer one comes first, and both are new to this daemon.
  router.UpdateTargets({new_place, old_place}, Millis(1));
  CHECK(address() == "a-address");
  router.UpdateTargets({old_place}, Millis(1));
  CHECK(address() == "b-address");
}

// Guards against daemons that start together, learn of the targets in parts,
// and send nearly all calls to the part that they learned of first, while the
// other targets ramp up.
TEST_CASE("targets learned soon after the first ones have ramped up",
          "[load_cost]") {
  std::mt19937_64 random;
  state::Counters counters;
  Router router({.instance_ = "g", .region_ = "r"}, random, &counters);
  router.UpdateConfiguration({.version_ = 1,
                              .services_ = {{.name_ = "s",
                                             .strategy_ = "expected_time",
                                             .ramp_up_ = Millis(10000)}}});
  const auto record = [](const std::string& name) {
    return TargetRecord{.target_ = name,
                        .service_ = "s",
                        .instance_ = name,
                        .guard_address_ = name,
                        .region_ = "r",
                        .failure_domain_ = "d",
                        .slots_ = 4,
                        .state_ = state::TargetState::kServing,
                        .version_ = {.incarnation_ = 1}};
  };
  const auto count = [&router](Millis now) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 20; ++i) {
      const auto target =
          router.Choose({.service_ = "s", .deadline_left_ = Millis(1000)}, now);
      REQUIRE(target.has_value());
      router.OnSent(target->target_, now);
      ++chosen[target->target_];
    }
    return chosen;
  };
  router.UpdateTargets({record("first")}, Millis(0));
  router.UpdateTargets({record("first"), record("second")}, Millis(1000));
  CHECK(count(Millis(1001))["second"] == 10);
  router.UpdateTargets({record("first"), record("second"), record("third")},
                       Millis(10000));
  CHECK(count(Millis(10001))["third"] <= 4);
}

}  // namespace
}  // namespace gooseberrygap::coordination
