#ifndef DAEMON_OPERATOR_GATEWAY_H_
#define DAEMON_OPERATOR_GATEWAY_H_

#include <functional>
#include <string>
#include <vector>

#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// Submits what operators send to the leader of the control group, from the
// daemon that received it.
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

  // Submits an evacuation order in the same way, for at most `timeout`.
  // `may_send` is asked before each message; after it has returned false,
  // nothing more is sent and the status is kNoQuorum. Blocks. Thread-safe.
  coordination::EvacuationReply SubmitEvacuation(
      const state::EvacuationOrder& order,
      state::Millis timeout,
      const std::function<bool()>& may_send);

  // Passes a reply to the submission that waits for it; ignores messages that
  // are no such reply. Thread-safe.
  void OnReply(const coordination::PeerMessage& message);

 private:
  // A submission and how to send it.
  struct Submission {
    // Returns the message with this call id.
    std::function<coordination::PeerMessage(uint64_t call_id)> message_;
    std::function<bool()> may_send_;
    state::Millis timeout_;
  };

  template <class Reply>
  Reply SubmitToLeader(const Submission& submission,
                       transport::AnswerSlots<Reply>* slots);

  const std::vector<std::string> control_addresses_;
  const state::Millis timeout_;
  transport::PeerEndpoint* const peers_;
  transport::AnswerSlots<coordination::ConfigSubmitReply> configuration_slots_;
  transport::AnswerSlots<coordination::EvacuationReply> evacuation_slots_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_OPERATOR_GATEWAY_H_
