#ifndef DAEMON_OPERATOR_GATEWAY_H_
#define DAEMON_OPERATOR_GATEWAY_H_

#include <string>
#include <vector>

#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// Submits an operator's configuration to the leader of the control group, from
// the daemon that received it.
class OperatorGateway {
 public:
  struct Options {
    const std::vector<std::string> control_addresses_ = {};
    // Time limit of one submission. A new leader is elected within 2 s.
    const state::Millis timeout_ = state::Millis(5000);
  };

  // `peers` must outlive the gateway.
  OperatorGateway(const Options& options, transport::PeerEndpoint* peers);

  // Submits the configuration: sends it to one control instance after another
  // until one returns a final status, for at most `timeout_`. Blocks.
  // Thread-safe.
  coordination::ConfigSubmitReply Submit(
      const state::SubmittedConfiguration& submission);

  // Passes a reply to the submission that waits for it. Thread-safe.
  void OnReply(const coordination::ConfigSubmitReply& reply);

 private:
  using Slots = transport::AnswerSlots<coordination::ConfigSubmitReply>;
  class Tries;

  const std::vector<std::string> control_addresses_;
  const state::Millis timeout_;
  transport::PeerEndpoint* const peers_;
  Slots slots_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_OPERATOR_GATEWAY_H_
