#include <catch2/catch.hpp>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::RefusalReason;

constexpr const char* kControl = "control-address";
constexpr const char* kKey = "key-of-gold";

state::Shared<state::Tenant> MakeTenant(
    const std::string& name,
    const std::string& key,
    const std::vector<std::string>& regions = {}) {
  return state::Shared<state::Tenant>(state::Tenant{
      .name_ = name, .api_keys_ = {key}, .allowed_regions_ = regions});
}

state::Route MakeRoute(const std::string& prefix,
                       bool allows_anonymous,
                       const std::vector<std::string>& regions = {}) {
  return state::Route{.name_ = prefix,
                      .host_ = "h",
                      .path_prefix_ = prefix,
                      .request_class_ = state::RequestClass::kLookup,
                      .max_attempts_ = 3,
                      .destinations_ = {{"s", 1}},
                      .allows_anonymous_ = allows_anonymous,
                      .allowed_regions_ = regions};
}

state::TargetRecord MakeTarget(const std::string& name,
                               const std::string& region) {
  return state::TargetRecord{.target_ = name,
                             .service_ = "s",
                             .instance_ = name,
                             .guard_address_ = name + "-guard",
                             .region_ = region,
                             .failure_domain_ = region + "-a",
                             .slots_ = 4,
                             .state_ = state::TargetState::kServing,
                             .version_ = {1, 1}};
}

// A daemon in front of two targets in its region and two in another.
class TestDaemon {
 public:
  explicit TestDaemon(bool is_strict)
      : node_({.self_ = {.instance_ = "g",
                         .guard_address_ = "g-guard",
                         .region_ = "near",
                         .failure_domain_ = "near-a",
                         .version_ = {.incarnation_ = 5, .sequence_ = 1}},
               .control_instances_ = {{"c", kControl, "near"}},
               .revocation_ = {.is_strict_ = is_strict}},
              random_,
              &counters_) {
    Tick();
    Configure(1, {MakeTenant("gold", kKey)});
  }

  // Answers the last renewal with a configuration of these tenants.
  void Configure(uint64_t index,
                 const std::vector<state::Shared<state::Tenant>>& tenants,
                 bool is_numbered = true) {
    const state::Configuration configuration{
        .version_ = index,
        .services_ = {state::Service{.name_ = "s",
                                     .strategy_ = "expected_time"}},
        .routes_ = {MakeRoute("/keyed/", false), MakeRoute("/open/", true),
                    MakeRoute("/near/", true, {"near"}),
                    MakeRoute("/far/", true, {"far"})},
        .tenants_ = tenants};
    Reply(LeaseReply{
        .control_instance_ = "c",
        .granted_ = true,
        .configuration_index_ = index,
        .configuration_confirmed_ = true,
        .configuration_ =
            std::make_shared<const state::Configuration>(configuration),
        .membership_epoch_ = 1,
        .membership_version_ = 1,
        .membership_full_ = true,
        .membership_ = {MakeTarget("t1", "near"), MakeTarget("t2", "near"),
                        MakeTarget("t3", "far"), MakeTarget("t4", "far")},
        .renewal_ = is_numbered ? renewal_ : 0,
        .confirmed_index_ = index});
  }
  void Reply(const LeaseReply& reply) {
    Take(node_.Handle(
        PeerMessageReceived{.address_ = kControl, .message_ = reply}, now_));
  }
  void Tick() { Take(node_.Handle(Ticked{}, now_)); }
  Commands Call(const std::string& path,
                const std::optional<std::string>& key) {
    return Take(
        node_.Handle(CallReceived{.call_id_ = ++call_,
                                  .host_ = "h",
                                  .request_ = {.method_ = "GET", .path_ = path},
                                  .api_key_ = key},
                     now_));
  }
  Commands Answer(const Attempt& attempt, RefusalReason refusal) {
    return Take(node_.Handle(
        PeerMessageReceived{
            .address_ = attempt.target_ + "-guard",
            .message_ = AttemptAnswer{.request_id_ = attempt.request_id_,
                                      .attempt_ = attempt.attempt_,
                                      .result_ = AttemptResult::kRefused,
                                      .refusal_ = refusal,
                                      .target_ = attempt.target_}},
        now_));
  }
  RefusalReason RefusalOf(const std::string& path,
                          const std::optional<std::string>& key) {
    return RefusalIn(Call(path, key));
  }

