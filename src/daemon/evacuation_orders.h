#ifndef DAEMON_EVACUATION_ORDERS_H_
#define DAEMON_EVACUATION_ORDERS_H_

#include <functional>

#include "daemon/control_duty.h"
#include "daemon/evacuation_submission.h"
#include "daemon/operator_gateway.h"

namespace gooseberrygap::daemon {

// An evacuation order with what its handling needs to know of its caller.
struct ReceivedOrder {
  const protocol::OrderEvacuation order_ = {};
  const state::Millis received_at_ = {};  // By state::SteadyClock.
  // Returns whether the caller's connection is open. Thread-safe.
  const std::function<bool()> caller_waits_ = {};
};

// Carries out evacuation orders at a control instance, and counts and logs how
// they end. Thread-safe.
class EvacuationOrders {
 public:
  // All arguments must outlive the object.
  EvacuationOrders(ControlDuty* control,
                   OperatorGateway* gateway,
                   state::Counters* counters);

  // Blocks until the order has ended, at most EvacuationSubmission::kTimeLimit
  // from its receipt.
  EvacuationSubmission::End CarryOut(const ReceivedOrder& received);

 private:
  void Report(const ReceivedOrder& received,
              const EvacuationSubmission::End& end);

  const state::SteadyClock clock_;
  ControlDuty* const control_;
  OperatorGateway* const gateway_;
  state::Counters* const counters_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_EVACUATION_ORDERS_H_
