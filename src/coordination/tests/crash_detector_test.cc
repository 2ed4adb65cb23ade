#include <catch2/catch.hpp>

#include "coordination/internal/guard_work.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

// Guards against an innocent request whose answer breaks off after the crash
// was confirmed: reported as alone in a crash of its own, it would be
// convicted.
TEST_CASE("a late incomplete answer belongs to the crash that was confirmed",
          "[poison]") {
  CrashDetector detector("guard-1-");
  detector.OnIncompleteAnswer("first", 2, Millis(10), Millis(50));
  const auto crash = detector.Confirm(Millis(51));
  REQUIRE(crash.size() == 1);
  detector.OnIncompleteAnswer("late", 1, Millis(20), Millis(52));
  const auto late = detector.Confirm(Millis(53));
  REQUIRE(late.size() == 1);
  CHECK(late[0].crash_id_ == crash[0].crash_id_);
  CHECK_FALSE(late[0].alone_);
}

// Guards against a second crash that is reported under the id of the first.
TEST_CASE("a request of the restarted target makes a new crash", "[poison]") {
  CrashDetector detector("guard-1-");
  detector.OnIncompleteAnswer("first", 2, Millis(10), Millis(50));
  const auto crash = detector.Confirm(Millis(51));
  detector.OnIncompleteAnswer("first", 1, Millis(2000), Millis(2050));
  const auto next = detector.Confirm(Millis(2051));
  REQUIRE(crash.size() == 1);
  REQUIRE(next.size() == 1);
  CHECK(next[0].crash_id_ != crash[0].crash_id_);
  CHECK(next[0].alone_);
}

}  // namespace
}  // namespace gooseberrygap::coordination
