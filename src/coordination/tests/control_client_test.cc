#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

const std::vector<ControlAddress> kInstances = {{"near1", "n1", "north"},
                                                {"near2", "n2", "north"},
                                                {"far", "f", "south"}};

struct SentRenewal {
  std::string address_;
  LeaseRenew renew_;
};

std::vector<SentRenewal> RenewalsOf(const Commands& commands) {
  std::vector<SentRenewal> sent;
  for (const Command& command : commands) {
    if (std::holds_alternative<WriteLog>(command)) {
      continue;
    }
    const auto& send = std::get<SendToPeer>(command);
    sent.push_back(
        SentRenewal{send.address_, std::get<LeaseRenew>(send.message_)});
  }
  return sent;
}

// Returns the renewals that are not mere queries of an instance's staleness.
std::vector<SentRenewal> WithoutQueries(const std::vector<SentRenewal>& sent) {
  std::vector<SentRenewal> renewals;
  for (const SentRenewal& each : sent) {
    if (each.renew_.record_.version_.incarnation_ != 0) {
      renewals.push_back(each);
    }
  }
  return renewals;
}

struct Daemon {
  explicit Daemon(uint64_t incarnation = 10)
      : client_(state::TargetRecord{.instance_ = "d",
                                    .region_ = "north",
                                    .version_ = {incarnation, 0}},
                kInstances,
                &counters_) {
    const SentRenewal first = RenewalsOf(client_.Tick(now_).commands_).at(0);
    current_ = first.address_;
    renewal_ = first.renew_.renewal_;
  }

  // Ticks every 10 ms; returns the renewals that were sent.
  std::vector<SentRenewal> Run(double milliseconds) {
    std::vector<SentRenewal> all;
    for (double passed = 0; passed < milliseconds; passed += 10) {
      now_ = now_ + Millis(10);
      for (const SentRenewal& sent : RenewalsOf(client_.Tick(now_).commands_)) {
        all.push_back(sent);
        if (sent.renew_.renewal_ > renewal_) {
          renewal_ = sent.renew_.renewal_;
          renewed_at_ = now_;
        }
      }
    }
    return all;
  }
  ControlClient::Step Reply(const LeaseReply& reply) {
    return client_.OnReply(current_, reply, now_);
  }
  std::string InstanceAt(const std::string& address) const {
    for (const ControlAddress& instance : kInstances) {
      if (instance.address_ == address) {
        return instance.instance_;
      }
    }
    return "";
  }

  state::Counters counters_;
  ControlClient client_;
  Millis now_;
  std::string current_;
  uint64_t renewal_ = 0;  // Number of the last renewal.
  Millis renewed_at_;
};

LeaseReply WithConfiguration(uint64_t index,
                             bool confirmed,
                             const std::vector<std::string>& services,
                             uint64_t delta_base = 0) {
  std::vector<state::Service> list;
  for (const std::string& name : services) {
    list.push_back(state::Service{.name_ = name});
  }
  return LeaseReply{
      .granted_ = true,
      .configuration_index_ = index,
      .configuration_confirmed_ = confirmed,
      .delta_base_index_ = delta_base,
      .configuration_ = std::make_shared<const state::Configuration>(
          state::Configuration{.version_ = index, .services_ = list})};
}

LeaseReply WithTargets(uint64_t epoch,
                       uint64_t version,
                       bool full,
                       const std::vector<state::TargetRecord>& records) {
  return LeaseReply{.granted_ = true,
                    .membership_epoch_ = epoch,
                    .membership_version_ = version,
                    .membership_full_ = full,
                    .membership_ = records};
}

// Guards against a daemon that restarts, receives the configuration of a stale
// control instance and reverts to an older one.
TEST_CASE("a configuration is never older than a confirmed one",
          "[configuration]") {
  Daemon daemon;
  CHECK_FALSE(daemon.Reply(WithConfiguration(4, false, {"old"}))
                  .configuration_changed_);
  CHECK(daemon.Run(1000).at(0).renew_.requires_confirmed_);
  CHECK(daemon.Reply(WithConfiguration(7, true, {"a", "b"}))
            .configuration_changed_);
  CHECK_FALSE(
      daemon.Reply(WithConfiguration(4, true, {"old"})).configuration_changed_);
  CHECK(daemon.client_.configuration().index_ == 7);
  CHECK(daemon.counters_.Get(state::Counter::kConfigurationsOlderIgnored) == 1);
  CHECK(
      daemon.Reply(WithConfiguration(8, false, {"a"})).configuration_changed_);
}

