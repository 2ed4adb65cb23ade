#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "transport/tests/support.h"
#include "transport/transport.h"

// Figures for docs/MEASUREMENTS.md. Hidden from normal runs, since they depend
// on the machine: run `transport_tests [measure]`.

namespace gooseberrygap::transport {
namespace {

constexpr int kRounds = 5000;

void PrintRoundTrips(const char* what, const std::function<void(int)>& round) {
  const state::SteadyClock clock;
  std::vector<double> times;
  for (int i = 0; i < kRounds; ++i) {
    const state::Millis start = clock.Now();
    round(i);
    times.push_back((clock.Now() - start).value() * 1000);
  }
  std::sort(times.begin(), times.end());
  std::cout << what << ": median " << times[kRounds / 2] << " us, p99 "
            << times[kRounds * 99 / 100] << " us over " << kRounds
            << " rounds\n";
}

TEST_CASE("round trip of a peer message", "[.measure]") {
  state::Counters counters;
  std::unique_ptr<PeerEndpoint> guard;
  absl::Notification ready;
  Ring<int> answers(16);
  auto started = PeerEndpoint::Start(
      {.listen_address_ = "127.0.0.1:0"},
      [&](PeerArrival arrival) {
        ready.WaitForNotification();
        guard->Reply({.connection_ = arrival.connection_,
                      .message_ = coordination::ProbeReply{}});
      },
      &counters);
  REQUIRE(started);
  guard = std::move(started).value();
  ready.Notify();
  auto ingress = PeerEndpoint::Start(
      {.listen_address_ = "127.0.0.1:0"},
      [&](PeerArrival) { answers.TryPush(1); }, &counters);
  REQUIRE(ingress);
  PrintRoundTrips("peer round trip", [&](int i) {
    ingress.value()->Send({.address_ = guard->address(),
                           .message_ = coordination::Probe{
                               .probe_id_ = static_cast<uint64_t>(i)}});
    REQUIRE(answers.Pop(kHang));
  });
  ingress.value().reset();
  guard.reset();
}

}  // namespace
}  // namespace gooseberrygap::transport
