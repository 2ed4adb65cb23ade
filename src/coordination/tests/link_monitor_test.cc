#include <catch2/catch.hpp>
#include <variant>
#include <vector>

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

// A path on which a new connection carries its first message late. Answers come
// at once from then on.
class LateLink {
 public:
  explicit LateLink(Millis connect_time) : connect_time_(connect_time) {}

  // Sends a message every 100 ms and ticks every 10 ms, until an answer comes
  // or until `end`. Returns the times at which the link was replaced.
  std::vector<Millis> Run(LinkMonitor* monitor, bool may_probe, Millis end) {
    std::vector<Millis> replaced;
    Millis connecting_since;
    for (int tick = 0; Millis(10 * tick) < end; ++tick) {
      const Millis now(10 * tick);
      if (tick % 10 == 0) {
        monitor->OnSent("a", now);
      }
      if (now - connecting_since >= connect_time_) {
        monitor->OnReceived("a", now);
        is_up_ = true;
        break;
      }
      const LinkMonitor::Step step = monitor->Tick(
          now, [may_probe](const std::string&) { return may_probe; });
      for (const Command& command : step.commands_) {
        if (std::holds_alternative<ResetLink>(command)) {
          replaced.push_back(now);
          connecting_since = now;
        }
      }
    }
    return replaced;
  }

  bool is_up() const { return is_up_; }

 private:
  const Millis connect_time_;
  bool is_up_ = false;
};

// Guards against a link that never comes up because it is replaced before its
// connect is through, again and again.
TEST_CASE("a link that connects slowly comes up", "[silent_link]") {
  const bool may_probe = GENERATE(true, false);
  LinkMonitor monitor;
  LateLink link(Millis(1500));
  link.Run(&monitor, may_probe, Millis(10000));
  CHECK(link.is_up());
}

// Guards against a link that is replaced too rarely after a long cut: a daemon
// counts as reachable 3 s after the heal, and must be up to date then.
TEST_CASE("a silent link is replaced within 3 s however long it was",
          "[silent_link]") {
  const bool may_probe = GENERATE(true, false);
  LinkMonitor monitor;
  LateLink link(Millis(1e9));
  const auto replaced = link.Run(&monitor, may_probe, Millis(60000));
  REQUIRE(replaced.size() > 1);
  for (size_t i = 1; i < replaced.size(); ++i) {
    CHECK((replaced[i] - replaced[i - 1]).value() <= 3000);
  }
}

// Guards against calls that wait on a silent link for longer because its
// replacement is put off.
TEST_CASE("a link whose replacement is put off is still reported",
          "[silent_link]") {
  LinkMonitor monitor;
  for (Millis start; start < Millis(10000); start = start + Millis(1000)) {
    monitor.OnSent("a", start);
    bool is_reported = false;
    for (Millis age; age <= Millis(400); age = age + Millis(10)) {
      const LinkMonitor::Step step =
          monitor.Tick(start + age, [](const std::string&) { return true; });
      is_reported = is_reported || !step.reset_addresses_.empty();
    }
    CHECK(is_reported);
  }
}

// Guards against a link that was slow once and is then replaced late when it
// goes silent again.
TEST_CASE("a message on a link ends the delay of its replacement",
          "[silent_link]") {
  LinkMonitor monitor;
  LateLink(Millis(1e9)).Run(&monitor, true, Millis(10000));
  monitor.OnReceived("a", Millis(10000));
  monitor.OnSent("a", Millis(20000));
  bool is_replaced = false;
  for (Millis now(20000); now <= Millis(20400); now = now + Millis(10)) {
    const LinkMonitor::Step step =
        monitor.Tick(now, [](const std::string&) { return true; });
    for (const Command& command : step.commands_) {
      is_replaced = is_replaced || std::holds_alternative<ResetLink>(command);
    }
  }
  CHECK(is_replaced);
}

}  // namespace
}  // namespace gooseberrygap::coordination