// Guards against a delta that is applied to a document other than its base, and
// against a daemon that stays behind, or reports less than it has, after one.
TEST_CASE("a delta with another base is ignored and reported soon",
          "[configuration]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(7, true, {"a"}));
  CHECK(daemon.Reply(WithConfiguration(8, false, {"b"}, 7))
            .configuration_changed_);
  CHECK(daemon.client_.configuration().configuration_->services_.size() == 2);
  CHECK_FALSE(daemon.Reply(WithConfiguration(12, false, {"c"}, 9))
                  .configuration_changed_);
  CHECK(daemon.client_.configuration().configuration_->services_.size() == 2);
  const std::vector<SentRenewal> sent = daemon.Run(100);
  REQUIRE(sent.size() == 1);
  CHECK(sent.at(0).renew_.configuration_index_ == 8);
  // The control instance sends a delta from there, or the whole document.
  SECTION("delta") {
    CHECK(daemon.Reply(WithConfiguration(12, false, {"c"}, 8))
              .configuration_changed_);
    CHECK(daemon.client_.configuration().configuration_->services_.size() == 3);
  }
  SECTION("document") {
    CHECK(daemon.Reply(WithConfiguration(12, false, {"c"}))
              .configuration_changed_);
    CHECK(daemon.client_.configuration().configuration_->services_.size() == 1);
  }
  CHECK(daemon.Run(1000).at(0).renew_.configuration_index_ == 12);
}

// Guards against a lease that expires because its control instance has failed,
// and against a record that is refused as old after the lease has moved.
TEST_CASE("a lease leaves an unresponsive instance with a higher sequence",
          "[membership]") {
  Daemon daemon;
  const state::LeaseVersion before = daemon.client_.record().version_;
  daemon.Reply(WithTargets(1, 1, true, {{.service_ = "s", .instance_ = "x"}}));
  std::vector<std::string> addresses;
  for (const SentRenewal& sent : daemon.Run(5000)) {
    if (addresses.empty() || addresses.back() != sent.address_) {
      addresses.push_back(sent.address_);
    }
  }
  // The other instance of the region is tried before the one in the south.
  REQUIRE(addresses.size() >= 3);
  CHECK(addresses[0] == daemon.current_);
  CHECK(addresses[1] == (daemon.current_ == "n1" ? "n2" : "n1"));
  CHECK(addresses[2] == "f");
  CHECK(daemon.client_.record().version_ > before);
  CHECK(daemon.client_.Targets().size() == 1);
}

// Guards against calls that are refused for more than a second after a power
// loss because the first control instance contacted has not started yet.
TEST_CASE("the reply timeout is shorter without a configuration",
          "[membership]") {
  Daemon daemon;
  std::set<std::string> addresses;
  for (const SentRenewal& sent : daemon.Run(500)) {
    addresses.insert(sent.address_);
  }
  CHECK(addresses.size() >= 2);
  daemon.current_ = std::string(1, 'f');
  daemon.Reply(WithConfiguration(12, true, {"c"}));
  daemon.Run(1000);
  CHECK(WithoutQueries(daemon.Run(500)).size() <= 1);
}

// Guards against a daemon that leaves each instance that sends it a long first
// configuration, so that the document is sent again and again.
TEST_CASE("a daemon waits for the configuration of an instance that replied",
          "[configuration]") {
  Daemon daemon;
  daemon.Reply(
      LeaseReply{.granted_ = true, .configuration_index_ = 12, .number_ = 1});
  // The next renewal is sent after 1 s, and its reply is not due before 1 s
  // more.
  for (const SentRenewal& sent : WithoutQueries(daemon.Run(1900))) {
    CHECK(sent.address_ == daemon.current_);
  }
  CHECK(WithoutQueries(daemon.Run(200)).back().address_ != daemon.current_);
}

