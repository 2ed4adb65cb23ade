#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <memory>

#include "daemon/control_duty.h"
#include "daemon/event_front.h"
#include "daemon/http_front.h"
#include "daemon/node_duty.h"
#include "daemon/operator_gateway.h"

namespace gooseberrygap::daemon {

// One running daemon: its duties, joined by their rings.
class Daemon {
 public:
  // Binds its addresses and starts all duties.
  static state::Result<std::unique_ptr<Daemon>> Start(
      const protocol::Settings& settings);
  ~Daemon();

  // Takes changed settings into use, as far as that needs no restart: the
  // seeds. Thread-safe.
  void Reload(const protocol::Settings& settings);

  // Drains: refuses new work for the own target, answers the calls and finishes
  // the work in progress, and returns when all is done. Call it once.
  void StopGracefully();

 private:
  // Returns once no call and no attempt is in progress here, and the register
  // has confirmed the ends of actions or is out of reach.
  void WaitUntilIdle();
  explicit Daemon(const protocol::Settings& settings);

  state::Result<void> StartDuties();
  state::Result<void> OpenControl();
  state::Result<void> StartHttp();
  state::Result<void> StartPlatformFront();
  void OnPeerArrival(transport::PeerArrival arrival);
  void PostToNode(const transport::PeerArrival& arrival);
  void RefuseArrival(const transport::PeerArrival& arrival);

  const protocol::Settings settings_;
  const uint64_t incarnation_;
  state::Counters counters_;
  CallSlots call_slots_;
  std::unique_ptr<protocol::TargetDialect> target_dialect_;
  std::unique_ptr<protocol::FrontDialect> front_dialect_;
  std::unique_ptr<ControlDuty> control_;
  std::unique_ptr<NodeDuty> node_;
  std::unique_ptr<transport::PeerEndpoint> peers_;
  std::unique_ptr<OperatorGateway> gateway_;
  std::unique_ptr<OperatorDuty> operators_;
  std::unique_ptr<EventFront> event_front_;
  std::unique_ptr<HttpFront> front_;
  std::unique_ptr<transport::HttpServer> http_server_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_DAEMON_H_
