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

// Guards against a second, late copy of an answer that is passed on as the
// answer of the next request on the same connection.
TEST_CASE("an answer that names another request is not the request's own") {
  const auto dialect = MakeTargetDialect();
  const coordination::DeliverToTarget delivery{.request_id_ = "a-1",
                                               .attempt_ = 2};
  const auto is_own = [&](const std::vector<state::HttpHeader>& headers) {
    return dialect->Identify(delivery, {.headers_ = headers}).owner_ ==
           coordination::AnswerOwner::kRequest;
  };
  CHECK(is_own({{.name_ = "gooseberrygap-answer-to", .value_ = "a-1/2"}}));
  CHECK_FALSE(
      is_own({{.name_ = "Gooseberrygap-Answer-To", .value_ = "a-0/1"}}));
  CHECK_FALSE(
      is_own({{.name_ = "Gooseberrygap-Answer-To", .value_ = "a-1/1"}}));
  // Targets need not return the header.
  CHECK(is_own({}));
  CHECK(dialect
            ->Interpret(
                {.answer_ = {.headers_ = {{.name_ = "Gooseberrygap-Answer-To",
                                           .value_ = "a-1/2"}}}})
            .answer_.headers_.empty());
}

}  // namespace
}  // namespace gooseberrygap::protocol
