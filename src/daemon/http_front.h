#ifndef DAEMON_HTTP_FRONT_H_
#define DAEMON_HTTP_FRONT_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include "daemon/control_duty.h"
#include "daemon/evacuation_orders.h"
#include "daemon/node_duty.h"
#include "daemon/operator_gateway.h"

namespace gooseberrygap::daemon {

// Answers HTTP requests: callers' calls, and the administration endpoints under
// "/-/". Runs on the HTTP workers.
class HttpFront {
 public:
  // All arguments must outlive the front. `control` and `evacuations` are null
  // without the control role.
  HttpFront(NodeDuty* node,
            CallSlots* slots,
            OperatorGateway* gateway,
            ControlDuty* control,
            EvacuationOrders* evacuations,
            state::Counters* counters);

  // Answers a request; blocks until the call has ended. Thread-safe.
  state::HttpAnswer Handle(const state::HttpRequest& request,
                           const transport::HttpCaller& caller);

 private:
  using AdminHandler =
      state::HttpAnswer (HttpFront::*)(const state::HttpRequest& request);
  using OrderHandler =
      state::HttpAnswer (HttpFront::*)(const state::HttpRequest& request,
                                       const transport::HttpCaller& caller);
  struct AdminRow {
    const absl::string_view method_;
    const absl::string_view path_;
    const AdminHandler handler_ = nullptr;
    // In its place for orders that are dropped when their caller has left.
    const OrderHandler order_handler_ = nullptr;
  };
  static const AdminRow kAdminRows[];

  state::HttpAnswer HandleCall(const state::HttpRequest& request);
  state::HttpAnswer HandleAdmin(const state::HttpRequest& request,
                                const transport::HttpCaller& caller);
  // Handles a request with a large document, or refuses it while another one is
  // handled.
  state::HttpAnswer HandleLarge(const AdminRow& row,
                                const state::HttpRequest& request,
                                const transport::HttpCaller& caller);
  state::HttpAnswer RunRow(const AdminRow& row,
                           const state::HttpRequest& request,
                           const transport::HttpCaller& caller);

  state::HttpAnswer Announce(const state::HttpRequest& request);
  state::HttpAnswer Withdraw(const state::HttpRequest& request);
  state::HttpAnswer Drain(const state::HttpRequest& request);
  state::HttpAnswer ShowTargets(const state::HttpRequest& request);
  state::HttpAnswer ShowCounters(const state::HttpRequest& request);
  state::HttpAnswer ShowMetrics(const state::HttpRequest& request);
  state::HttpAnswer ShowStatus(const state::HttpRequest& request);
  state::HttpAnswer ShowConfiguration(const state::HttpRequest& request);
  state::HttpAnswer SubmitConfiguration(const state::HttpRequest& request);
  state::HttpAnswer FormGroup(const state::HttpRequest& request);
  state::HttpAnswer AddMember(const state::HttpRequest& request);
  state::HttpAnswer RemoveMember(const state::HttpRequest& request);
  state::HttpAnswer ShowControlStatus(const state::HttpRequest& request);
  state::HttpAnswer ShowEvacuations(const state::HttpRequest& request);
  state::HttpAnswer StartEvacuation(const state::HttpRequest& request,
                                    const transport::HttpCaller& caller);
  state::HttpAnswer StopEvacuation(const state::HttpRequest& request,
                                   const transport::HttpCaller& caller);
  state::HttpAnswer OrderEvacuation(const state::HttpRequest& request,
                                    const transport::HttpCaller& caller,
                                    bool evacuates);
  state::HttpAnswer ShowQuotas(const state::HttpRequest& request);

  // Posts an event to the node. Answers 200 once it is queued, and 503 when the
  // ring is full.
  state::HttpAnswer Post(coordination::NodeEvent event);
  state::HttpAnswer AnswerFromView(
      const std::function<std::string(const NodeView&)>& print);

  NodeDuty* const node_;
  CallSlots* const slots_;
  OperatorGateway* const gateway_;
  ControlDuty* const control_;
  EvacuationOrders* const evacuations_;
  state::Counters* const counters_;
  std::mutex large_document_;  // Held while one is handled.
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_HTTP_FRONT_H_