// Guards against a daemon that stays with a partitioned instance, and against
// leases that move back and forth while no instance has contact to a leader.
TEST_CASE("a lease leaves a stale control instance only for a fresh one",
          "[membership]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(12, true, {"c"}));
  const auto reply_with_staleness = [&daemon](const std::string& address,
                                              double staleness) {
    return daemon.client_.OnReply(
        address,
        LeaseReply{.control_instance_ = daemon.InstanceAt(address),
                   .granted_ = address == daemon.current_,
                   .staleness_ = Millis(staleness),
                   .renewal_ = daemon.renewal_},
        daemon.now_);
  };
  const state::LeaseVersion before = daemon.client_.record().version_;
  std::string other;
  for (int second = 0; second < 20; ++second) {
    reply_with_staleness(daemon.current_, 5000);
    for (const SentRenewal& sent : daemon.Run(900)) {
      if (sent.address_ != daemon.current_) {
        // A query, which does not move the lease.
        CHECK(sent.renew_.record_.version_.incarnation_ == 0);
        other = sent.address_;
        reply_with_staleness(other, 5000);
      }
    }
  }
  CHECK(daemon.client_.record().version_ == before);
  REQUIRE_FALSE(other.empty());

  reply_with_staleness(daemon.current_, 5000);
  const auto moved = RenewalsOf(reply_with_staleness(other, 100).commands_);
  REQUIRE(moved.size() == 1);
  CHECK(moved[0].address_ == other);
  CHECK(moved[0].renew_.record_.version_ > before);
  // The answer to the query carried no configuration.
  CHECK(daemon.client_.Staleness(daemon.now_) ==
        Millis(5000) + (daemon.now_ - daemon.renewed_at_));
  daemon.current_ = other;
  daemon.renewal_ = moved[0].renew_.renewal_;
  reply_with_staleness(other, 100);
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(100));
}

// Guards against a restarted daemon whose records are ignored because its clock
// was set back, and against one that keeps renewing an expired lease.
TEST_CASE("a refused daemon raises its version", "[membership]") {
  Daemon daemon(10);
  daemon.Reply(LeaseReply{.granted_ = false, .known_incarnation_ = 50});
  CHECK(daemon.client_.record().version_.incarnation_ == 51);
  const state::LeaseVersion before = daemon.client_.record().version_;
  daemon.Run(500);
  daemon.Reply(LeaseReply{.granted_ = false, .known_incarnation_ = 51});
  CHECK(daemon.client_.record().version_ > before);
  CHECK(daemon.client_.record().version_.incarnation_ == 51);
}

// Guards against a drain that is announced only with the next regular renewal,
// up to a second later.
TEST_CASE("a change of the daemon's target is sent immediately",
          "[membership]") {
  Daemon daemon;
  daemon.Reply(LeaseReply{.granted_ = true});
  const auto announce = [&daemon](state::TargetState target_state) {
    return RenewalsOf(
        daemon.client_.Announce("t", "s", 4, target_state, daemon.now_)
            .commands_);
  };
  const auto serving = announce(state::TargetState::kServing);
  REQUIRE(serving.size() == 1);
  CHECK(announce(state::TargetState::kServing).empty());
  const auto draining = announce(state::TargetState::kDraining);
  REQUIRE(draining.size() == 1);
  CHECK(draining[0].renew_.record_.version_ >
        serving[0].renew_.record_.version_);
}

// Guards against a daemon that has restarted and announces its target before it
// knows whether the target has withdrawn.
TEST_CASE("a target is announced only after the first granted reply",
          "[membership]") {
  Daemon daemon;
  const auto announced = RenewalsOf(
      daemon.client_
          .Announce("t", "s", 4, state::TargetState::kServing, daemon.now_)
          .commands_);
  REQUIRE(announced.size() == 1);
  CHECK(announced[0].renew_.record_.service_.empty());
  daemon.Reply(LeaseReply{.granted_ = false});
  for (const SentRenewal& sent : WithoutQueries(daemon.Run(100))) {
    CHECK(sent.renew_.record_.service_.empty());
  }
  const state::TargetWithdrawal withdrawal{.target_ = "t", .incarnation_ = 7};
  // Nothing is sent before the withdrawal has been applied to the target.
  CHECK(
      RenewalsOf(
          daemon.Reply(LeaseReply{.granted_ = true, .withdrawal_ = withdrawal})
              .commands_)
          .empty());
  CHECK(daemon.client_.kept_withdrawal() == withdrawal);
  const std::vector<SentRenewal> granted = daemon.Run(10);
  REQUIRE(granted.size() == 1);
  CHECK(granted[0].renew_.record_.service_ == "s");
  CHECK(granted[0].renew_.record_.version_ >
        announced[0].renew_.record_.version_);
}

