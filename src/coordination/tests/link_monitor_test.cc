#include <catch2/catch.hpp>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

// Ticks every 10 ms from 0 until a link is reset; returns the time, or the end
// of the run without one.
Millis TimeOfReset(LinkMonitor* monitor, bool may_probe, Millis end) {
  for (Millis now; now < end; now = now + Millis(10)) {
    const LinkMonitor::Step step = monitor->Tick(
        now, [may_probe](const std::string&) { return may_probe; });
    if (!step.reset_addresses_.empty()) {
      return now;
    }
  }
  return end;
}

// Guards against a call that waits on a link that lost track of its connection.
TEST_CASE("a silent link is replaced after an unanswered probe",
          "[silent_link]") {
  LinkMonitor monitor;
  monitor.OnSent("a", Millis(0));
  CHECK(TimeOfReset(&monitor, true, Millis(5000)) == Millis(400));
}

// Guards against a link that is never replaced because the budget for measuring
// load is spent, or too small for a single check: its requests would be lost as
// long as new ones keep it open.
TEST_CASE("a silent link is replaced without a budget", "[silent_link]") {
  LinkMonitor monitor;
  monitor.OnSent("a", Millis(0));
  CHECK(TimeOfReset(&monitor, false, Millis(5000)) <= Millis(1500));
}

// Guards against checks of a link that carries answers.
TEST_CASE("a link with a recent message is not replaced", "[silent_link]") {
  LinkMonitor monitor;
  monitor.OnSent("a", Millis(0));
  monitor.OnReceived("a", Millis(0));
  CHECK(TimeOfReset(&monitor, false, Millis(5000)) == Millis(5000));
}

}  // namespace
}  // namespace gooseberrygap::coordination
