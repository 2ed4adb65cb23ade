#include "transport/internal/connect_schedule.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gooseberrygap::transport {
namespace {

using state::Millis;

// Guards against a link that waits for the kernel to repeat a lost connect
// while its peer has started, and against connects that are given up before a
// slow host can accept any of them.
TEST_CASE("a connect gets more time with each unanswered link") {
  ConnectSchedule schedule;
  std::vector<Millis> times;
  for (int i = 0; i < 4; ++i) {
    times.push_back(schedule.OnLinkOpened("a").connect_);
  }
  CHECK(times == std::vector<Millis>{Millis(300), Millis(1000), Millis(3500),
                                     Millis(3500)});
  CHECK(schedule.OnLinkOpened("b").connect_ == Millis(300));
  schedule.OnReceived("a");
  CHECK(schedule.OnLinkOpened("a").connect_ == Millis(300));
}

// Guards against a link that only ever sends and is closed again and again,
// with the messages that wait in it.
TEST_CASE("only the first links are replaced while nothing comes") {
  ConnectSchedule schedule;
  CHECK(schedule.OnLinkOpened("a").is_replaced_);
  CHECK(schedule.OnLinkOpened("a").is_replaced_);
  CHECK_FALSE(schedule.OnLinkOpened("a").is_replaced_);
  CHECK_FALSE(schedule.OnLinkOpened("a").is_replaced_);
}

}  // namespace
}  // namespace gooseberrygap::transport
