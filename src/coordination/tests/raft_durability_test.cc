#include "coordination/internal/raft_durability.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gooseberrygap::coordination {
namespace {

// Batches in ten minutes with one every 10 ms.
constexpr uint64_t kBatches = 60000;
constexpr size_t kMaxPending = 1024;

// Appends one entry and takes its batch.
void AppendEntry(RaftLog* log, RaftDurability* durability) {
  log->Append(state::LogEntry{.index_ = log->last_index() + 1, .term_ = 1});
  REQUIRE(durability->TakeBatch(*log, {}).has_value());
}

// Guards against a list that grows for as long as the disk hangs, and against
// entries that count as durable before they are.
TEST_CASE("the batches of a disk that hangs are tracked within a bound",
          "[configuration]") {
  RaftLog log({.identity_ = "a"});
  RaftDurability durability(0);
  for (uint64_t index = 1; index <= kBatches; ++index) {
    AppendEntry(&log, &durability);
  }
  CHECK(durability.pending_batches() <= kMaxPending);
  for (const uint64_t sequence :
       {uint64_t{1}, uint64_t{kMaxPending / 2}, kBatches / 2, kBatches - 1}) {
    durability.OnPersisted(sequence);
    CHECK(durability.durable_index() <= sequence);
  }
  durability.OnPersisted(kBatches);
  CHECK(durability.durable_index() == kBatches);
  CHECK(durability.pending_batches() == 0);
}

// Guards against replaced entries that count as durable because a batch that
// covers several others was tracked with the index of an earlier one.
TEST_CASE("replaced entries are not durable after a disk that hung",
          "[configuration]") {
  constexpr uint64_t kKept = 10;
  RaftLog log({.identity_ = "a"});
  RaftDurability durability(0);
  for (uint64_t index = 1; index <= 2 * kMaxPending; ++index) {
    AppendEntry(&log, &durability);
  }
  log.TruncateFrom(kKept + 1);
  durability.OnTruncated(kKept + 1);
  AppendEntry(&log, &durability);
  durability.OnPersisted(2 * kMaxPending);
  CHECK(durability.durable_index() <= kKept);
  durability.OnPersisted(2 * kMaxPending + 1);
  CHECK(durability.durable_index() == kKept + 1);
}

}  // namespace
}  // namespace gooseberrygap::coordination
