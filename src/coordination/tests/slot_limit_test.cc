#include "coordination/internal/slot_limit.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::coordination {
namespace {

constexpr int kSlots = 6;

SlotLimit Learned(double full_time) {
  SlotLimit limit;
  for (int i = 0; i < 50; ++i) {
    limit.Add(kSlots, kSlots, full_time);
    limit.Add(2, kSlots, 1.0);
  }
  return limit;
}

// Guards against a target that is kept so full that all its answers are late.
TEST_CASE("a target that slows down when full keeps slots free",
          "[load_cost]") {
  CHECK(Learned(1.6).Limit(kSlots) == 4);
}

// Guards against slots of an even target that are left unused.
TEST_CASE("a target that does not slow down uses all its slots",
          "[load_cost]") {
  CHECK(SlotLimit().Limit(kSlots) == kSlots);
  CHECK(Learned(1.1).Limit(kSlots) == kSlots);
}

}  // namespace
}  // namespace gooseberrygap::coordination
