#include <catch2/catch.hpp>
#include <random>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;
using state::RefusalReason;

constexpr const char* kLeader = "control-address";

// A daemon in front of one target, with a tenant that has a quota and one that
// has none.
class QuotaDaemon {
 public:
  QuotaDaemon()
      : node_({.self_ = {.instance_ = "g",
                         .guard_address_ = "g-guard",
                         .version_ = {.incarnation_ = 5, .sequence_ = 1}},
               .control_instances_ = {{"c", kLeader, ""}}},
              random_,
              &counters_) {
    Handle(Ticked{});
    Lease(kLeader);
  }

  void Lease(const std::string& leader) {
    const state::Configuration configuration{
        .version_ = 1,
        .services_ = {state::Service{.name_ = "s",
                                     .strategy_ = "expected_time"}},
        .routes_ = {state::Route{
            .name_ = "r",
            .host_ = "h",
            .path_prefix_ = "/",
            .request_class_ = state::RequestClass::kLookup,
            .max_attempts_ = 3,
            .destinations_ = {{"s", 1}},
        }},
        .tenants_ = {
            state::Shared<state::Tenant>(state::Tenant{.name_ = "limited",
                                                       .api_keys_ = {"l"},
                                                       .calls_per_second_ = 10,
                                                       .burst_calls_ = 10}),
            state::Shared<state::Tenant>(
                state::Tenant{.name_ = "free", .api_keys_ = {"f"}})}};
    Handle(PeerMessageReceived{
        .address_ = kLeader,
        .message_ = LeaseReply{
            .control_instance_ = "c",
            .granted_ = true,
            .configuration_index_ = 1,
            .configuration_confirmed_ = true,
            .configuration_ =
                std::make_shared<const state::Configuration>(configuration),
            .membership_epoch_ = 1,
            .membership_version_ = 1,
            .membership_full_ = true,
            .membership_ = {state::TargetRecord{
                .target_ = "t",
                .service_ = "s",
                .instance_ = "t",
                .guard_address_ = "t-guard",
                .slots_ = 4,
                .state_ = state::TargetState::kServing,
                .version_ = {1, 1}}},
            .leader_address_ = leader}});
  }

  // Makes a call; returns its id.
  uint64_t Call(const std::string& key) {
    Handle(CallReceived{.call_id_ = ++call_,
                        .host_ = "h",
                        .request_ = {.method_ = "GET", .path_ = "/x"},
                        .api_key_ = key});
    return call_;
  }
  // Answers the last report.
  void Grant(uint64_t tokens, Millis denied_for = Millis(0)) {
    Handle(PeerMessageReceived{
        .address_ = kLeader,
        .message_ = QuotaGrant{
            .is_owner_ = true,
            .term_ = 1,
            .number_ = ++grant_,
            .report_number_ = reports_.back().number_,
            .tokens_ = {QuotaTokens{.tenant_ = "limited",
                                    .tokens_ = tokens,
                                    .denied_for_ = denied_for,
                                    .token_interval_ = Millis(100)}}}});
  }
  void Refuse(const Attempt& attempt) {
    Handle(PeerMessageReceived{
        .address_ = "t-guard",
        .message_ = AttemptAnswer{
            .request_id_ = attempt.request_id_,
            .attempt_ = attempt.attempt_,
            .result_ = AttemptResult::kRefused,
            .refusal_ = RefusalReason::kPoisoned,
            .load_ = {.slots_ = 4, .state_ = state::TargetState::kServing},
            .target_ = attempt.target_}});
  }
  void Run(double milliseconds) {
    for (const Millis end = now_ + Millis(milliseconds); now_ < end;) {
      now_ = now_ + Millis(10);
      Handle(Ticked{});
    }
  }

  Millis now_ = Millis(0);
  std::mt19937_64 random_;
  state::Counters counters_;
  Node node_;
  std::vector<QuotaReport> reports_;
  std::vector<Attempt> attempts_;
  std::vector<CallAnswer> answers_;

 private:
  void Handle(const NodeEvent& event) {
    for (const Command& command : node_.Handle(event, now_)) {
      if (const auto* answer = std::get_if<AnswerCall>(&command)) {
        answers_.push_back(answer->answer_);
      }
      const auto* send = std::get_if<SendToPeer>(&command);
      if (send == nullptr) {
        continue;
      }
      if (const auto* report = std::get_if<QuotaReport>(&send->message_)) {
        CHECK(send->address_ == kLeader);
        reports_.push_back(*report);
      } else if (const auto* attempt = std::get_if<Attempt>(&send->message_)) {
        attempts_.push_back(*attempt);
      }
    }
  }