  static RefusalReason RefusalIn(const Commands& commands) {
    for (const Command& command : commands) {
      if (const auto* answer = std::get_if<AnswerCall>(&command)) {
        CHECK(answer->answer_.outcome_ == Outcome::kNotRun);
        return answer->answer_.reason_;
      }
    }
    return RefusalReason::kNone;
  }
  static std::vector<SendToPeer> AttemptsIn(const Commands& commands) {
    std::vector<SendToPeer> attempts;
    for (const Command& command : commands) {
      const auto* send = std::get_if<SendToPeer>(&command);
      if (send != nullptr && std::holds_alternative<Attempt>(send->message_)) {
        attempts.push_back(*send);
      }
    }
    return attempts;
  }

  Millis now_ = Millis(0);
  std::mt19937_64 random_;
  state::Counters counters_;
  Node node_;

 private:
  // Remembers the number of the last renewal.
  Commands Take(Commands commands) {
    for (const Command& command : commands) {
      const auto* send = std::get_if<SendToPeer>(&command);
      const auto* renew =
          send == nullptr ? nullptr : std::get_if<LeaseRenew>(&send->message_);
      if (renew != nullptr && renew->renewal_ != 0) {
        renewal_ = renew->renewal_;
      }
    }
    return commands;
  }

  uint64_t renewal_ = 0;
  uint64_t call_ = 0;
};

const Attempt& AttemptOf(const SendToPeer& send) {
  return std::get<Attempt>(send.message_);
}

// Guards against a daemon that is cut off and serves a removed key for ever,
// and against one that then refuses callers that need no key.
TEST_CASE("keys are served only under a valid lease", "[configuration]") {
  const bool is_strict = GENERATE(true, false);
  TestDaemon daemon(is_strict);
  CHECK(daemon.RefusalOf("/keyed/x", kKey) == RefusalReason::kNone);
  daemon.now_ = Millis(4940);
  CHECK(daemon.RefusalOf("/keyed/x", kKey) == RefusalReason::kNone);
  daemon.now_ = Millis(4960);
  CHECK(daemon.RefusalOf("/keyed/x", kKey) ==
        (is_strict ? RefusalReason::kAuthorizationExpired
                   : RefusalReason::kNone));
  CHECK(daemon.RefusalOf("/open/x", std::nullopt) == RefusalReason::kNone);
  CHECK(daemon.counters_.Get(state::AccessOutcome::kLeaseExpired) ==
        (is_strict ? 1 : 0));
}

// Guards against a caller that is told for good that its key is unknown by a
// daemon that is cut off from the change that has added it.
TEST_CASE("a call without a valid key is refused", "[configuration]") {
  TestDaemon daemon(true);
  CHECK(daemon.RefusalOf("/keyed/x", "other") == RefusalReason::kUnknownKey);
  CHECK(daemon.RefusalOf("/open/x", "other") == RefusalReason::kUnknownKey);
  CHECK(daemon.RefusalOf("/keyed/x", std::nullopt) ==
        RefusalReason::kUnknownKey);
  daemon.now_ = Millis(2500);
  CHECK(daemon.RefusalOf("/keyed/x", "other") == RefusalReason::kControlTooOld);
  CHECK(daemon.RefusalOf("/keyed/x", std::nullopt) ==
        RefusalReason::kControlTooOld);
}

