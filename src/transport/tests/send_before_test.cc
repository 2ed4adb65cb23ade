#include <catch2/catch.hpp>

#include "transport/tests/support.h"
#include "transport/tests/target_client_support.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {
namespace {

// Guards against a request that is begun to be sent after the authorization of
// its call has ended: on a new connection, and on one in use again.
TEST_CASE("a delivery is not begun after its time", "[not_run]") {
  const TestListener target;
  Client client;
  REQUIRE(client.client_->Deliver(Delivery(target.address(), 1)));
  TestSocket connection = target.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Send(kEmptyAnswer);
  CHECK(client.Next().end_ == DeliveryEnd::kAnswered);
  for (uint64_t id = 2; id <= 3; ++id) {
    REQUIRE(client.client_->Deliver(
        {.delivery_id_ = id,
         .address_ = target.address(),
         .request_ = {.method_ = "GET", .path_ = "/"},
         .timeout_ = kTimeout,
         .send_before_ = state::SteadyClock().Now() - state::Millis(1)}));
    const DeliveryEnded ended = client.Next();
    CHECK(ended.end_ == DeliveryEnd::kTooLateToSend);
    CHECK_FALSE(ended.sent_);
  }
  REQUIRE(client.client_->Deliver(
      {.delivery_id_ = 4,
       .address_ = target.address(),
       .request_ = {.method_ = "GET", .path_ = "/in-time"},
       .timeout_ = kTimeout,
       .send_before_ = state::SteadyClock().Now() + kTimeout}));
  // The second delivery has closed the first connection, and the third opened
  // one on which it sent nothing.
  std::string request;
  while (request.empty()) {
    request = target.Accept().ReadUntil("\r\n\r\n");
  }
  CHECK(request.rfind("GET /in-time", 0) == 0);
}

// Guards against an attempt that waits in the ring of a stopped process and is
// sent after the authorization of its call has ended, and against an ingress
// that waits for the answer to an attempt that was not sent.
TEST_CASE("an attempt is not sent after its time", "[not_run]") {
  Ring<ReceivedPeerMessage> at_guard(16);
  Ring<ReceivedPeerMessage> at_ingress(16);
  state::Counters counters;
  const auto start = [&counters](Ring<ReceivedPeerMessage>* arrivals) {
    auto started = PeerEndpoint::Start(
        {.listen_address_ = "127.0.0.1:0"},
        [arrivals](ReceivedPeerMessage arrival) {
          arrivals->TryPush(std::move(arrival));
        },
        &counters);
    REQUIRE(started);
    return std::move(started).value();
  };
  const std::unique_ptr<PeerEndpoint> guard = start(&at_guard);
  const std::unique_ptr<PeerEndpoint> ingress = start(&at_ingress);
  const state::Millis now = state::SteadyClock().Now();
  const auto send = [&](const std::string& id, state::Millis before) {
    REQUIRE(ingress->Send(
        {.address_ = guard->address(),
         .message_ = coordination::Attempt{.request_id_ = id, .attempt_ = 1},
         .send_before_ = before}));
  };
  send("late", now);
  send("in time", now + kTimeout);
  const auto refused = at_ingress.Pop(kHang);
  REQUIRE(refused.has_value());
  const auto& answer = std::get<coordination::AttemptAnswer>(refused->message_);
  CHECK(answer.request_id_ == "late");
  CHECK(answer.result_ == coordination::AttemptResult::kRefused);
  CHECK(answer.refusal_ == state::RefusalReason::kAuthorizationExpired);
  const auto arrived = at_guard.Pop(kHang);
  REQUIRE(arrived.has_value());
  CHECK(std::get<coordination::Attempt>(arrived->message_).request_id_ ==
        "in time");
}

}  // namespace
}  // namespace gooseberrygap::transport
