#ifndef COORDINATION_TESTS_LEASE_DEPLOYMENT_H_
#define COORDINATION_TESTS_LEASE_DEPLOYMENT_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// The control instances, at the addresses "addr1" and "addr2".
inline const std::vector<ControlAddress> kLeaseInstances = {
    {"c1", "addr1", "north"},
    {"c2", "addr2", "north"}};
constexpr int kRoutes = 200;
constexpr state::Millis kTick(10);

// The configuration with that version; its first route tells it apart.
inline std::shared_ptr<const state::Configuration> ConfigurationOf(
    uint64_t version) {
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
class LeaseDeployment {
 public:
  LeaseDeployment()
      : client_(state::TargetRecord{.instance_ = "d",
                                    .region_ = "north",
                                    .version_ = {10, 0}},
                kLeaseInstances,
                &daemon_counters_) {
    for (const ControlAddress& instance : kLeaseInstances) {
      Start(instance);
    }
    Change();
  }

  // Commits the next version of the configuration on all control instances.
  void Change() {
    ++index_;
    const state::LogCommand command{
        .change_ = state::SubmittedConfiguration{
            .submission_ = std::to_string(index_),
            .configuration_ = ConfigurationOf(index_)}};
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
    for (const ControlAddress& instance : kLeaseInstances) {
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
           *current.configuration_ == *ConfigurationOf(index_);
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
    return control_counters_.Get(state::Counter::kConfigurationDocumentsSent);
  }
  uint64_t Unusable() const {
    return daemon_counters_.Get(state::Counter::kConfigurationDeltasUnusable);
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
    state::Millis due_;
    std::string address_;
    std::string connection_;
    PeerMessage message_;
  };

  void Start(const ControlAddress& instance) {
    Control& control = controls_[instance.address_];
    control.service_ = std::make_unique<ControlService>(
        instance, kLeaseInstances, 100 + connections_, &control_counters_,
        now_);
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
      to_controls_.push_back(OnTheWay{.due_ = now_ + state::Millis(delay_),
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
      to_daemon_.push_back(OnTheWay{.due_ = now_ + state::Millis(delay_),
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
  state::Millis now_;
  uint64_t index_ = 0;
  int connections_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_TESTS_LEASE_DEPLOYMENT_H_
