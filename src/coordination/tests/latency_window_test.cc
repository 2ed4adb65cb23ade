#include "coordination/internal/latency_window.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

// Returns a window with the latencies 1 to 100 ms.
LatencyWindow FilledWindow() {
  LatencyWindow window;
  for (int i = 1; i <= 100; ++i) {
    window.Add(Millis(i));
  }
  return window;
}

// Guards against a hedge delay that is the usual latency, or the reverse: the
// two quantiles of a service are read alternately from one window.
TEST_CASE("each quantile has its own value", "[load_cost]") {
  const LatencyWindow window = FilledWindow();
  CHECK(window.Quantile(0.3) == Millis(31));
  CHECK(window.Quantile(0.95) == Millis(96));
  CHECK(window.Quantile(0.3) == Millis(31));
}

// Guards against a cached quantile that never follows new samples.
TEST_CASE("a quantile follows new samples", "[load_cost]") {
  LatencyWindow window = FilledWindow();
  CHECK(window.Quantile(0.5) == Millis(51));
  for (int i = 0; i < 400; ++i) {
    window.Add(Millis(1000));
  }
  CHECK(window.Quantile(0.5) == Millis(1000));
}

// Guards against a hedge after the latency of the first few calls only.
TEST_CASE("few samples give no quantile", "[load_cost]") {
  LatencyWindow window;
  window.Add(Millis(5));
  CHECK_FALSE(window.Quantile(0.5).has_value());
}

}  // namespace
}  // namespace gooseberrygap::coordination
