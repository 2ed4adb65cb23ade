#include "transport/api/ring.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "transport/api/answer_slot.h"

namespace {

// Added to the time of day that this program reads.
std::atomic<time_t> time_of_day_offset_s = 0;

}  // namespace

// Takes the place of the C library's function, so that a test can change the
// time of day of its own process.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const long result = syscall(SYS_clock_gettime, clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) {
    time->tv_sec += time_of_day_offset_s.load();
  }
  return static_cast<int>(result);
}

namespace gooseberrygap::transport {
namespace {

using state::Millis;

// While the time of day that a wait is computed from is this far ahead of the
// system's, as it is after the system's has been set back.
class ClockAhead {
 public:
  explicit ClockAhead(time_t seconds) { time_of_day_offset_s = seconds; }
  ~ClockAhead() { time_of_day_offset_s = 0; }
  ClockAhead(const ClockAhead&) = delete;
  ClockAhead& operator=(const ClockAhead&) = delete;
};

// Guards against duties that stand still, with their leases and deadlines,
// until the time of day has caught up after it was set back.
TEST_CASE("a wait does not follow the time of day") {
  const state::SteadyClock clock;
  const Millis begin = clock.Now();
  const ClockAhead ahead(4);
  Ring<int> ring(1);
  CHECK_FALSE(ring.Pop(Millis(20)).has_value());
  AnswerSlot<int> slot;
  CHECK_FALSE(slot.Wait(Millis(20)).has_value());
  CHECK(clock.Now() - begin < Millis(4000));
}

// Guards against a consumer that sleeps on although an item has come.
TEST_CASE("a waiting consumer gets an item and learns of the end") {
  Ring<int> ring(1);
  std::thread producer([&ring] { ring.TryPush(5); });
  CHECK(ring.Pop(Millis(20000)) == 5);
  producer.join();
  CHECK(ring.TryPush(6));
  CHECK_FALSE(ring.TryPush(7));
  std::thread closer([&ring] { ring.Close(); });
  closer.join();
  CHECK(ring.Pop(Millis(20000)) == 6);
  CHECK_FALSE(ring.Pop(Millis(20000)).has_value());
}

// Guards against the end of a work that is lost because other items have filled
// the ring: nothing would ever report it again.
TEST_CASE("an item that must not be lost finds room in a full ring", "[ring]") {
  Ring<int> ring(2, 1);
  REQUIRE(ring.TryPush(1));
  REQUIRE(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.TryPushReserved(4));
  CHECK_FALSE(ring.TryPushReserved(5));
  CHECK_FALSE(ring.TryPush(6));
  for (const int expected : {1, 2, 4}) {
    CHECK(ring.TryPop() == expected);
  }
}

}  // namespace
}  // namespace gooseberrygap::transport
