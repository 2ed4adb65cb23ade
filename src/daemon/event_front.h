#ifndef DAEMON_EVENT_FRONT_H_
#define DAEMON_EVENT_FRONT_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/notification.h"
#include "daemon/caller_presence.h"
#include "daemon/node_duty.h"
#include "daemon/operator_duty.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// Serves callers, targets and operators of a platform in its dialect: turns
// their requests into node events and operator requests, and returns the
// answers. No request blocks a thread. The methods run on the threads of the
// server, the node and the operator duty.
class EventFront : public transport::CallServer::Handler, public NodeListener {
 public:
  // All arguments must outlive the front. `operators` is null without the
  // control role.
  EventFront(const protocol::FrontDialect* dialect,
             NodeDuty* node,
             OperatorDuty* operators,
             state::Counters* counters);

  // Binds the addresses in the settings and serves them. Call it once.
  state::Result<void> Start(const protocol::PlatformSettings& settings,
                            const protocol::PressureSettings& pressure,
                            std::shared_ptr<transport::ByteAccount> account);
  // Reports not ready and closes each connection with its last answer, so that
  // callers move to other daemons; still serves requests. Call it after Start.
  // Thread-safe.
  void AnnounceStop();
  // Answers the requests that were read and closes all connections. Call it
  // once.
  void StopGracefully();

  void OnRequest(
      const transport::CallServer::ReceivedRequest& arrival) override;
  void OnCallerDisconnected(uint64_t request_id) override;
  void OnAnswer(uint64_t call_id,
                const coordination::CallAnswer& answer) override;
  void OnAnnouncementAnswered(uint64_t call_id, bool acknowledged) override;
  void OnConfiguration(
      const state::IndexedConfiguration& configuration) override;

 private:
  // Interprets an HTTP request to one of the listen addresses.
  using RequestReader = protocol::FrontRequest (protocol::FrontDialect::*)(
      const state::HttpRequest&) const;
  struct Listener {
    std::string address_;
    RequestReader read_ = nullptr;
  };

  // One overload for each kind of request.
  void Handle(uint64_t id, const protocol::CallRequest& request);
  void Handle(uint64_t id, const protocol::ReadinessRequest& request);
  void Handle(uint64_t id, const coordination::TargetAnnounced& request);
  void Handle(uint64_t id, const coordination::TargetWithdrawn& request);
  void Handle(uint64_t id, const protocol::ReadConfiguration& request);
  void Handle(uint64_t id, const protocol::ReplaceConfiguration& request);
  void Handle(uint64_t id, const protocol::ChangeConfiguration& request);
  void Handle(uint64_t id, const protocol::OrderEvacuation& request);
  void Handle(uint64_t id, const protocol::RefusedRequest& request);
  void PostOperatorRequest(uint64_t id, OperatorRequest request);
  void PostAnnouncement(const coordination::AnnouncementReceived& announcement);

  const state::SteadyClock clock_;
  const protocol::FrontDialect* const dialect_;
  NodeDuty* const node_;
  OperatorDuty* const operators_;
  state::Counters* const counters_;
  std::string service_;
  std::vector<Listener> listeners_;
  std::optional<size_t> calls_listener_;  // Index of the callers' address.
  // Memory of the configuration, which leaves less to callers. Used by the
  // thread that reports configurations only.
  std::optional<transport::ByteCharge> configuration_charge_;
  CallerPresence order_callers_;
  std::atomic<bool> stopping_ = false;
  absl::Notification started_;
  std::unique_ptr<transport::CallServer> server_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_EVENT_FRONT_H_
