#include "coordination/internal/work_queue.h"

#include <catch2/catch.hpp>

#include "coordination/api/service_time.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

GuardWork Work(const std::string& id,
               int priority,
               Millis objective,
               const std::string& route = "r") {
  return GuardWork{.attempt_ = Attempt{.request_id_ = id,
                                       .priority_ = priority,
                                       .host_ = "h",
                                       .route_ = route},
                   .deadline_ = Millis(10000),
                   .objective_ = objective};
}

std::string NextOf(const WorkQueue& queue, Millis now) {
  const GuardWork* next = queue.Next(kUsualServiceTimePercent, now);
  return next == nullptr ? "" : next->attempt_.request_id_;
}

// Guards against urgent work that waits behind work that arrived earlier, and
// against a slot that is used for an answer that is late in any case.
TEST_CASE("work in time goes first, by priority and then by arrival",
          "[load_cost]") {
  ServiceTimes times;
  times.Add("r", Millis(100));
  WorkQueue queue(&times);
  queue.Push(Work("late", 0, Millis(50)));
  queue.Push(Work("later", 2, Millis(500)));
  queue.Push(Work("urgent", 1, Millis(500)));
  queue.Push(Work("urgent too", 1, Millis(500)));
  CHECK(NextOf(queue, Millis(0)) == "urgent");
  queue.Take(queue.Next(kUsualServiceTimePercent, Millis(0)));
  CHECK(NextOf(queue, Millis(0)) == "urgent too");
  queue.Take(queue.Next(kUsualServiceTimePercent, Millis(0)));
  CHECK(NextOf(queue, Millis(0)) == "later");
  queue.Take(queue.Next(kUsualServiceTimePercent, Millis(0)));
  CHECK(NextOf(queue, Millis(0)) == "late");
}

// Guards against callers that wait for an answer that will be late, while an
// immediate refusal would let them retry.
TEST_CASE("work that cannot be in time is removed", "[load_cost]") {
  ServiceTimes times;
  times.Add("short", Millis(40));
  times.Add("long", Millis(200));
  WorkQueue queue(&times);
  queue.Push(Work("a", 0, Millis(150), "short"));
  queue.Push(Work("b", 0, Millis(150), "long"));
  const std::vector<GuardWork> missed =
      queue.TakeMissedObjectives(kUsualServiceTimePercent, Millis(0));
  REQUIRE(missed.size() == 1);
  CHECK(missed[0].attempt_.request_id_ == "b");
  CHECK(queue.TakeMissedObjectives(kUsualServiceTimePercent, Millis(120))
            .size() == 1);
  CHECK(queue.empty());
}

// Guards against a slow period that counts as if it never ended.
TEST_CASE("work that outlasts a slow period continues at its usual speed",
          "[load_cost]") {
  CHECK(ExpectedServiceTime(Millis(160), kUsualServiceTimePercent) ==
        Millis(160));
  CHECK(ExpectedServiceTime(Millis(10), 700) == Millis(70));
  CHECK(ExpectedServiceTime(Millis(160), 700) == Millis(160) + kMeanSlowPeriod);
}

}  // namespace
}  // namespace gooseberrygap::coordination
