#ifndef DAEMON_OPERATOR_DUTY_H_
#define DAEMON_OPERATOR_DUTY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

#include "daemon/control_duty.h"
#include "daemon/evacuation_orders.h"
#include "daemon/operator_gateway.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// A read or a submission of the configuration, or an evacuation order.
using OperatorRequest = std::variant<protocol::ReadConfiguration,
                                     protocol::ReplaceConfiguration,
                                     protocol::ChangeConfiguration,
                                     ReceivedOrder>;

// The `operator` duties: handle operators' requests on a few threads, since
// each request blocks until a quorum has answered.
class OperatorDuty {
 public:
  // Called on an operator thread; must not block.
  using AnswerHandler = std::function<void(const state::HttpAnswer&)>;

  // All arguments must outlive the duty.
  OperatorDuty(const protocol::FrontDialect* dialect,
               ControlDuty* control,
               OperatorGateway* gateway,
               EvacuationOrders* evacuations);
  ~OperatorDuty();

  // Queues a request. Returns false when the ring is full, or the documents in
  // progress take too much memory for another one; `handler` is then not
  // called. Thread-safe.
  bool Post(OperatorRequest request, AnswerHandler handler);

 private:
  struct Item {
    OperatorRequest request_;
    AnswerHandler handler_;
    size_t bytes_ = 0;  // Counted in `bytes_in_progress_`.
  };

  void Run();
  // Returns the memory that the request takes while it is in progress.
  size_t BytesOf(const OperatorRequest& request) const;
  // Counts the bytes of a request, and returns whether they fit.
  bool TryReserve(size_t bytes);
  // One overload for each kind of request.
  state::HttpAnswer Handle(const protocol::ReadConfiguration& request);
  state::HttpAnswer Handle(const protocol::ReplaceConfiguration& request);
  state::HttpAnswer Handle(const protocol::ChangeConfiguration& request);
  state::HttpAnswer Handle(const ReceivedOrder& request);
  // Checks and submits a document.
  state::HttpAnswer CheckAndSubmit(
      const state::SubmittedConfiguration& submitted);
  state::HttpAnswer Submit(const state::SubmittedConfiguration& submitted);

  const protocol::FrontDialect* const dialect_;
  ControlDuty* const control_;
  OperatorGateway* const gateway_;
  EvacuationOrders* const evacuations_;
  std::atomic<size_t> bytes_in_progress_ = 0;
  std::atomic<size_t> newest_bytes_ = 0;  // Of the configuration last read.
  // Held while a configuration is printed, which takes several times its size.
  std::mutex print_mutex_;
  transport::Ring<Item> ring_;
  std::vector<std::unique_ptr<transport::DutyThread>> threads_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_OPERATOR_DUTY_H_
