#include "coordination/internal/slot_limit.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::coordination {
namespace {

constexpr int kSlots = 6;

// Returns the limit after 50 requests on a full target, which took `full_time`
// times their usual time, and 50 on a target with two running requests.
SlotLimit LimitAfterSamples(double full_time) {
  SlotLimit limit;
  for (int i = 0; i < 50; ++i) {
    limit.Add(kSlots, kSlots, full_time);
    limit.Add(2, kSlots, 1.0);
  }
  return limit;
}

// Guards against a target that is filled until all its answers are late.
TEST_CASE("a target that slows down when full keeps slots free",
          "[load_cost]") {
  CHECK(LimitAfterSamples(1.6).Limit(kSlots) == 4);
}

// Guards against unused slots of a target with a constant service time.
TEST_CASE("a target that does not slow down uses all its slots",
          "[load_cost]") {
  CHECK(SlotLimit().Limit(kSlots) == kSlots);
  CHECK(LimitAfterSamples(1.1).Limit(kSlots) == kSlots);
}

}  // namespace
}  // namespace gooseberrygap::coordination
