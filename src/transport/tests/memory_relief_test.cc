#include "transport/internal/memory_relief.h"

#include <catch2/catch.hpp>

#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {
namespace {

constexpr size_t kMiB = 1 << 20;

std::string TextOfLines(size_t lines) {
  std::string text;
  for (size_t i = 0; i < lines; ++i) {
    text += "a:\r\n";
  }
  return text;
}

// Guards against large requests that use up the room of ordinary ones.
TEST_CASE("small requests have a reserve of the account") {
  ByteAccount account({.limit_bytes_ = 100, .reserve_bytes_ = 20});
  CHECK(account.TryTake(HeldKind::kBodies, 80, ByteUse::kLarge));
  CHECK_FALSE(account.TryTake(HeldKind::kBodies, 1, ByteUse::kLarge));
  CHECK(account.TryTake(HeldKind::kHeads, 20, ByteUse::kSmall));
  CHECK_FALSE(account.TryTake(HeldKind::kHeads, 1, ByteUse::kSmall));
  CHECK_FALSE(account.TryTake(HeldKind::kBodies, ~size_t{0}, ByteUse::kLarge));
}

// Guards against bytes that stay charged when a request has ended, or that are
// given back while a copy of its body is still in use.
TEST_CASE("a body's charge ends with its last copy, and wakes who waits") {
  const auto account = std::make_shared<ByteAccount>(
      ByteAccount::Options{.limit_bytes_ = 100, .reserve_bytes_ = 0});
  int woken = 0;
  const uint64_t waiter = account->AddWaiter([&woken] { ++woken; });
  RequestCharge charge(account);
  REQUIRE(charge.body_.TryResize(100, ByteUse::kLarge));
  auto first =
      std::make_unique<state::Bytes>(ChargedBytes("body", std::move(charge)));
  auto second = std::make_unique<state::Bytes>(*first);
  CHECK_FALSE(account->TryTake(HeldKind::kHeads, 1, ByteUse::kSmall));
  first.reset();
  CHECK(account->held() == 100);
  CHECK(second->view() == "body");
  second.reset();
  CHECK(account->held() == 0);
  CHECK(woken == 1);
  account->RemoveWaiter(waiter);
}

// Guards against a limit under which a single legal request is never served.
TEST_CASE("a process of 160 MiB has room for the largest request") {
  ByteAccount account(ByteAccount::OptionsFor(160));
  CHECK(account.limit() < 140 * kMiB);
  const size_t cost = HeadCost(TextOfLines(4096)) + BodyCost(64 * kMiB);
  CHECK(account.TryTake(HeldKind::kBodies, cost, ByteUse::kLarge));
}

// Guards against header lines that cost many times their bytes.
TEST_CASE("each header line has a cost of its own") {
  CHECK(HeadCost(TextOfLines(4096)) > 60 * TextOfLines(4096).size());
  CHECK(UseOf(HeadCost(TextOfLines(20))) == ByteUse::kSmall);
  CHECK(UseOf(HeadCost(TextOfLines(4096))) == ByteUse::kLarge);
}

// Guards against callers that hold room without using it, also by single bytes,
// and against the end of those that get on or wait for the daemon.
TEST_CASE("connections that hold most and progress least are closed") {
  MemoryRelief relief(state::Millis(1000));
  const auto loads = [](uint64_t moved) {
    return std::vector<MemoryRelief::Load>{
        {1, 5 * kMiB, 100, true},                 // Stands still.
        {2, 9 * kMiB, 100 + moved / 1000, true},  // Sends single bytes.
        {3, 9 * kMiB, 100 + moved, true},         // Gets on.
        {4, 9 * kMiB, 100, false},                // Waits for its answer.
        {5, 0, 100, true}};                       // Holds nothing.
  };
  CHECK(relief.Choose(loads(0), kMiB, state::Millis(0)).empty());
  CHECK(relief.Choose(loads(50000), kMiB, state::Millis(999)).empty());
  CHECK(relief.Choose(loads(100000), 0, state::Millis(1000)).empty());
  CHECK(relief.Choose(loads(100000), kMiB, state::Millis(1000)) ==
        std::vector<uint64_t>{2});
  CHECK(relief.Choose(loads(150000), 10 * kMiB, state::Millis(1500)) ==
        std::vector<uint64_t>{2, 1});
}

}  // namespace
}  // namespace gooseberrygap::transport
