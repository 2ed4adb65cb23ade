#include <catch2/catch.hpp>

#include "protocol/internal/strategy_names.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

// Guards against a configuration that names a strategy which the router does
// not have, and against a strategy that no configuration can name.
TEST_CASE("configurations name exactly the strategies of the router") {
  const std::vector<absl::string_view> known = coordination::StrategyNames();
  CHECK(std::vector<absl::string_view>(kStrategyNames.begin(),
                                       kStrategyNames.end()) == known);
  for (const absl::string_view name : kStrategyNames) {
    CHECK(coordination::MakeStrategy(name) != nullptr);
  }
}

}  // namespace
}  // namespace gooseberrygap::protocol