  uint64_t call_ = 0;
  uint64_t grant_ = 0;
};

// Guards against calls of a tenant that run without a token, and against a
// first call that is refused although a token is granted at once.
TEST_CASE("a call without a token is held until the owner grants one",
          "[quota]") {
  QuotaDaemon daemon;
  daemon.Run(100);
  const size_t reports = daemon.reports_.size();
  daemon.Call("l");
  CHECK(daemon.attempts_.empty());
  REQUIRE(daemon.reports_.size() == reports + 1);
  REQUIRE(daemon.reports_.back().needs_.size() == 1);
  CHECK(daemon.reports_.back().needs_[0].needed_ == 1);
  daemon.Grant(2);
  CHECK(daemon.attempts_.size() == 1);
  daemon.Call("l");
  CHECK(daemon.attempts_.size() == 2);
  CHECK(daemon.answers_.empty());
}

// Guards against calls that are held for long or for ever while the control
// group does not answer, and against a refusal that blames the caller for it.
TEST_CASE("a call is refused after 100 ms without an answer on its quota",
          "[quota]") {
  QuotaDaemon daemon;
  daemon.Run(100);
  daemon.Call("l");
  daemon.Run(90);
  CHECK(daemon.answers_.empty());
  daemon.Run(20);
  REQUIRE(daemon.answers_.size() == 1);
  CHECK(daemon.answers_[0].outcome_ == Outcome::kNotRun);
  CHECK(daemon.answers_[0].reason_ == RefusalReason::kQuotaUnavailable);
  CHECK(daemon.counters_.Get(RefusalReason::kQuotaUnavailable) == 1);
}

// Guards against refusals that are held back, and against callers that are all
// told to return at the same time.
TEST_CASE("calls beyond the quota are refused at once", "[quota]") {
  QuotaDaemon daemon;
  daemon.Run(100);
  daemon.Call("l");
  daemon.Grant(0, Millis(300));
  daemon.Call("l");
  daemon.Call("l");
  REQUIRE(daemon.answers_.size() == 3);
  for (size_t i = 0; i < 3; ++i) {
    CHECK(daemon.answers_[i].reason_ == RefusalReason::kQuotaExceeded);
    CHECK(daemon.answers_[i].retry_after_ ==
          Millis(100.0 * static_cast<double>(i + 1)));
  }
  CHECK(daemon.attempts_.empty());
  // The owner is asked again afterwards.
  daemon.Run(310);
  daemon.Call("l");
  CHECK(daemon.answers_.size() == 3);
  daemon.Grant(1);
  CHECK(daemon.attempts_.size() == 1);
}

// Guards against a call that was refused by its target and costs a token.
TEST_CASE("a call that ends as not run gives its token back", "[quota]") {
  QuotaDaemon daemon;
  daemon.Run(100);
  daemon.Call("l");
  daemon.Grant(1);
  for (size_t i = 0; i < 5; ++i) {
    REQUIRE(daemon.attempts_.size() == i + 1);
    daemon.Refuse(daemon.attempts_.back());
    REQUIRE(daemon.answers_.size() == i + 1);
    CHECK(daemon.answers_.back().reason_ == RefusalReason::kPoisoned);
    daemon.Run(300);
    daemon.Call("l");
  }
}

// Guards against costs for tenants that have no quota.
TEST_CASE("a tenant without a quota is served as before", "[quota]") {
  QuotaDaemon daemon;
  daemon.Run(100);
  const size_t reports = daemon.reports_.size();
  for (size_t i = 0; i < 20; ++i) {
    daemon.Call("f");
    CHECK(daemon.attempts_.size() == i + 1);
  }
  daemon.Run(50);
  CHECK(daemon.reports_.size() == reports);
}

// Guards against a new leader that does not learn of a daemon's tokens, or only
// after they have been spent.
TEST_CASE("an instance that does not own the quotas is notified again",
          "[quota]") {
  QuotaDaemon daemon;
  daemon.Run(100);
  daemon.Call("l");
  daemon.Grant(3);
  daemon.Run(600);
  const size_t reports = daemon.reports_.size();
  REQUIRE(reports > 0);
  daemon.Call("l");
  daemon.Run(600);
  REQUIRE(daemon.reports_.size() == reports + 1);
  daemon.node_.Handle(
      PeerMessageReceived{
          .address_ = kLeader,
          .message_ =
              QuotaGrant{.report_number_ = daemon.reports_.back().number_}},
      daemon.now_);
  daemon.Run(120);
  REQUIRE(daemon.reports_.size() == reports + 2);
  CHECK(daemon.reports_.back().needs_.size() == 1);
}