// Guards against a lease that a push extends, and against a daemon that waits a
// whole renewal interval for its lease to come back.
TEST_CASE("a lease that runs low is renewed early", "[configuration]") {
  TestDaemon daemon(true);
  for (; daemon.now_ < Millis(4960); daemon.now_ = daemon.now_ + Millis(10)) {
    daemon.Tick();
  }
  daemon.Configure(1, {MakeTenant("gold", kKey)}, false);
  CHECK(daemon.RefusalOf("/keyed/x", kKey) ==
        RefusalReason::kAuthorizationExpired);
  for (int i = 0; i < 26; ++i) {
    daemon.now_ = daemon.now_ + Millis(10);
    daemon.Tick();
  }
  daemon.Configure(1, {MakeTenant("gold", kKey)});
  CHECK(daemon.RefusalOf("/keyed/x", kKey) == RefusalReason::kNone);
}

// Guards against a retry that is sent after the lease of its first attempt has
// ended, and against one under a key that was removed meanwhile.
TEST_CASE("the key of a call is checked again before a retry",
          "[configuration]") {
  TestDaemon daemon(true);
  daemon.now_ = Millis(4900);
  const auto sent = TestDaemon::AttemptsIn(daemon.Call("/keyed/x", kKey));
  REQUIRE(sent.size() == 1);
  CHECK(AttemptOf(sent[0]).tenant_ == "gold");
  CHECK(AttemptOf(sent[0]).authorization_left_ == Millis(50));
  CHECK(sent[0].send_before_ == Millis(4950));
  SECTION("after the end of the lease") {
    daemon.now_ = Millis(4950);
    const Commands commands =
        daemon.Answer(AttemptOf(sent[0]), RefusalReason::kOverloaded);
    CHECK(TestDaemon::AttemptsIn(commands).empty());
    CHECK(TestDaemon::RefusalIn(commands) ==
          RefusalReason::kAuthorizationExpired);
  }
  SECTION("under a newer configuration") {
    const bool keeps_key = GENERATE(true, false);
    daemon.Configure(2, {MakeTenant("gold", keeps_key ? kKey : "new")});
    const Commands commands =
        daemon.Answer(AttemptOf(sent[0]), RefusalReason::kOverloaded);
    CHECK(TestDaemon::AttemptsIn(commands).size() == (keeps_key ? 1 : 0));
    CHECK(TestDaemon::RefusalIn(commands) ==
          (keeps_key ? RefusalReason::kNone : RefusalReason::kUnknownKey));
  }
}

// Guards against a call whose body reaches a region that its route or its
// tenant excludes, on the first attempt or on a retry.
TEST_CASE("every attempt stays in the allowed regions", "[path]") {
  struct Case {
    std::string path_;
    std::vector<std::string> tenant_regions_;
    std::vector<std::string> targets_;
  };
  const Case each = GENERATE(values<Case>({
      {"/near/x", {}, {"t1", "t2"}},
      {"/keyed/x", {"near"}, {"t1", "t2"}},
      {"/near/x", {"near", "far"}, {"t1", "t2"}},
      {"/far/x", {"far"}, {"t3", "t4"}},
      {"/far/x", {"near"}, {}},
      {"/keyed/x", {"elsewhere"}, {}},
  }));
  CAPTURE(each.path_, each.tenant_regions_);
  TestDaemon daemon(false);
  daemon.Configure(2, {MakeTenant("gold", kKey, each.tenant_regions_)});
  // The budget for the link between regions fills from the start.
  daemon.now_ = Millis(1000);
  Commands commands = daemon.Call(each.path_, kKey);
  if (each.targets_.empty()) {
    CHECK(TestDaemon::AttemptsIn(commands).empty());
    CHECK(TestDaemon::RefusalIn(commands) == RefusalReason::kNoAllowedRegion);
    return;
  }
  size_t attempts = 0;
  for (auto sent = TestDaemon::AttemptsIn(commands); !sent.empty();
       sent = TestDaemon::AttemptsIn(commands)) {
    ++attempts;
    REQUIRE(sent.size() == 1);
    CHECK_THAT(each.targets_,
               Catch::VectorContains(AttemptOf(sent[0]).target_));
    commands = daemon.Answer(AttemptOf(sent[0]), RefusalReason::kOverloaded);
  }
  CHECK(attempts > 1);
  CHECK(TestDaemon::RefusalIn(commands) == RefusalReason::kOverloaded);
}

}  // namespace
}  // namespace gooseberrygap::coordination
