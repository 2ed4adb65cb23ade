#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {
namespace {

using state::Counter;
using state::Millis;

const std::vector<ControlAddress> kInstances = {{"c1", "addr1", "north"},
                                                {"c2", "addr2", "north"}};
constexpr int kRoutes = 200;
constexpr Millis kTick(10);
// Longest time from the commit of a configuration until it is in force.
constexpr double kApplyTime = 2000;

// The configuration with that version; its first route tells it apart.
std::shared_ptr<const state::Configuration> Version(uint64_t version) {
  std::vector<state::Route> routes;
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back(state::Route{
        .name_ = "route-" + std::to_string(i),
        .host_ = i == 0 ? std::to_string(version) : std::string("host")});
  }
  return std::make_shared<const state::Configuration>(
      state::Configuration{.version_ = version, .routes_ = routes});
}

// A daemon's client and two control instances that commit the same changes.
// Each link keeps the order of its messages and delays them.
class Deployment {
 public:
  Deployment()
      : client_(state::TargetRecord{.instance_ = "d",
                                    .region_ = "north",
                                    .version_ = {10, 0}},
                kInstances,
                &daemon_counters_) {
    for (const ControlAddress& instance : kInstances) {
      Start(instance);
    }
    Change();
  }

  // Commits the next version of the configuration on all control instances.
  void Change() {
    ++index_;
    const state::LogCommand command{.change_ = state::SubmittedConfiguration{
                                        .submission_ = std::to_string(index_),
                                        .configuration_ = Version(index_)}};
    for (auto& [address, control] : controls_) {
      Deliver(address,
              control.service_->Handle(
                  EntryCommitted{.index_ = index_, .command_ = command}, now_));
    }
  }

  // Has another daemon's target announce itself, or announce a change.
  void Announce(const std::string& instance, uint64_t sequence, int slots) {
    const LeaseRenew renew{
        .instance_ = instance,
        .record_ = state::TargetRecord{.target_ = "t-" + instance,
                                       .service_ = "s",
                                       .instance_ = instance,
                                       .slots_ = slots,
                                       .version_ = {1, sequence}}};
    Control& control = controls_.at(current_);
    Deliver(
        current_,
        control.service_->Handle(
            ControlMessage{.connection_ = "other", .message_ = renew}, now_));
  }

  // Replaces the process of a control instance by one with the same log.
  void Restart(const std::string& address) {
    for (const ControlAddress& instance : kInstances) {
      if (instance.address_ == address) {
        const state::ReplicatedState state =
            controls_.at(address).service_->Snapshot();
        connections_ += 1;
        Start(instance);
        controls_.at(address).service_->Handle(
            SnapshotRestored{.index_ = index_, .state_ = state}, now_);
      }
    }
  }

  void Run(double milliseconds) {
    for (double passed = 0; passed < milliseconds; passed += kTick.value()) {
      now_ = now_ + kTick;
      DeliverDue();
      for (auto& [address, control] : controls_) {
        control.service_->Handle(LogStatus{.formed_ = true,
                                           .leader_address_ = "addr1",
                                           .last_up_to_date_ = now_},
                                 now_);
        Deliver(address, control.service_->Handle(
                             ControlTick{.wall_millis_ = 1000}, now_));
      }
      Send(client_.Tick(now_).commands_);
    }
  }

  bool IsUpToDate() const {
    const state::IndexedConfiguration current = client_.configuration();
    return current.index_ == index_ &&
           *current.configuration_ == *Version(index_);
  }
  // Returns the slots of another daemon's target as the daemon knows them.
  int SlotsOf(const std::string& instance) const {
    for (const state::TargetRecord& record : client_.Targets()) {
      if (record.instance_ == instance) {
        return record.slots_;
      }
    }
    return -1;
  }
  uint64_t Index() const { return index_; }
  uint64_t Applied() const { return client_.configuration().index_; }
  uint64_t Documents() const {
    return control_counters_.Get(Counter::kConfigurationDocumentsSent);
  }
  uint64_t Unusable() const {
    return daemon_counters_.Get(Counter::kConfigurationDeltasUnusable);
  }

  double delay_ = 20;               // Of each message, in ms.
  int configurations_to_lose_ = 0;  // Number of the next ones on the way.
  int memberships_to_lose_ = 0;     // The same for replies with records.
  size_t records_ = 0;              // Membership records sent to the daemon.
  std::set<std::string> silent_;    // Addresses that send nothing.
  std::string current_;             // Address of the last renewal.

 private:
  struct Control {
    std::unique_ptr<ControlService> service_;
    std::string connection_;  // The daemon's connection to this process.
  };
  struct OnTheWay {
    Millis due_;
    std::string address_;
    std::string connection_;
    PeerMessage message_;
  };

