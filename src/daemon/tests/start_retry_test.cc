#include "daemon/start_retry.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::daemon {
namespace {

using state::ErrorKind;
using state::Millis;

// A step that fails this many times, and counts its runs.
struct Step {
  state::Result<int> operator()() {
    ++runs_;
    if (runs_ <= failures_) {
      return state::MakeError(kind_, "failed");
    }
    return runs_;
  }

  const int failures_ = 0;
  const ErrorKind kind_ = ErrorKind::kAddressInUse;
  int runs_ = 0;
};

// Guards against a process that ends at its start because of an address that an
// earlier process or a connection holds for a moment.
TEST_CASE("a step of the start is repeated while its error may pass") {
  Millis waited;
  StartRetry retry([&waited](Millis time) {
    waited = waited + time;
    return false;
  });
  Step step{.failures_ = 7};
  const state::Result<int> result = retry.Run([&step] { return step(); });
  REQUIRE(result.has_value());
  CHECK(result.value() == 8);
  CHECK(waited == Millis(700));
  CHECK_FALSE(retry.stopped());
}

// Guards against a process that hides wrong settings or a corrupt log by trying
// again without an end.
TEST_CASE("a start fails at once with an error that stays") {
  StartRetry retry([](Millis) {
    FAIL("waited");
    return false;
  });
  for (const ErrorKind kind :
       {ErrorKind::kInvalidSettings, ErrorKind::kCorruptLog}) {
    Step step{.failures_ = 1, .kind_ = kind};
    const state::Result<int> result = retry.Run([&step] { return step(); });
    REQUIRE(result.has_error());
    CHECK(result.error().kind_ == kind);
    CHECK(step.runs_ == 1);
  }
}

// Guards against a process that never tells that it cannot start, and against
// one that does not stop while it waits.
TEST_CASE("a start ends when its time is over or it is told to stop") {
  const bool is_stopped = GENERATE(false, true);
  int waits = 0;
  StartRetry retry([&](Millis) {
    ++waits;
    return is_stopped && waits == 3;
  });
  Step step{.failures_ = 1000000};
  const state::Result<int> result =
      retry.Run([&step] { return step(); }, Millis(1000));
  REQUIRE(result.has_error());
  CHECK(result.error().kind_ == ErrorKind::kAddressInUse);
  CHECK(retry.stopped() == is_stopped);
  CHECK(waits == (is_stopped ? 3 : 10));
}

}  // namespace
}  // namespace gooseberrygap::daemon
