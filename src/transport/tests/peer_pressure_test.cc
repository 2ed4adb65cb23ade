#include <catch2/catch.hpp>

#include "transport/tests/support.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {
namespace {

constexpr size_t kLimitBytes = 1 << 20;

std::unique_ptr<PeerEndpoint> StartEndpoint(
    const std::shared_ptr<ByteAccount>& account,
    Ring<ReceivedPeerMessage>* arrivals,
    state::Counters* counters) {
  auto started = PeerEndpoint::Start(
      {.listen_address_ = "127.0.0.1:0", .account_ = account},
      [arrivals](ReceivedPeerMessage arrival) {
        arrivals->TryPush(std::move(arrival));
      },
      counters);
  REQUIRE(started);
  return std::move(started).value();
}

coordination::Attempt MakeAttempt(const std::string& id, size_t body_bytes) {
  return coordination::Attempt{
      .request_id_ = id,
      .attempt_ = 2,
      .target_ = "t",
      .request_ = {.method_ = "POST",
                   .path_ = "/",
                   .body_ = state::Bytes(std::string(body_bytes, 'b'))}};
}

// Guards against attempts of many daemons that fill the memory of one guard,
// and against a refusal that leaves open whether the request has run.
TEST_CASE("an attempt without room at the guard is refused as not run") {
  state::Counters counters;
  const auto account = std::make_shared<ByteAccount>(ByteAccount::Options{
      .limit_bytes_ = kLimitBytes, .reserve_bytes_ = kLimitBytes / 8});
  Ring<ReceivedPeerMessage> at_guard(16);
  Ring<ReceivedPeerMessage> at_ingress(16);
  const auto guard = StartEndpoint(account, &at_guard, &counters);
  const auto ingress =
      StartEndpoint(std::make_shared<ByteAccount>(), &at_ingress, &counters);
  const auto send = [&](const std::string& id, size_t body_bytes) {
    REQUIRE(ingress->Send({.address_ = guard->address(),
                           .message_ = MakeAttempt(id, body_bytes)}));
  };
  send("first", kLimitBytes / 4);
  auto first =
      std::make_unique<std::optional<ReceivedPeerMessage>>(at_guard.Pop(kHang));
  REQUIRE(first->has_value());
  CHECK((*first)->message_ ==
        coordination::PeerMessage(MakeAttempt("first", kLimitBytes / 4)));
  send("second", kLimitBytes / 4);
  const auto refusal = at_ingress.Pop(kHang);
  REQUIRE(refusal);
  CHECK(refusal->message_ ==
        coordination::PeerMessage(coordination::AttemptAnswer{
            .request_id_ = "second",
            .attempt_ = 2,
            .result_ = coordination::AttemptResult::kRefused,
            .refusal_ = state::RefusalReason::kMemoryPressure,
            .target_ = "t"}));
  CHECK(counters.Get(state::RefusalReason::kMemoryPressure) == 1);
  send("small", 100);
  CHECK(at_guard.Pop(kHang).has_value());
  first.reset();
  send("third", kLimitBytes / 4);
  CHECK(at_guard.Pop(kHang).has_value());
  CHECK(Eventually([&] { return account->held() == 0; }));
}

}  // namespace
}  // namespace gooseberrygap::transport
