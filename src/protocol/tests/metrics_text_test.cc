#include <catch2/catch.hpp>

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

// Guards against a page that a Prometheus scraper refuses: a family described
// twice, or a line break inside its help.
TEST_CASE("metrics describe each family once") {
  const std::vector<state::CounterSample> samples = {
      {.name_ = "a_total", .help_ = "First\nline \\.", .value_ = 1},
      {.name_ = "b_total",
       .labels_ = "reason=\"x\"",
       .help_ = "By reason.",
       .value_ = 18446744073709551615U},
      {.name_ = "b_total", .labels_ = "reason=\"y\"", .help_ = "By reason."}};
  CHECK(PrintMetrics(samples) ==
        "# HELP a_total First\\nline \\\\.\n"
        "# TYPE a_total counter\n"
        "a_total 1\n"
        "# HELP b_total By reason.\n"
        "# TYPE b_total counter\n"
        "b_total{reason=\"x\"} 18446744073709551615\n"
        "b_total{reason=\"y\"} 0\n");
}

}  // namespace
}  // namespace gooseberrygap::protocol
