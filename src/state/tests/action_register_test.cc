#include <catch2/catch.hpp>

#include "state/state.h"

namespace gooseberrygap::state {
namespace {

constexpr uint64_t kNow = 1000000;

RegisterCommand Make(RegisterOperation operation,
                     uint64_t attempt,
                     const std::string& request = "r1",
                     const std::string& digest = "d1") {
  return RegisterCommand{
      .operation_ = operation,
      .key_ = "svc/k",
      .attempt_ = attempt,
      .digest_ = digest,
      .guard_ = "g1",
      .incarnation_ = 5,
      .nonce_ = "nonce-" + request,
      .request_id_ = request,
      .answer_ = HttpAnswer{.status_ = 200, .body_ = Bytes("paid")}};
}

constexpr auto kBegin = RegisterOperation::kBegin;
constexpr auto kStart = RegisterOperation::kStart;
constexpr auto kFence = RegisterOperation::kFence;
constexpr auto kRelease = RegisterOperation::kRelease;
constexpr auto kFinish = RegisterOperation::kFinish;
constexpr auto kAbandon = RegisterOperation::kAbandon;

// Guards against an action that runs after its caller received `not-run`,
// because a delayed start arrives after the fence.
TEST_CASE("a start that arrives after the fence is refused", "[at_most_once]") {
  ActionRegister actions;
  CHECK(actions.Apply(Make(kBegin, 0), kNow).attempt_ == 1);
  const RegisterResult fenced = actions.Apply(Make(kFence, 1), kNow);
  CHECK(fenced.granted_);
  CHECK(fenced.attempt_ == 2);

  const RegisterResult late = actions.Apply(Make(kStart, 1), kNow);
  CHECK_FALSE(late.granted_);
  CHECK(late.refusal_ == RefusalReason::kStaleAttempt);
  CHECK(late.attempt_ == 2);
  CHECK(actions.Apply(Make(kStart, 2), kNow).granted_);
}

// Guards against losing a fence that arrives before the begin of its key.
TEST_CASE("a fence of an absent key holds against a late begin and start",
          "[at_most_once]") {
  ActionRegister actions;
  CHECK(actions.Apply(Make(kFence, 1), kNow).attempt_ == 2);
  CHECK(actions.Apply(Make(kBegin, 0), kNow).attempt_ == 2);
  CHECK_FALSE(actions.Apply(Make(kStart, 1), kNow).granted_);
}

// Guards against two guards that both run the same action.
TEST_CASE("only one start is granted", "[at_most_once]") {
  ActionRegister actions;
  actions.Apply(Make(kBegin, 0), kNow);
  CHECK(actions.Apply(Make(kStart, 1, "r1"), kNow).granted_);
  const RegisterResult second = actions.Apply(Make(kStart, 1, "r2"), kNow);
  CHECK_FALSE(second.granted_);
  CHECK(second.refusal_ == RefusalReason::kAlreadyStarted);
  // The refused guard must not release the attempt that the other one runs.
  CHECK_FALSE(actions.Apply(Make(kRelease, 1, "r2"), kNow).granted_);
  CHECK(actions.Apply(Make(kBegin, 0), kNow).state_ == ActionState::kStarted);
}

// Guards against a second run when the caller resends after a lost answer or a
// start is repeated after the action ended.
TEST_CASE("a resend after the end gets the stored answer", "[at_most_once]") {
  ActionRegister actions;
  actions.Apply(Make(kBegin, 0), kNow);
  actions.Apply(Make(kStart, 1), kNow);
  CHECK(actions.Apply(Make(kFinish, 1), kNow).granted_);

  const RegisterResult resend = actions.Apply(Make(kBegin, 0, "r9"), kNow);
  CHECK(resend.state_ == ActionState::kDone);
  CHECK(resend.answer_.body_ == Bytes("paid"));
  CHECK_FALSE(actions.Apply(Make(kStart, 1), kNow).granted_);
  const RegisterResult fence = actions.Apply(Make(kFence, 1), kNow);
  CHECK_FALSE(fence.granted_);
  CHECK(fence.answer_.body_ == Bytes("paid"));
}

// Guards against returning one request's answer to a different request with the
// same key.
TEST_CASE("a key that was used for another request is refused",
          "[at_most_once]") {
  ActionRegister actions;
  actions.Apply(Make(kBegin, 0), kNow);
  for (const RegisterOperation operation : {kBegin, kStart, kFence}) {
    const RegisterResult reused =
        actions.Apply(Make(operation, 1, "r2", "other"), kNow);
    CHECK(reused.refusal_ == RefusalReason::kKeyReused);
  }
  CHECK(actions.Apply(Make(kStart, 1), kNow).granted_);
}

// Guards against an operation that is refused or advances the attempt when it
// is repeated after its reply was lost.
TEST_CASE("repeating an operation gives the same result", "[at_most_once]") {
  ActionRegister actions;
  const auto twice = [&actions](const RegisterCommand& command) {
    const RegisterResult first = actions.Apply(command, kNow);
    const RegisterSnapshot after = actions.Snapshot();
    CHECK(first.granted_);
    CHECK(actions.Apply(command, kNow) == first);
    CHECK(actions.Snapshot() == after);
  };
  twice(Make(kBegin, 0));
  twice(Make(kFence, 1));
  twice(Make(kStart, 2));
  twice(Make(kRelease, 2));
  twice(Make(kStart, 3, "r3"));
  twice(RegisterCommand{
      .operation_ = kAbandon, .guard_ = "g1", .incarnation_ = 6});
  twice(Make(kFinish, 3));
}

// Guards against an ingress that treats another ingress's fence as its own and
// answers `not-run` while the other's next attempt runs.
TEST_CASE("another request's fence does not count as a repeat",
          "[at_most_once]") {
  ActionRegister actions;
  actions.Apply(Make(kBegin, 0), kNow);
  actions.Apply(Make(kFence, 1, "r1"), kNow);
  const RegisterResult other = actions.Apply(Make(kFence, 1, "r2"), kNow);
  CHECK_FALSE(other.granted_);
  CHECK(other.refusal_ == RefusalReason::kStaleAttempt);
  CHECK(actions.Apply(Make(kFence, other.attempt_, "r2"), kNow).granted_);
  CHECK_FALSE(actions.Apply(Make(kStart, 2, "r1"), kNow).granted_);
}

// Guards against a second run of an action whose guard restarted while it ran.
TEST_CASE("abandoned keys are never run again", "[at_most_once]") {
  ActionRegister actions;
  actions.Apply(Make(kBegin, 0), kNow);
  actions.Apply(Make(kStart, 1), kNow);
  CHECK(actions.StartedGuards() ==
        std::vector{GuardIncarnation{.guard_ = "g1", .incarnation_ = 5}});
  // The guard's own incarnation is not older.
  RegisterCommand abandon{
      .operation_ = kAbandon, .guard_ = "g1", .incarnation_ = 5};
  actions.Apply(abandon, kNow);
  CHECK(actions.StartedGuards().size() == 1);
  actions.Apply(
      RegisterCommand{
          .operation_ = kAbandon, .guard_ = "g1", .incarnation_ = 6},
      kNow);
  CHECK(actions.StartedGuards().empty());
  CHECK(actions.Apply(Make(kBegin, 0), kNow).state_ == ActionState::kUnknown);
  for (const RegisterOperation operation : {kStart, kFence, kRelease}) {
    CHECK_FALSE(actions.Apply(Make(operation, 1), kNow).granted_);
  }
  CHECK(actions.Apply(Make(kFinish, 1), kNow).state_ == ActionState::kDone);
}

// Guards against a full register that evicts keys to accept new ones.
TEST_CASE("a full register refuses new keys and keeps the old",
          "[at_most_once]") {
  ActionRegister actions;
  actions.SetPolicy(ActionPolicy{.max_keys_ = 1});
  actions.Apply(Make(kBegin, 0), kNow);
  for (const RegisterOperation operation : {kBegin, kFence}) {
    const RegisterCommand other{
        .operation_ = operation, .key_ = "svc/other", .attempt_ = 1};
    CHECK(actions.Apply(other, kNow).refusal_ == RefusalReason::kRegisterFull);
  }
  CHECK(actions.Apply(Make(kStart, 1), kNow).granted_);
}

// Guards against truncating an answer that is too large to store, and against
// running its action again.
TEST_CASE("a resend is refused when the answer was too large",
          "[at_most_once]") {
  ActionRegister actions;
  actions.SetPolicy(ActionPolicy{.max_answer_bytes_ = 3});
  actions.Apply(Make(kBegin, 0), kNow);
  actions.Apply(Make(kStart, 1), kNow);
  CHECK(actions.Apply(Make(kFinish, 1), kNow).granted_);
  const RegisterResult resend = actions.Apply(Make(kBegin, 0), kNow);
  CHECK_FALSE(resend.granted_);
  CHECK(resend.refusal_ == RefusalReason::kAnswerTooLarge);
  CHECK(resend.state_ == ActionState::kDone);
}

// Guards against keys that expire early, in particular when a new leader's wall
// clock is ahead, and against keys that never expire.
TEST_CASE("keys expire after their retention only", "[at_most_once]") {
  constexpr uint64_t kMinuteMillis = 60000;
  ActionRegister actions;
  actions.SetPolicy(ActionPolicy{.retention_ = Millis(600.0 * 1000)});
  actions.Apply(Make(kBegin, 0), kNow);
  actions.Apply(Make(kStart, 1), kNow);
  actions.Expire(kNow + 1000 * kMinuteMillis);
  CHECK(actions.size() == 1);
  // The jump advanced the register time by two minutes.
  for (uint64_t minute = 1; minute <= 7; ++minute) {
    actions.Expire(kNow + (1000 + minute) * kMinuteMillis);
    CHECK(actions.size() == 1);
  }
  actions.Expire(kNow + 1008 * kMinuteMillis);
  CHECK(actions.size() == 0);
}

// Guards against replicas that diverge after restoring a snapshot.
TEST_CASE("a restored register continues as the first", "[at_most_once]") {
  ActionRegister first;
  first.Apply(Make(kBegin, 0), kNow);
  first.Apply(Make(kFence, 1), kNow);
  first.Apply(Make(kStart, 2), kNow);
  ActionRegister second;
  second.Restore(first.Snapshot());
  CHECK(second.StartedGuards() == first.StartedGuards());
  CHECK(first.Apply(Make(kFinish, 2), kNow + 9) ==
        second.Apply(Make(kFinish, 2), kNow + 9));
  CHECK(first.Snapshot() == second.Snapshot());
}

}  // namespace
}  // namespace gooseberrygap::state
