#include <catch2/catch.hpp>
#include <set>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

const std::vector<ControlAddress> kInstances = {{"near1", "n1", "north"},
                                                {"near2", "n2", "north"},
                                                {"far", "f", "south"}};

struct Sent {
  std::string address_;
  LeaseRenew renew_;
};

std::vector<Sent> RenewalsOf(const Commands& commands) {
  std::vector<Sent> sent;
  for (const Command& command : commands) {
    const auto& send = std::get<SendToPeer>(command);
    sent.push_back(Sent{send.address_, std::get<LeaseRenew>(send.message_)});
  }
  return sent;
}

struct Daemon {
  explicit Daemon(uint64_t incarnation = 10)
      : client_(state::TargetRecord{.instance_ = "d",
                                    .region_ = "north",
                                    .version_ = {incarnation, 0}},
                kInstances,
                &counters_) {
    current_ = RenewalsOf(client_.Tick(now_).commands_).at(0).address_;
  }

  // Ticks every 10 ms; returns what was sent.
  std::vector<Sent> Run(double milliseconds) {
    std::vector<Sent> all;
    for (double passed = 0; passed < milliseconds; passed += 10) {
      now_ = now_ + Millis(10);
      for (const Sent& sent : RenewalsOf(client_.Tick(now_).commands_)) {
        all.push_back(sent);
      }
    }
    return all;
  }
  ControlClient::Step Reply(const LeaseReply& reply) {
    return client_.OnReply(current_, reply, now_);
  }
  std::string Name(const std::string& address) const {
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
};

LeaseReply WithConfiguration(uint64_t index,
                             bool vouched,
                             const std::vector<std::string>& services,
                             uint64_t delta_base = 0) {
  std::vector<state::Service> list;
  for (const std::string& name : services) {
    list.push_back(state::Service{.name_ = name});
  }
  return LeaseReply{
      .granted_ = true,
      .configuration_index_ = index,
      .configuration_confirmed_ = vouched,
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

// Guards against a daemon that restarts behind a stale control instance and
// goes back to an older configuration.
TEST_CASE("a configuration is never older than one that was vouched for",
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

// Guards against a delta that is applied to another document than its base.
TEST_CASE("a delta that does not fit asks for the whole document",
          "[configuration]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(7, true, {"a"}));
  CHECK(daemon.Reply(WithConfiguration(8, false, {"b"}, 7))
            .configuration_changed_);
  CHECK(daemon.client_.configuration().configuration_->services_.size() == 2);
  CHECK_FALSE(daemon.Reply(WithConfiguration(12, false, {"c"}, 9))
                  .configuration_changed_);
  CHECK(daemon.Run(100).at(0).renew_.configuration_index_ == 0);
  CHECK(
      daemon.Reply(WithConfiguration(12, false, {"c"})).configuration_changed_);
  CHECK(daemon.Run(1000).at(0).renew_.configuration_index_ == 12);
}

// Guards against a lease that ends because its control instance is gone, and
// against a record that is refused as old after the move.
TEST_CASE("a silent control instance is left with a higher sequence",
          "[membership]") {
  Daemon daemon;
  const state::LeaseVersion before = daemon.client_.record().version_;
  daemon.Reply(WithTargets(1, 1, true, {{.service_ = "s", .instance_ = "x"}}));
  std::vector<std::string> addresses;
  for (const Sent& sent : daemon.Run(5000)) {
    if (addresses.empty() || addresses.back() != sent.address_) {
      addresses.push_back(sent.address_);
    }
  }
  // The other instance of the region comes before the far one.
  REQUIRE(addresses.size() >= 3);
  CHECK(addresses[0] == daemon.current_);
  CHECK(addresses[1] == (daemon.current_ == "n1" ? "n2" : "n1"));
  CHECK(addresses[2] == "f");
  CHECK(daemon.client_.record().version_ > before);
  CHECK(daemon.client_.Targets().size() == 1);
}

// Guards against calls that are refused for a second and more after a loss of
// power, because the first control instance that is asked has not started yet.
TEST_CASE("without a configuration a silent instance is left soon",
          "[membership]") {
  Daemon daemon;
  std::set<std::string> addresses;
  for (const Sent& sent : daemon.Run(500)) {
    addresses.insert(sent.address_);
  }
  CHECK(addresses.size() >= 2);
  daemon.current_ = std::string(1, 'f');
  daemon.Reply(WithConfiguration(12, true, {"c"}));
  daemon.Run(1000);
  CHECK(daemon.Run(500).size() <= 1);
}

// Guards against a daemon that stays with an instance that is cut off, and
// against daemons that wander when no instance hears a leader.
TEST_CASE("a stale control instance is left only for a fresh one",
          "[membership]") {
  Daemon daemon;
  daemon.Reply(WithConfiguration(12, true, {"c"}));
  const auto stale = [&daemon](const std::string& address, double age) {
    return daemon.client_.OnReply(
        address,
        LeaseReply{.control_instance_ = daemon.Name(address),
                   .granted_ = address == daemon.current_,
                   .staleness_ = Millis(age)},
        daemon.now_);
  };
  const state::LeaseVersion before = daemon.client_.record().version_;
  std::string other;
  for (int second = 0; second < 20; ++second) {
    stale(daemon.current_, 5000);
    for (const Sent& sent : daemon.Run(900)) {
      if (sent.address_ != daemon.current_) {
        // A question, which moves no lease.
        CHECK(sent.renew_.record_.version_.incarnation_ == 0);
        other = sent.address_;
        stale(other, 5000);
      }
    }
  }
  CHECK(daemon.client_.record().version_ == before);
  REQUIRE_FALSE(other.empty());

  stale(daemon.current_, 5000);
  const auto moved = RenewalsOf(stale(other, 100).commands_);
  REQUIRE(moved.size() == 1);
  CHECK(moved[0].address_ == other);
  CHECK(moved[0].renew_.record_.version_ > before);
  CHECK(daemon.client_.Staleness(daemon.now_) == Millis(100));
}

// Guards against a restarted daemon whose clock went back and which is never
// heard again, and against one that keeps renewing an expired lease.
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

// Guards against a drain that daemons learn of only a second later.
TEST_CASE("a change of the own target is sent at once", "[membership]") {
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

// Guards against a membership table that takes an older record or the changes
// of another control instance's table.
TEST_CASE("membership takes only newer records and fitting changes",
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

// Guards against a crash whose report was lost with its control instance, and
// against a refusal that outlives its hold.
TEST_CASE("crashes are reported until a later reply", "[poison]") {
  Daemon daemon;
  const auto reported = RenewalsOf(
      daemon.client_.ReportCrash({{"f", "x1", true}}, daemon.now_).commands_);
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].renew_.crashes_.size() == 1);
  CHECK(daemon.Run(1500).back().renew_.crashes_.size() == 1);
  const LeaseReply reply{
      .control_instance_ = daemon.Name(daemon.current_ == "n1" ? "n2" : "n1"),
      .granted_ = true,
      .refused_fingerprints_ = {{"f", Millis(1500), true}}};
  CHECK(daemon.Reply(reply).refused_fingerprints_changed_);
  CHECK_FALSE(daemon.Reply(reply).refused_fingerprints_changed_);
  CHECK(daemon.Run(1000).back().renew_.crashes_.empty());
  daemon.Run(1000);
  CHECK(daemon.client_.refused_fingerprints().empty());
}

// Guards against a configuration that is not in force in time at the daemons of
// a control instance that was cut off with the change.
TEST_CASE("a daemon leaves an instance that has lost its leader",
          "[configuration]") {
  Daemon daemon;
  const auto reply = [&daemon](const std::string& address, double age) {
    return daemon.client_.OnReply(
        address,
        LeaseReply{.control_instance_ = daemon.Name(address),
                   .granted_ = true,
                   .staleness_ = Millis(age)},
        daemon.now_);
  };
  const std::string cut_off = daemon.current_;
  reply(cut_off, 900);
  const std::vector<Sent> asked = daemon.Run(300);
  REQUIRE_FALSE(asked.empty());
  const std::string other = asked[0].address_;
  REQUIRE(other != cut_off);
  // One that waits for a leader too is no better.
  CHECK(reply(other, 700).commands_.empty());
  const std::vector<Sent> moved = RenewalsOf(reply(other, 50).commands_);
  REQUIRE(moved.size() == 1);
  CHECK(moved[0].address_ == other);
}

}  // namespace
}  // namespace gooseberrygap::coordination
