#ifndef DAEMON_OPERATOR_DUTY_H_
#define DAEMON_OPERATOR_DUTY_H_

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "daemon/control_duty.h"
#include "daemon/operator_gateway.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

using OperatorOrder = std::variant<protocol::ReadConfiguration,
                                   protocol::ReplaceConfiguration,
                                   protocol::ChangeConfiguration>;

// The `operator` duties: carry out operators' orders, which wait for a quorum,
// on a few threads.
class OperatorDuty {
 public:
  // Called on an operator thread; must not block.
  using Answered = std::function<void(const state::HttpAnswer&)>;

  // Everything given must outlive the duty.
  OperatorDuty(const protocol::FrontDialect* dialect,
               ControlDuty* control,
               OperatorGateway* gateway);
  ~OperatorDuty();

  // Returns false when too many orders wait; `answered` is then not called.
  // Thread-safe.
  bool Post(OperatorOrder order, Answered answered);

 private:
  struct Item {
    OperatorOrder order_;
    Answered answered_;
  };

  void Run();
  // One overload for each kind of order.
  state::HttpAnswer Handle(const protocol::ReadConfiguration& order);
  state::HttpAnswer Handle(const protocol::ReplaceConfiguration& order);
  state::HttpAnswer Handle(const protocol::ChangeConfiguration& order);
  state::HttpAnswer Submit(const state::SubmittedConfiguration& submitted);

  const protocol::FrontDialect* const dialect_;
  ControlDuty* const control_;
  OperatorGateway* const gateway_;
  transport::Ring<Item> ring_;
  std::vector<std::unique_ptr<transport::DutyThread>> threads_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_OPERATOR_DUTY_H_