// Guards against a membership table that applies an older record, or changes
// that are based on another control instance's table.
TEST_CASE("membership applies only newer records and changes to its table",
          "[membership]") {
  Daemon daemon;
  const state::TargetRecord newer{
      .service_ = "s", .instance_ = "x", .slots_ = 2, .version_ = {1, 2}};
  const state::TargetRecord older{
      .service_ = "s", .instance_ = "x", .slots_ = 1, .version_ = {1, 1}};
  CHECK(daemon.Reply(WithTargets(1, 5, true, {newer})).membership_changed_);
  CHECK_FALSE(
      daemon.Reply(WithTargets(1, 6, false, {older})).membership_changed_);
  CHECK_FALSE(daemon.Reply(WithTargets(2, 9, false, {})).membership_changed_);
  CHECK_FALSE(daemon.Reply(WithTargets(0, 0, false, {})).membership_changed_);
  CHECK_FALSE(
      daemon.Reply(WithTargets(2, 9, true, {older})).membership_changed_);
  REQUIRE(daemon.client_.Targets().size() == 1);
  CHECK(daemon.client_.Targets()[0].slots_ == 2);
  const state::TargetRecord left{.service_ = "s",
                                 .instance_ = "x",
                                 .state_ = state::TargetState::kLeft,
                                 .version_ = {1, 2}};
  CHECK(daemon.Reply(WithTargets(2, 10, false, {left})).membership_changed_);
  CHECK(daemon.client_.Targets().empty());
}

// Guards against a daemon that rebuilds its routing for each lease of the fleet
// that moves, and against one that then takes an older record for newer.
TEST_CASE("a moved lease changes nothing for routing", "[membership]") {
  Daemon daemon;
  const auto record = [](uint64_t sequence, int slots) {
    return state::TargetRecord{.service_ = "s",
                               .instance_ = "x",
                               .slots_ = slots,
                               .version_ = {1, sequence}};
  };
  CHECK(daemon.Reply(WithTargets(1, 1, true, {record(1, 2)}))
            .membership_changed_);
  CHECK_FALSE(daemon.Reply(WithTargets(1, 2, false, {record(3, 2)}))
                  .membership_changed_);
  CHECK_FALSE(daemon.Reply(WithTargets(2, 1, true, {record(4, 2)}))
                  .membership_changed_);
  CHECK_FALSE(daemon.Reply(WithTargets(2, 2, false, {record(2, 9)}))
                  .membership_changed_);
  CHECK(daemon.Reply(WithTargets(2, 3, false, {record(5, 9)}))
            .membership_changed_);
}

// Guards against a crash report that is lost with its control instance, and
// against a fingerprint that is refused after its hold has expired.
TEST_CASE("crashes are reported until they are stored", "[poison]") {
  Daemon daemon;
  const auto reported = RenewalsOf(
      daemon.client_.ReportCrash({{"f", "x1", true}}, daemon.now_).commands_);
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].renew_.crashes_.size() == 1);
  CHECK(daemon.Run(1500).back().renew_.crashes_.size() == 1);
  const LeaseReply reply{.control_instance_ = daemon.InstanceAt(
                             daemon.current_ == "n1" ? "n2" : "n1"),
                         .granted_ = true,
                         .refused_fingerprints_ = {{"f", Millis(1500), true}}};
  CHECK(daemon.Reply(reply).refused_fingerprints_changed_);
  CHECK_FALSE(daemon.Reply(reply).refused_fingerprints_changed_);
  CHECK(daemon.Run(1000).back().renew_.crashes_.size() == 1);
  daemon.Reply(LeaseReply{.control_instance_ = reply.control_instance_,
                          .granted_ = true,
                          .stored_crashes_ = {"x1"}});
  CHECK(daemon.Run(1000).back().renew_.crashes_.empty());
  daemon.Run(1000);
  CHECK(daemon.client_.refused_fingerprints().empty());
}

