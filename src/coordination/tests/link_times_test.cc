#include "coordination/internal/link_times.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

state::TargetRecord Target(const std::string& region,
                           const std::string& failure_domain) {
  return {.region_ = region, .failure_domain_ = failure_domain};
}

// Guards against a choice by usual round trips in a deployment with others, as
// between regions that are 60 ms apart.
TEST_CASE("the round trip to a failure domain is learned", "[path]") {
  LinkTimes times(Target("a", "a1"));
  CHECK(times.For(Target("a", "a1")) == Millis(0));
  CHECK(times.For(Target("a", "a2")) == Millis(2));
  CHECK(times.For(Target("b", "b1")) == Millis(24));
  times.Add(Target("b", "b1"), Millis(60));
  CHECK(times.For(Target("b", "b1")) == Millis(60));
  // Another failure domain of the region is about as far.
  CHECK(times.For(Target("b", "b2")) == Millis(60));
  CHECK(times.For(Target("c", "c1")) == Millis(24));
  CHECK(times.For(Target("bb", "b1")) == Millis(24));
}

// Guards against a target that counts as far after one answer that took a
// connect or a retransmission.
TEST_CASE("a longer round trip counts less than a shorter one", "[path]") {
  LinkTimes times(Target("a", "a1"));
  times.Add(Target("a", "a2"), Millis(2));
  times.Add(Target("a", "a2"), Millis(1002));
  CHECK(times.For(Target("a", "a2")) < Millis(60));
  for (int i = 0; i < 6; ++i) {
    times.Add(Target("a", "a2"), Millis(2));
  }
  CHECK(times.For(Target("a", "a2")) < Millis(3));
}

// Guards against a clock step at the guard that makes a link infinitely good.
TEST_CASE("no round trip is below 0", "[path]") {
  LinkTimes times(Target("a", "a1"));
  times.Add(Target("a", "a2"), Millis(-50));
  CHECK(times.For(Target("a", "a2")) == Millis(0));
}

}  // namespace
}  // namespace gooseberrygap::coordination
