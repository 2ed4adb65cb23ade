#include "coordination/internal/service_times.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

// Guards against a target that is cold after its start, knows none of its
// service times and admits any number of requests.
TEST_CASE("times at another speed count until the first usual one",
          "[load_cost]") {
  ServiceTimes times;
  CHECK(times.For("r") == Millis(0));
  times.AddAtSpeed("r", Millis(300), 300);
  CHECK(times.For("r") == Millis(100));
  CHECK(times.mean() == Millis(100));
  times.Add("r", Millis(40));
  CHECK(times.For("r") == Millis(40));
  CHECK(times.mean() == Millis(40));
}

// Guards against the time of one route that stands for another one where the
// caller has a better estimate.
TEST_CASE("a route without a time has none of its own", "[load_cost]") {
  ServiceTimes times;
  times.Add("r", Millis(40));
  CHECK(times.For("other") == Millis(40));
  CHECK(times.ForRoute("other") == Millis(0));
  CHECK(times.ForRoute("r") == Millis(40));
}

}  // namespace
}  // namespace gooseberrygap::coordination