// Guards against a request that crashes more targets after a restart of the
// control group: its first reply, or one of an instance that is behind, lists
// no refused request. And against one that is refused for longer than the hold.
TEST_CASE("a conviction outlives a reply that does not list it", "[poison]") {
  Daemon daemon;
  const auto reply = [&daemon](std::vector<RefusedFingerprint> refused,
                               Millis staleness = Millis(0)) {
    return daemon.Reply(
        LeaseReply{.control_instance_ = daemon.InstanceAt(daemon.current_),
                   .granted_ = true,
                   .refused_fingerprints_ = std::move(refused),
                   .staleness_ = staleness});
  };
  const auto listed = [&daemon](const std::string& fingerprint) {
    const auto& refused = daemon.client_.refused_fingerprints();
    return std::any_of(refused.begin(), refused.end(),
                       [&fingerprint](const RefusedFingerprint& entry) {
                         return entry.fingerprint_ == fingerprint;
                       });
  };
  reply({{"guilty", Millis(5000), true}, {"suspect", Millis(5000), false}});
  // The instance has just started.
  reply({}, kNeverContacted);
  CHECK(listed("guilty"));
  CHECK(listed("suspect"));
  // It knows all that is stored: the suspicion has ended.
  reply({});
  CHECK(listed("guilty"));
  CHECK_FALSE(listed("suspect"));
  daemon.Run(5100);
  CHECK_FALSE(listed("guilty"));
  reply({});
  CHECK_FALSE(listed("guilty"));
}

// Guards against a configuration that is not in force in time at daemons whose
// control instance was partitioned at the same time as the change.
TEST_CASE("a daemon leaves an instance that has lost its leader",
          "[configuration]") {
  Daemon daemon;
  const auto reply = [&daemon](const std::string& address, double staleness) {
    return daemon.client_.OnReply(
        address,
        LeaseReply{.control_instance_ = daemon.InstanceAt(address),
                   .granted_ = true,
                   .staleness_ = Millis(staleness)},
        daemon.now_);
  };
  const std::string partitioned = daemon.current_;
  reply(partitioned, 900);
  const std::vector<SentRenewal> asked = daemon.Run(300);
  REQUIRE_FALSE(asked.empty());
  const std::string other = asked[0].address_;
  REQUIRE(other != partitioned);
  // An instance that also waits for a leader is not better.
  CHECK(RenewalsOf(reply(other, 700).commands_).empty());
  const std::vector<SentRenewal> moved = RenewalsOf(reply(other, 50).commands_);
  REQUIRE(moved.size() == 1);
  CHECK(moved[0].address_ == other);
}

// Guards against a configuration that is not in force for 10 s at daemons that
// have just asked for an instance in their own region when theirs is cut off
// from its leader.
TEST_CASE("a query for the own region does not delay one for a fresh instance",
          "[configuration]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(7, true, {"a"}));
  const auto reply_from_far = [&daemon](double staleness) {
    return daemon.client_.OnReply("f",
                                  LeaseReply{.control_instance_ = "far",
                                             .granted_ = true,
                                             .staleness_ = Millis(staleness)},
                                  daemon.now_);
  };
  // Both instances of the region are silent, so that the lease moves away.
  const auto is_at_far = [](const std::vector<SentRenewal>& sent) {
    const auto renewals = WithoutQueries(sent);
    return !renewals.empty() && renewals.back().address_ == "f";
  };
  for (int i = 0; i < 50 && !is_at_far(daemon.Run(100)); ++i) {
  }
  reply_from_far(0);
  daemon.Run(900);
  // The instance in the other region is cut off.
  reply_from_far(900);
  std::set<std::string> asked;
  for (const SentRenewal& sent : daemon.Run(1000)) {
    if (sent.renew_.record_.version_.incarnation_ == 0) {
      asked.insert(sent.address_);
    }
  }
  CHECK(asked == std::set<std::string>{"n1", "n2"});
}

