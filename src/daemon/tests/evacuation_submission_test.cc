#include "daemon/evacuation_submission.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::daemon {
namespace {

using coordination::EvacuationReply;
using coordination::EvacuationStatus;
using state::Evacuations;
using state::Millis;
using End = EvacuationSubmission::End;
using Read = EvacuationSubmission::Read;
using Submit = EvacuationSubmission::Submit;
using Situation = EvacuationSubmission::Situation;

constexpr Millis kReceived(1000);

Evacuations LastOrder(bool evacuated, uint64_t index) {
  return Evacuations{.index_ = index,
                     .domains_ = {{.failure_domain_ = "zone-1",
                                   .evacuated_ = evacuated,
                                   .index_ = index}}};
}

EvacuationSubmission StartOrder() {
  return EvacuationSubmission({.failure_domain_ = "zone-1"}, kReceived);
}

template <class T>
T Get(const EvacuationSubmission::Step& step) {
  REQUIRE(std::holds_alternative<T>(step));
  return std::get<T>(step);
}

// Guards against an order that is refused, or never submitted with a current
// index, because another order was committed after the read.
TEST_CASE("a conflict leads to another read and a submission with its index",
          "[evacuation]") {
  EvacuationSubmission order = StartOrder();
  Get<Read>(order.Start({.now_ = kReceived}));
  const auto first =
      Get<Submit>(order.OnRead(Evacuations(), {.now_ = Millis(1010)}));
  CHECK(first.order_ == state::EvacuationOrder{.failure_domain_ = "zone-1"});
  Get<Read>(order.OnReply({.status_ = EvacuationStatus::kConflict},
                          {.now_ = Millis(1100)}));
  const auto second =
      Get<Submit>(order.OnRead(LastOrder(false, 9), {.now_ = Millis(1200)}));
  CHECK(second.order_.known_index_ == 9);
  CHECK(second.timeout_ == Millis(3800));
  CHECK(Get<End>(order.OnReply(
            {.status_ = EvacuationStatus::kAccepted, .index_ = 12},
            {.now_ = Millis(1300)})) ==
        End{.outcome_ = OrderOutcome::kAccepted, .index_ = 12});
}

// Guards against an acknowledgement that leaves an opposite order, submitted
// earlier and still on its way, able to undo the order.
TEST_CASE("an order that is in force already is submitted with the last index",
          "[evacuation]") {
  EvacuationSubmission order = StartOrder();
  order.Start({.now_ = kReceived});
  const auto submit =
      Get<Submit>(order.OnRead(LastOrder(true, 5), {.now_ = Millis(1010)}));
  CHECK(submit.order_.known_index_ == 5);
  CHECK(submit.order_.evacuates_);
  CHECK(Get<End>(
            order.OnReply({.status_ = EvacuationStatus::kAccepted, .index_ = 8},
                          {.now_ = Millis(1020)})) ==
        End{.outcome_ = OrderOutcome::kAccepted, .index_ = 8});
}

// Guards against an order that a frozen instance submits long after its caller
// has left, when the operator may have given the opposite order elsewhere.
TEST_CASE("an order whose caller has left is not submitted", "[evacuation]") {
  const Situation left{.now_ = Millis(1010), .caller_waits_ = false};
  EvacuationSubmission queued = StartOrder();
  CHECK(Get<End>(queued.Start(left)).outcome_ == OrderOutcome::kCallerLeft);
  EvacuationSubmission read = StartOrder();
  Get<Read>(read.Start({.now_ = kReceived}));
  CHECK(Get<End>(read.OnRead(Evacuations(), left)).outcome_ ==
        OrderOutcome::kCallerLeft);
  // After a submission without an answer, the order may take effect.
  EvacuationSubmission sent = StartOrder();
  sent.Start({.now_ = kReceived});
  Get<Submit>(sent.OnRead(Evacuations(), {.now_ = kReceived}));
  CHECK_FALSE(sent.MaySubmit(left));
  CHECK(Get<End>(sent.OnReply({.status_ = EvacuationStatus::kNoQuorum}, left))
            .outcome_ == OrderOutcome::kNotCertain);
}

// Guards against an order that is submitted after its caller has stopped to
// resend it, because it waited in a ring or its instance was frozen.
TEST_CASE("an order that has waited for more than 4 s is not submitted",
          "[evacuation]") {
  const Situation late{.now_ = Millis(5001)};
  EvacuationSubmission queued = StartOrder();
  CHECK(Get<End>(queued.Start(late)).outcome_ == OrderOutcome::kTooLate);
  EvacuationSubmission frozen = StartOrder();
  Get<Read>(frozen.Start({.now_ = kReceived}));
  CHECK(Get<End>(frozen.OnRead(Evacuations(), late)).outcome_ ==
        OrderOutcome::kTooLate);
}

// Guards against a read that is lost with its leader and uses up the second
// after which the caller leaves, and against reads that are always too short
// for a slow quorum.
TEST_CASE("reads without an answer are repeated with longer timeouts",
          "[evacuation]") {
  EvacuationSubmission order = StartOrder();
  CHECK(Get<Read>(order.Start({.now_ = kReceived})).timeout_ == Millis(250));
  CHECK(Get<Read>(order.OnRead({}, {.now_ = Millis(1250)})).timeout_ ==
        Millis(500));
  CHECK(Get<Read>(order.OnRead({}, {.now_ = Millis(1750)})).timeout_ ==
        Millis(1000));
  CHECK(Get<Read>(order.OnRead({}, {.now_ = Millis(4900)})).timeout_ ==
        Millis(100));
}

}  // namespace
}  // namespace gooseberrygap::daemon