  void Start(const ControlAddress& instance) {
    Control& control = controls_[instance.address_];
    control.service_ = std::make_unique<ControlService>(
        instance, kInstances, 100 + connections_, &control_counters_, now_);
    control.connection_ = "d" + std::to_string(connections_);
  }

  void DeliverDue() {
    while (!to_controls_.empty() && to_controls_.front().due_ <= now_) {
      const OnTheWay sent = to_controls_.front();
      to_controls_.pop_front();
      Control& control = controls_.at(sent.address_);
      Deliver(sent.address_,
              control.service_->Handle(
                  ControlMessage{.connection_ = control.connection_,
                                 .message_ = sent.message_},
                  now_));
    }
    while (!to_daemon_.empty() && to_daemon_.front().due_ <= now_) {
      const OnTheWay sent = to_daemon_.front();
      to_daemon_.pop_front();
      // What was on the way on a connection to a process that has ended is
      // lost.
      if (controls_.at(sent.address_).connection_ == sent.connection_) {
        Send(client_
                 .OnReply(sent.address_, std::get<LeaseReply>(sent.message_),
                          now_)
                 .commands_);
      }
    }
  }

  // Puts the commands of the client on the way.
  void Send(const Commands& commands) {
    for (const Command& command : commands) {
      const auto* send = std::get_if<SendToPeer>(&command);
      if (send == nullptr) {
        continue;
      }
      const auto& renew = std::get<LeaseRenew>(send->message_);
      if (renew.record_.version_.incarnation_ != 0) {
        current_ = send->address_;
      }
      to_controls_.push_back(OnTheWay{.due_ = now_ + Millis(delay_),
                                      .address_ = send->address_,
                                      .message_ = send->message_});
    }
  }

  // Puts the replies of a control instance on the way, and answers its reads.
  void Deliver(const std::string& address, const ControlStep& step) {
    Control& control = controls_.at(address);
    for (const Command& command : step.commands_) {
      const auto* reply = std::get_if<ReplyToPeer>(&command);
      if (reply == nullptr || silent_.contains(address) ||
          !std::holds_alternative<LeaseReply>(reply->message_)) {
        continue;
      }
      const auto& sent = std::get<LeaseReply>(reply->message_);
      if (reply->connection_ != control.connection_) {
        continue;
      }
      if (sent.configuration_ != nullptr && configurations_to_lose_ > 0) {
        --configurations_to_lose_;
        continue;
      }
      if (!sent.membership_.empty() && memberships_to_lose_ > 0) {
        --memberships_to_lose_;
        continue;
      }
      records_ += sent.membership_.size();
      to_daemon_.push_back(OnTheWay{.due_ = now_ + Millis(delay_),
                                    .address_ = address,
                                    .connection_ = control.connection_,
                                    .message_ = reply->message_});
    }
    for (const uint64_t read : step.read_ids_) {
      Deliver(address,
              control.service_->Handle(
                  ReadIndexAnswered{
                      .read_id_ = read, .confirmed_ = true, .index_ = index_},
                  now_));
    }
  }

  state::Counters daemon_counters_;
  state::Counters control_counters_;
  ControlClient client_;
  std::map<std::string, Control> controls_;  // By address.
  std::deque<OnTheWay> to_controls_;
  std::deque<OnTheWay> to_daemon_;
  Millis now_;
  uint64_t index_ = 0;
  int connections_ = 0;
};

// Guards against changes in quick succession that are made from what the daemon
// had at its last renewal: it cannot use the second one, and gets the whole
// document again and again (review/9).
TEST_CASE("changes in quick succession reach a daemon as usable deltas",
          "[configuration]") {
  const double gap = GENERATE(30, 100, 330);
  const double delay = GENERATE(1, 80, 200);
  CAPTURE(gap, delay);
  Deployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  const uint64_t documents = deployment.Documents();
  deployment.delay_ = delay;
  for (int i = 0; i < 20; ++i) {
    deployment.Change();
    deployment.Run(gap);
  }
  deployment.Run(100 + delay);
  CHECK(deployment.IsUpToDate());
  CHECK(deployment.Unusable() == 0);
  CHECK(deployment.Documents() == documents);
}