// Guards against a daemon that goes from one silent instance to the next, a
// second each, while another one would answer.
TEST_CASE("a lease leaves a silent instance for one that has answered",
          "[configuration]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(7, true, {"a"}));
  // The other instance of the region is silent too.
  std::vector<SentRenewal> renewals;
  for (int i = 0; i < 300; ++i) {
    for (const SentRenewal& sent : daemon.Run(10)) {
      const bool is_query = sent.renew_.record_.version_.incarnation_ == 0;
      if (!is_query) {
        renewals.push_back(sent);
      } else if (sent.address_ == "f") {
        daemon.client_.OnReply("f", LeaseReply{.control_instance_ = "far"},
                               daemon.now_);
      }
    }
    if (!renewals.empty() && renewals.back().address_ != daemon.current_) {
      break;
    }
  }
  REQUIRE(!renewals.empty());
  CHECK(renewals.back().address_ == "f");
}

// Guards against a daemon that notices only with the regular renewal, up to a
// second later, that its instance has lost its leader.
TEST_CASE(
    "an instance without recent contact to its leader is asked again soon",
    "[configuration]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(7, true, {"a"}));
  CHECK(daemon.Run(900).empty());
  daemon.Run(200);
  daemon.Reply(
      LeaseReply{.control_instance_ = daemon.InstanceAt(daemon.current_),
                 .granted_ = true,
                 .staleness_ = Millis(400)});
  const std::vector<SentRenewal> sent = daemon.Run(300);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].address_ == daemon.current_);
}

// Guards against a daemon that denies routes as if its configuration were
// recent, although only an instance that it does not follow has answered.
TEST_CASE("an answer to a query does not make the configuration recent",
          "[configuration]") {
  Daemon daemon;
  daemon.Reply({.control_instance_ = daemon.InstanceAt(daemon.current_),
                .granted_ = true,
                .staleness_ = Millis(50),
                .renewal_ = daemon.renewal_});
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(50));
  daemon.now_ = daemon.now_ + Millis(900);
  daemon.client_.OnReply("f", {.control_instance_ = "far"}, daemon.now_);
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(950));
  // The same from the instance that it follows, which has refused the renewal.
  daemon.Reply({.control_instance_ = daemon.InstanceAt(daemon.current_)});
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(950));
}

// Guards against a daemon that takes its configuration for recent because it
// has handled a reply which had waited, in a socket or in a process that did
// not run.
TEST_CASE("a reply that waited does not make the configuration recent",
          "[configuration]") {
  Daemon daemon;
  const LeaseReply reply{
      .control_instance_ = daemon.InstanceAt(daemon.current_),
      .granted_ = true,
      .staleness_ = Millis(50),
      .renewal_ = daemon.renewal_};
  daemon.now_ = daemon.now_ + Millis(3000);
  const ControlClient::Step step = daemon.Reply(reply);
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(3050));
  const auto is_logged = [](const ControlClient::Step& handled) {
    return std::any_of(handled.commands_.begin(), handled.commands_.end(),
                       [](const Command& command) {
                         const auto* log = std::get_if<WriteLog>(&command);
                         return log != nullptr &&
                                log->event_.event_ == "control_reply_late";
                       });
  };
  CHECK(is_logged(step));
  // A push after the same renewal shows nothing more, and is not late.
  daemon.now_ = daemon.now_ + Millis(100);
  CHECK_FALSE(is_logged(daemon.Reply(reply)));
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(3150));
}

// Guards against a daemon that goes to an instance of its own region which is
// still catching up, and leaves it again at once.
TEST_CASE("a daemon returns to its own region only for a fresh instance",
          "[configuration]") {
  Daemon daemon;
  // The instances of the own region are silent, and the other one answers.
  while (daemon.current_ != "f") {
    for (const SentRenewal& sent : daemon.Run(10)) {
      if (sent.renew_.record_.version_.incarnation_ != 0) {
        daemon.current_ = sent.address_;
      }
    }
  }
  daemon.Reply({.control_instance_ = "far", .granted_ = true});
  for (const double staleness : {2900.0, 100.0}) {
    const ControlClient::Step step = daemon.client_.OnReply(
        "n1", {.control_instance_ = "near1", .staleness_ = Millis(staleness)},
        daemon.now_);
    const bool moves = !WithoutQueries(RenewalsOf(step.commands_)).empty();
    CHECK(moves == (staleness == 100.0));
  }
}

}  // namespace
}  // namespace gooseberrygap::coordination
