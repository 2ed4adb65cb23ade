#include <catch2/catch.hpp>

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

// Guards against a request that a target has not run and that counts as run.
TEST_CASE("an answer with the shed header declines the request") {
  const auto dialect = MakeTargetDialect();
  const auto declines =
      [&dialect](const std::vector<state::HttpHeader>& headers) {
        return dialect
            ->Interpret(coordination::DeliveryEnded{
                .answer_ = {.status_ = 503, .headers_ = headers}})
            .declined_;
      };
  CHECK(declines({{.name_ = "gooseberrygap-shed", .value_ = "1"}}));
  CHECK_FALSE(declines({{.name_ = "Retry-After", .value_ = "1"}}));
}

}  // namespace
}  // namespace gooseberrygap::protocol
