#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <memory>

#include "daemon/control_duty.h"
#include "daemon/event_front.h"
#include "daemon/heap_duty.h"
#include "daemon/http_front.h"
#include "daemon/node_duty.h"
#include "daemon/operator_gateway.h"
#include "daemon/start_retry.h"

namespace gooseberrygap::daemon {

// One running daemon. Owns the duties, the servers and the rings between them.
class Daemon {
 public:
  // Binds the listen addresses and starts all duties. Repeats with `retry` what
  // fails for a cause that may pass.
  static state::Result<std::unique_ptr<Daemon>> Start(
      const protocol::Settings& settings,
      StartRetry* retry);
  ~Daemon();

  // Applies the settings that can change without a restart: the seeds.
  // Thread-safe.
  void Reload(const protocol::Settings& settings);

  // Drains the daemon: refuses new work for its own target, answers the open
  // calls, finishes the work in progress, and returns when all of it has ended.
  // Call it once.
  void StopGracefully();

 private:
  // Blocks until no call and no attempt is in progress in this daemon, and
  // then, for at most kReportTimeout, until the register has confirmed the ends
  // of actions.
  void WaitUntilIdle();
  // Waits until this member of the control group has left it.
  void WaitUntilLeft(state::Millis timeout);
  explicit Daemon(const protocol::Settings& settings);

  state::Result<void> StartDuties(StartRetry* retry);
  void OpenControl();
  state::Result<void> StartPeers();
  state::Result<void> StartHttp();
  state::Result<void> StartPlatformFront(StartRetry* retry);
  void OnPeerMessage(transport::ReceivedPeerMessage arrival);
  void PostToNode(const transport::ReceivedPeerMessage& arrival);
  void RefusePeerMessage(const transport::ReceivedPeerMessage& arrival);

  const protocol::Settings settings_;
  const uint64_t incarnation_;
  state::Counters counters_;
  const std::shared_ptr<transport::ByteAccount> account_;
  std::unique_ptr<HeapDuty> heap_;  // Where the memory is limited.
  CallSlots call_slots_;
  std::unique_ptr<protocol::TargetDialect> target_dialect_;
  std::unique_ptr<protocol::FrontDialect> front_dialect_;
  std::unique_ptr<ControlDuty> control_;
  std::unique_ptr<NodeDuty> node_;
  std::unique_ptr<transport::PeerEndpoint> peers_;
  std::unique_ptr<OperatorGateway> gateway_;
  std::unique_ptr<EvacuationOrders> evacuation_orders_;
  std::unique_ptr<OperatorDuty> operators_;
  std::unique_ptr<EventFront> event_front_;
  std::unique_ptr<HttpFront> front_;
  std::unique_ptr<transport::HttpServer> http_server_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_DAEMON_H_
