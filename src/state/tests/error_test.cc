#include <catch2/catch.hpp>

#include "state/state.h"

namespace gooseberrygap::state {
namespace {

// Guards against an error kind without a table row, whose message would have no
// remedy.
TEST_CASE("every error kind has a name and a remedy") {
  for (int i = 1; i < static_cast<int>(ErrorKind::kCount); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    CHECK_FALSE(NameOf(kind).empty());
    CHECK_FALSE(RemedyOf(kind).empty());
  }
}

// Guards against reason names that are missing or duplicated.
TEST_CASE("reasons have distinct names") {
  std::vector<std::string> labels;
  const Counters counters;
  for (const CounterSample& sample : counters.Samples()) {
    const std::string series = sample.name_ + sample.labels_;
    CHECK(std::find(labels.begin(), labels.end(), series) == labels.end());
    CHECK(sample.labels_ != "reason=\"\"");
    labels.push_back(series);
  }
}

}  // namespace
}  // namespace gooseberrygap::state