// Guards against a daemon that stays behind because what it was sent counts as
// received, and against the whole document for one lost delta.
TEST_CASE("a lost push is followed by a delta from the daemon's configuration",
          "[configuration]") {
  const int lost = GENERATE(1, 2, 3);
  const int later = GENERATE(0, 1, 4);
  CAPTURE(lost, later);
  Deployment deployment;
  deployment.Run(3300);
  REQUIRE(deployment.IsUpToDate());
  const uint64_t documents = deployment.Documents();
  deployment.configurations_to_lose_ = lost;
  for (int i = 0; i < lost; ++i) {
    deployment.Change();
    deployment.Run(50);
  }
  CHECK_FALSE(deployment.IsUpToDate());
  for (int i = 0; i < later; ++i) {
    deployment.Change();
    deployment.Run(50);
  }
  deployment.Run(kApplyTime - 50 * (later + 1));
  CHECK(deployment.IsUpToDate());
  CHECK(deployment.Documents() == documents);
}

// Guards against a daemon that stays behind for as long as changes go on, since
// there is always a later one on the way.
TEST_CASE("a lost push is made up for while changes go on", "[configuration]") {
  Deployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  deployment.delay_ = 80;
  for (int i = 0; i < 100; ++i) {
    deployment.configurations_to_lose_ = i % 25 == 10 ? 1 : 0;
    const uint64_t before = deployment.Index();
    deployment.Change();
    deployment.Run(30);
    if (i % 25 == 24) {
      // 450 ms after the loss: the next push, a renewal and its reply.
      CHECK(deployment.Applied() + 10 >= before);
    }
  }
  CHECK(deployment.Documents() == 1);
}

// Guards against a control instance that relies on what it, or the process
// before it, sent on a connection that the daemon has left.
TEST_CASE("a daemon gets the changes after a move and after a restart",
          "[configuration]") {
  const bool restarts = GENERATE(false, true);
  Deployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  for (int round = 0; round < 4; ++round) {
    CAPTURE(round);
    const std::string left = deployment.current_;
    deployment.silent_ = {left};
    deployment.Change();
    if (restarts) {
      deployment.Run(100);
      deployment.Restart(left);
    }
    deployment.Run(kApplyTime + 500);
    CHECK(deployment.current_ != left);
    CHECK(deployment.IsUpToDate());
    deployment.silent_.clear();
    deployment.Change();
    deployment.Run(100);
    CHECK(deployment.IsUpToDate());
  }
}

// Guards against a whole document with each message while one is on the way.
TEST_CASE("a daemon that is far behind gets the whole document once",
          "[configuration]") {
  Deployment deployment;
  deployment.Run(3000);
  REQUIRE(deployment.IsUpToDate());
  deployment.delay_ = 100;
  const uint64_t documents = deployment.Documents();
  deployment.silent_ = {"addr1", "addr2"};
  for (int i = 0; i < 60; ++i) {
    deployment.Change();
    deployment.Run(30);
  }
  deployment.silent_.clear();
  for (int i = 0; i < 10; ++i) {
    deployment.Change();
    deployment.Run(200);
  }
  deployment.Run(kApplyTime);
  CHECK(deployment.IsUpToDate());
  CHECK(deployment.Documents() - documents <= 1);
}

// Guards against membership changes that each push repeats until the daemon's
// next renewal: links and daemons then pay for a change many times.
TEST_CASE("each membership change is sent to a daemon once", "[membership]") {
  Deployment deployment;
  deployment.Run(4000);
  REQUIRE(deployment.IsUpToDate());
  deployment.delay_ = GENERATE(1, 80);
  deployment.records_ = 0;
  for (int i = 1; i <= 40; ++i) {
    deployment.Announce("e" + std::to_string(i % 4), i, i);
    deployment.Run(50);
  }
  deployment.Run(100 + deployment.delay_);
  for (int i = 37; i <= 40; ++i) {
    CHECK(deployment.SlotsOf("e" + std::to_string(i % 4)) == i);
  }
  CHECK(deployment.records_ == 40);
}

// Guards against a target that a daemon does not learn of, or that it takes for
// unchanged, because what it was sent counts as received.
TEST_CASE("a lost membership change is sent again", "[membership]") {
  const int lost = GENERATE(1, 2, 5);
  const bool goes_on = GENERATE(false, true);
  CAPTURE(lost, goes_on);
  Deployment deployment;
  // No reply to a renewal is among the lost ones: its loss ends the lease.
  deployment.Run(4300);
  REQUIRE(deployment.IsUpToDate());
  deployment.memberships_to_lose_ = lost;
  for (int i = 1; i <= lost; ++i) {
    deployment.Announce("lost", i, i);
    deployment.Run(50);
  }
  for (int i = 1; i <= 20; ++i) {
    if (goes_on) {
      deployment.Announce("other", i, i);
    }
    deployment.Run(50);
  }
  // The reply to the next renewal shows the loss, and the one after brings it.
  deployment.Run(200);
  CHECK(deployment.SlotsOf("lost") == lost);
  CHECK(deployment.SlotsOf("other") == (goes_on ? 20 : -1));
}

}  // namespace
}  // namespace gooseberrygap::coordination
