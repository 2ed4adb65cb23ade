#include <catch2/catch.hpp>

#include "state/state.h"

namespace gooseberrygap::state {
namespace {

TargetRecord Make(LeaseVersion version,
                  TargetState state = TargetState::kServing,
                  const std::string& service = "s") {
  return TargetRecord{.target_ = "t",
                      .service_ = service,
                      .instance_ = "i",
                      .state_ = state,
                      .version_ = version};
}

// Guards against a partitioned control instance that, once reconnected,
// overwrites a newer state or renewal with its stale records.
TEST_CASE("a stale record or expiry overrules nothing newer", "[membership]") {
  MembershipTable table;
  table.Merge(Make({1, 5}), "c1", 1, Millis(0));
  CHECK(table.Merge(Make({1, 6}), "c2", 1, Millis(0)) == MergeResult::kNewer);
  CHECK(table.Merge(Make({1, 5}, TargetState::kLeft), "c1", 1, Millis(0)) ==
        MergeResult::kOlder);
  CHECK(table.Merge(Make({0, 99}), "c1", 1, Millis(0)) == MergeResult::kOlder);
  CHECK(table.Find("i")->holder_ == "c2");
  CHECK(table.Find("i")->record_.state_ == TargetState::kServing);
  CHECK(table.version() == 2);
}

// Guards against an expired target that stays listed, or that cannot rejoin.
TEST_CASE("an expiry keeps its lease version", "[membership]") {
  MembershipTable table;
  table.Merge(Make({1, 5}), "c1", 1, Millis(0));
  CHECK(table.Expire("i", Millis(0)));
  CHECK(table.Find("i")->record_.version_ == LeaseVersion{1, 5});
  CHECK(table.Merge(Make({1, 5}), "c1", 1, Millis(0)) == MergeResult::kOlder);
  CHECK(table.Merge(Make({1, 6}), "c1", 1, Millis(0)) == MergeResult::kNewer);
}

// Guards against subscribers that miss a change, in particular when a record
// moves to another service.
TEST_CASE("changes since a version are complete", "[membership]") {
  MembershipTable table;
  table.Merge(Make({1, 1}), "c1", 1, Millis(0));
  const uint64_t seen = table.version();
  table.Merge(Make({1, 2}, TargetState::kDraining, "other"), "c1", 1,
              Millis(0));
  table.SetSuspended("i", true, Millis(0));
  const auto changes = table.ChangesSince(seen);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].former_service_ == "s");
  CHECK(EffectiveRecord(changes[0]).state_ == TargetState::kLeft);
  CHECK(changes[0].record_.state_ == TargetState::kDraining);
  CHECK(table.ChangesSince(table.version()).empty());
}

// Guards against a withdrawal that is lost with the first renewal of a daemon
// that has restarted and does not know of it.
TEST_CASE("a record keeps the last withdrawal", "[membership]") {
  const auto record = [](LeaseVersion version,
                         const TargetWithdrawal& withdrawal) {
    return TargetRecord{
        .instance_ = "i", .version_ = version, .withdrawal_ = withdrawal};
  };
  const TargetWithdrawal first{.target_ = "t", .incarnation_ = 7};
  const TargetWithdrawal second{.target_ = "u", .incarnation_ = 8};
  MembershipTable table;
  table.Merge(record({1, 1}, first), "c1", 1, Millis(0));
  table.Merge(record({2, 1}, {}), "c2", 1, Millis(0));
  CHECK(table.Find("i")->record_.withdrawal_ == first);
  table.Expire("i", Millis(0));
  CHECK(table.Find("i")->record_.withdrawal_ == first);
  table.Merge(record({2, 2}, second), "c2", 1, Millis(0));
  CHECK(table.Find("i")->record_.withdrawal_ == second);
}

// Guards against a delta that omits a purged record.
TEST_CASE("a purged tombstone ends deltas from before it", "[membership]") {
  MembershipTable table;
  table.Merge(Make({1, 1}), "c1", 1, Millis(0));
  const uint64_t seen = table.version();
  table.Expire("i", Millis(0));
  table.Purge(Millis(60 * 1000));
  CHECK(table.HasChangesSince(seen));
  table.Purge(Millis(600 * 1000));
  CHECK(table.Find("i") == nullptr);
  CHECK_FALSE(table.HasChangesSince(seen));
  CHECK(table.HasChangesSince(table.version()));
}

}  // namespace
}  // namespace gooseberrygap::state
