#ifndef COORDINATION_INTERNAL_NODE_IMPL_H_
#define COORDINATION_INTERNAL_NODE_IMPL_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination.h"
#include "coordination/internal/authorization_lease.h"
#include "coordination/internal/decision_log.h"
#include "coordination/internal/early_calls.h"
#include "coordination/internal/evacuation_report.h"
#include "coordination/internal/quota_gate.h"
#include "coordination/internal/unconfirmed_denials.h"
#include "coordination/internal/withdrawal_acknowledgements.h"

namespace gooseberrygap::coordination {

// The state of a node. node.cc dispatches events and does what is due,
// node_calls.cc starts calls and holds denials back, node_messages.cc handles
// the messages of peers and what the control and register clients learn from
// them, node_announcements.cc handles the announcements of the own target, and
// node_commands.cc delivers, logs and counts commands.
class Node::Impl {
 public:
  Impl(const Options& options,
       absl::BitGenRef random,
       state::Counters* counters);

  Commands Handle(const NodeEvent& event, state::Millis now);
  state::Millis NextTick(state::Millis now) const;
  NodeStatus Status(state::Millis now) const;
  bool IsReady(state::Millis now) const;
  const state::IndexedConfiguration& configuration() const;
  std::vector<state::TargetRecord> Targets() const;

 private:
  Commands On(const CallReceived& call, state::Millis now);
  Commands StartCall(const CallReceived& call, state::Millis now);

  // Starts or refuses the held calls for which the daemon knows enough now, and
  // asks the control instance again for the others.
  Commands ReleaseDenials(state::Millis now);

  Commands On(const CallerDisconnected& disconnected, state::Millis now);
  Commands On(const PeerMessageReceived& received, state::Millis now);
  Commands On(const PeerActive& active, state::Millis now);
  Commands On(const DeliveryEnded& ended, state::Millis now);
  Commands On(const TargetConnectionsClosed& closed, state::Millis now);
  Commands On(const TargetAnnounced& announced, state::Millis now);
  Commands On(const TargetWithdrawn& withdrawn, state::Millis);
  Commands On(const AnnouncementReceived& received, state::Millis now);

  // Returns the withdrawal that the announcement has brought about or repeats;
  // an empty one if it withdraws nothing.
  state::TargetWithdrawal WithdrawalBy(const TargetAnnounced& announced) const;

  state::TargetWithdrawal WithdrawalBy(const TargetWithdrawn& withdrawn) const;
  Commands ReleaseAcknowledgements(state::Millis now);
  Commands On(const DrainRequested&, state::Millis);
  Commands On(const SeedsChanged& changed, state::Millis);
  Commands On(const Ticked&, state::Millis now);

  // The link to the own process is not replaced: only the own control role is
  // reached on it, and a role that does not answer on one link does not answer
  // on another.
  bool IsOwnLinkReset(const Command& command) const;

  Commands OnLinkSilent(const std::string& address, state::Millis now);

  // Returns whether the configuration and the targets are present and recent
  // enough to accept all calls.
  bool HasRequiredState(state::Millis now) const;

  Commands OnMessage(const Attempt& attempt,
                     const PeerMessageReceived& received,
                     state::Millis now);
  Commands OnMessage(const Cancel& cancel,
                     const PeerMessageReceived&,
                     state::Millis now);
  Commands OnMessage(const ResumeAttempt& resume,
                     const PeerMessageReceived& received,
                     state::Millis);
  Commands OnMessage(const Probe& probe,
                     const PeerMessageReceived& received,
                     state::Millis);
  Commands OnMessage(const AttemptAnswer& answer,
                     const PeerMessageReceived&,
                     state::Millis now);
  Commands OnMessage(const ProbeReply& reply,
                     const PeerMessageReceived&,
                     state::Millis now);
  Commands OnMessage(const LoadNotice& notice,
                     const PeerMessageReceived&,
                     state::Millis now);
  Commands OnMessage(const LeaseReply& reply,
                     const PeerMessageReceived& received,
                     state::Millis now);
  Commands OnMessage(const QuotaGrant& grant,
                     const PeerMessageReceived&,
                     state::Millis now);
  Commands OnMessage(const RegisterReply& reply,
                     const PeerMessageReceived&,
                     state::Millis now);

  // Messages for the control role are not passed to the node.
  template <class Other>
  Commands OnMessage(const Other&, const PeerMessageReceived&, state::Millis) {
    return {};
  }

  Commands Apply(ControlClient::Step step, state::Millis now);

  // Updates the metrics of the authorization lease, and returns a log line if
  // it was lost or regained.
  Commands ReportLease(state::Millis now);

  Commands Apply(RegisterClient::Step step, state::Millis now);

  // Announces changes of the daemon's own target or its state to the control
  // group, and reports crashes of the target.
  Commands AnnounceChanges(state::Millis now);

  // Delivers messages between this daemon's own ingress and guard directly, and
  // records the remaining ones with the link monitor. Adds log lines and counts
  // answers. Returns the commands for the duties.
  Commands DeliverLocalMessages(Commands commands, state::Millis now);

  ConfigurationState CurrentState(state::Millis now) const;
  void LogAttempt(const Command& command,
                  state::Millis now,
                  Commands* commands) const;
  static bool IsForNode(const SendToPeer& send);
  void RecordSent(const SendToPeer& send, state::Millis now);
  void Count(const CallAnswer& answer);

  const state::TargetRecord self_;
  const state::Millis configuration_apply_;
  state::Counters* const counters_;
  Router router_;
  RegisterClient register_client_;
  ControlClient control_client_;
  AuthorizationLease lease_;
  EvacuationReport evacuation_report_;
  QuotaGate quota_;
  LinkMonitor link_monitor_;
  EarlyCalls early_calls_;
  UnconfirmedDenials denials_;
  WithdrawalAcknowledgements acknowledgements_;
  Ingress ingress_;
  Guard guard_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_NODE_IMPL_H_