// The control service of a leader, and reports of daemon "d" to it.
class QuotaLeader {
 public:
  QuotaLeader() : service_({"c", "address", ""}, {}, 100, &counters_, now_) {}

  void Lead(uint64_t term, Millis authority) {
    service_.Handle(LogStatus{.formed_ = true,
                              .leads_ = true,
                              .has_quorum_ = true,
                              .leader_address_ = "address",
                              .term_ = term,
                              .authority_until_ = now_ + authority},
                    now_);
  }
  // Commits a configuration that `proposer` has proposed.
  void Configure(uint64_t proposer) {
    const state::Configuration configuration{
        .version_ = 1,
        .tenants_ = {
            state::Shared<state::Tenant>(state::Tenant{.name_ = "limited",
                                                       .api_keys_ = {"l"},
                                                       .calls_per_second_ = 10,
                                                       .burst_calls_ = 30})}};
    service_.Handle(
        EntryCommitted{
            .index_ = 1,
            .command_ =
                state::LogCommand{
                    .proposer_ = proposer,
                    .tag_ = 1000,
                    .change_ =
                        state::SubmittedConfiguration{
                            .submission_ = "s",
                            .configuration_ =
                                std::make_shared<const state::Configuration>(
                                    configuration)}}},
        now_);
  }
  // Returns the tokens granted for a report that needs so many; nothing if the
  // service does not own the quotas.
  std::optional<uint64_t> Ask(uint64_t needed) {
    const ControlStep step = service_.Handle(
        ControlMessage{
            .connection_ = "d",
            .message_ = QuotaReport{.instance_ = "d",
                                    .incarnation_ = 1,
                                    .number_ = ++report_,
                                    .term_ = term_,
                                    .applied_grant_ = grant_,
                                    .needs_ = {QuotaNeed{.tenant_ = "limited",
                                                         .spent_ = spent_,
                                                         .needed_ = needed,
                                                         .demand_ = 1}}}},
        now_);
    REQUIRE(step.commands_.size() == 1);
    const auto& grant =
        std::get<QuotaGrant>(std::get<ReplyToPeer>(step.commands_[0]).message_);
    CHECK(grant.report_number_ == report_);
    if (!grant.is_owner_) {
      return std::nullopt;
    }
    // Applied and spent at once.
    term_ = grant.term_;
    grant_ = grant.number_;
    spent_ += grant.tokens_.at(0).tokens_;
    return grant.tokens_.at(0).tokens_;
  }
  void Pass(double milliseconds) { now_ = now_ + Millis(milliseconds); }

  Millis now_ = Millis(0);
  state::Counters counters_;
  ControlService service_;
  uint64_t report_ = 0;
  uint64_t term_ = 0;
  uint64_t grant_ = 0;
  uint64_t spent_ = 0;
};

// Guards against two leaders that grant tokens at the same time: one that has
// just been elected, and one that was paused and has lost its authority.
TEST_CASE("only a leader with authority grants tokens", "[quota]") {
  QuotaLeader leader;
  CHECK_FALSE(leader.Ask(1).has_value());
  leader.Lead(3, Millis(2000));
  leader.Configure(100);
  leader.Pass(490);
  CHECK_FALSE(leader.Ask(1).has_value());
  leader.Pass(20);
  CHECK(leader.Ask(1).value_or(99) == 1);
  leader.Pass(1500);
  CHECK_FALSE(leader.Ask(1).has_value());
  leader.Lead(3, Millis(2000));
  CHECK(leader.Ask(1).value_or(99) == 1);
}

// Guards against a start at which callers are refused although nobody has used
// the quota, and against a full bucket after a restart of the control group,
// whose log holds a configuration that was in force before.
TEST_CASE("a bucket starts full only for a tenant that is new", "[quota]") {
  const bool is_new = GENERATE(true, false);
  QuotaLeader leader;
  leader.Lead(3, Millis(5000));
  leader.Configure(is_new ? 100 : 99);
  leader.Pass(600);
  const uint64_t granted = leader.Ask(30).value_or(0);
  CHECK(granted >= (is_new ? 30 : 1));
  CHECK(granted <= (is_new ? 30 : 2));
}

}  // namespace
}  // namespace gooseberrygap::coordination
