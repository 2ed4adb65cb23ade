#include "coordination/internal/authorization_lease.h"

#include <catch2/catch.hpp>

#include "coordination/internal/key_confirmation.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

constexpr RevocationPolicy kStrict = {.is_strict_ = true,
                                      .limit_ = Millis(5000)};

LeaseReply Confirming(uint64_t renewal, uint64_t index, double age) {
  return LeaseReply{.granted_ = true,
                    .renewal_ = renewal,
                    .confirmed_index_ = index,
                    .confirmed_age_ = Millis(age)};
}

// Guards against a lease that counts from the receipt of a reply: a reply that
// waited in the socket of a frozen daemon would extend it by a whole limit.
TEST_CASE("a lease counts from the sending of the renewal", "[configuration]") {
  AuthorizationLease lease(kStrict);
  CHECK_FALSE(lease.IsValid(Millis(0)));
  lease.OnRenewalSent(1, Millis(1000));
  lease.OnReply(Confirming(1, 3, 400), 3, Millis(5000));
  CHECK(lease.IsValid(Millis(5540)));
  CHECK(lease.Left(Millis(5500)) == Millis(50));
  // 1,000 - 400 + 5,000 less the margin of 50.
  CHECK_FALSE(lease.IsValid(Millis(5550)));
  CHECK(lease.Left(Millis(7000)) == Millis(0));
}

// Guards against a lease that is extended by a push, by a reply to another
// renewal, by a reply without a confirmation, or by one whose configuration the
// daemon could not apply. The key may be removed in that configuration.
TEST_CASE("a lease is extended only by confirmations of what is in force",
          "[configuration]") {
  AuthorizationLease lease(kStrict);
  lease.OnRenewalSent(1, Millis(100));
  lease.OnReply(Confirming(0, 3, 10), 3, Millis(110));
  lease.OnReply(Confirming(2, 3, 10), 3, Millis(110));
  lease.OnReply(Confirming(1, 4, 10), 3, Millis(110));
  lease.OnReply(Confirming(1, 0, 0), 3, Millis(110));
  lease.OnReply(LeaseReply{.renewal_ = 1, .confirmed_index_ = 3}, 3,
                Millis(110));
  CHECK_FALSE(lease.IsValid(Millis(110)));
  lease.OnReply(Confirming(1, 4, 10), 5, Millis(120));
  CHECK(lease.IsValid(Millis(120)));
  // The number has been used.
  lease.OnRenewalSent(2, Millis(4000));
  lease.OnReply(Confirming(1, 5, 0), 5, Millis(4010));
  CHECK_FALSE(lease.IsValid(Millis(5050)));
}

// Guards against a late reply that shortens the lease, and against one that
// extends it by the age of its renewal.
TEST_CASE("an older confirmation does not change the lease",
          "[configuration]") {
  AuthorizationLease lease(kStrict);
  lease.OnRenewalSent(1, Millis(0));
  lease.OnRenewalSent(2, Millis(1000));
  lease.OnReply(Confirming(2, 3, 0), 3, Millis(1100));
  lease.OnReply(Confirming(1, 3, 0), 3, Millis(3000));
  CHECK(lease.Left(Millis(3000)) == Millis(2950));
}

// Guards against an operator who cannot see why calls are refused.
TEST_CASE("a lost and a regained lease are logged once", "[configuration]") {
  AuthorizationLease lease(kStrict);
  CHECK_FALSE(lease.TakeChange(Millis(0)).has_value());
  lease.OnRenewalSent(1, Millis(0));
  lease.OnReply(Confirming(1, 3, 0), 3, Millis(50));
  CHECK(lease.TakeChange(Millis(50))->event_ == "authorization_lease_regained");
  CHECK_FALSE(lease.TakeChange(Millis(60)).has_value());
  CHECK(lease.TakeChange(Millis(4950))->event_ == "authorization_lease_lost");
  CHECK_FALSE(lease.TakeChange(Millis(5000)).has_value());
}

// Guards against a control instance that confirms keys with the answer of a
// read before it has applied what the read found, and against a confirmation
// that counts from the answer instead of the request.
TEST_CASE("a confirmation counts from the request of its read",
          "[configuration]") {
  KeyConfirmation confirmation;
  CHECK_FALSE(confirmation.IsReadDue(Millis(0)));
  confirmation.Require(Millis(3000), Millis(0));
  REQUIRE(confirmation.IsReadDue(Millis(0)));
  confirmation.OnReadStarted(1, Millis(0));
  CHECK_FALSE(confirmation.IsReadDue(Millis(200)));
  CHECK(confirmation.IsReadDue(Millis(250)));
  CHECK_FALSE(confirmation.OnReadAnswered({.read_id_ = 9, .confirmed_ = true}));
  REQUIRE(confirmation.OnReadAnswered(
      {.read_id_ = 1, .confirmed_ = true, .index_ = 7}));
  confirmation.OnApplied(6, 4);
  CHECK_FALSE(confirmation.Last(Millis(300)).has_value());
  confirmation.OnApplied(7, 7);
  REQUIRE(confirmation.Last(Millis(300)).has_value());
  CHECK(confirmation.Last(Millis(300))->index_ == 7);
  CHECK(confirmation.Last(Millis(300))->at_ == Millis(0));
  confirmation.OnReadStarted(2, Millis(250));
  REQUIRE(confirmation.OnReadAnswered({.read_id_ = 2, .confirmed_ = false}));
  confirmation.OnApplied(8, 7);
  CHECK(confirmation.Last(Millis(300))->at_ == Millis(0));
  // A confirmation from before a time without such daemons is too old.
  confirmation.Require(Millis(9000), Millis(4000));
  CHECK_FALSE(confirmation.Last(Millis(4000)).has_value());
}

}  // namespace
}  // namespace gooseberrygap::coordination
