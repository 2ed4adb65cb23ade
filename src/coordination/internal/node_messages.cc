#include "coordination/api/service_time.h"
#include "coordination/internal/node_impl.h"
#include "coordination/internal/register_tags.h"

namespace gooseberrygap::coordination {

Commands Node::Impl::OnMessage(const Attempt& attempt,
                               const PeerMessageReceived& received,
                               state::Millis now) {
  return guard_.OnAttempt(received.connection_, attempt, now);
}

Commands Node::Impl::OnMessage(const Cancel& cancel,
                               const PeerMessageReceived&,
                               state::Millis now) {
  return guard_.OnCancel(cancel, now);
}

Commands Node::Impl::OnMessage(const ResumeAttempt& resume,
                               const PeerMessageReceived& received,
                               state::Millis) {
  return guard_.OnResume(received.connection_, resume);
}

Commands Node::Impl::OnMessage(const Probe& probe,
                               const PeerMessageReceived& received,
                               state::Millis) {
  return {ReplyToPeer{.connection_ = received.connection_,
                      .message_ = ProbeReply{.probe_id_ = probe.probe_id_,
                                             .target_ = guard_.target().target_,
                                             .load_ = guard_.Load()}}};
}

Commands Node::Impl::OnMessage(const AttemptAnswer& answer,
                               const PeerMessageReceived&,
                               state::Millis now) {
  return ingress_.OnAnswer(answer, now);
}

Commands Node::Impl::OnMessage(const ProbeReply& reply,
                               const PeerMessageReceived&,
                               state::Millis now) {
  router_.OnLoad(reply.target_, reply.load_, now);
  return {};
}

Commands Node::Impl::OnMessage(const LoadNotice& notice,
                               const PeerMessageReceived&,
                               state::Millis now) {
  router_.OnLoad(notice.target_, notice.load_, now);
  return IsSlowServiceTime(notice.load_.service_time_percent_)
             ? ingress_.OnTargetSlow(notice.target_, now)
             : Commands();
}

Commands Node::Impl::OnMessage(const LeaseReply& reply,
                               const PeerMessageReceived& received,
                               state::Millis now) {
  Commands commands =
      Apply(control_client_.OnReply(received.address_, reply, now), now);
  lease_.OnReply(reply, control_client_.configuration().index_, now);
  Append(&commands, ReportLease(now));
  guard_.SetIncarnation(control_client_.record().version_.incarnation_);
  Append(&commands,
         guard_.RestoreWithdrawal(control_client_.kept_withdrawal()));
  register_client_.SetLeader(control_client_.leader_address());
  Append(&commands, guard_.OnCrashesReported(now));
  Append(&commands, ReleaseDenials(now));
  Append(&commands, ReleaseAcknowledgements(now));
  return commands;
}

Commands Node::Impl::OnMessage(const QuotaGrant& grant,
                               const PeerMessageReceived&,
                               state::Millis now) {
  quota_.OnGrant(grant, now);
  return ingress_.ReleaseHeldCalls(now);
}

Commands Node::Impl::OnMessage(const RegisterReply& reply,
                               const PeerMessageReceived&,
                               state::Millis now) {
  return Apply(register_client_.OnReply(reply, now), now);
}

Commands Node::Impl::Apply(ControlClient::Step step, state::Millis now) {
  if (step.configuration_changed_) {
    const state::IndexedConfiguration& indexed =
        control_client_.configuration();
    ingress_.UpdateConfiguration(indexed);
    quota_.UpdateConfiguration(*indexed.configuration_);
    guard_.UpdateConfiguration(indexed);
    router_.UpdateConfiguration(*indexed.configuration_);
  }
  if (step.configuration_changed_ || step.membership_changed_) {
    router_.UpdateTargets(control_client_.Targets(), now);
  }
  if (step.refused_fingerprints_changed_) {
    ingress_.UpdateRefusedFingerprints(control_client_.refused_fingerprints());
    guard_.UpdateRefusedFingerprints(control_client_.refused_fingerprints());
  }
  if (step.evacuations_changed_) {
    // The router first: calls whose attempts the guard refuses choose again.
    const state::Evacuations& evacuations = control_client_.evacuations();
    router_.UpdateEvacuations(evacuations, now);
    Append(&step.commands_, evacuation_report_.Update(evacuations));
    Append(&step.commands_, guard_.UpdateEvacuations(evacuations, now));
  }
  return std::move(step.commands_);
}

Commands Node::Impl::ReportLease(state::Millis now) {
  const auto value_of = [](const std::optional<state::Millis>& time) {
    return time.has_value() ? std::optional(time->value()) : std::nullopt;
  };
  state::Gauges& gauges = counters_->gauges();
  gauges.Set(state::Gauge::kAuthorizationLeft, value_of(lease_.Left(now)));
  gauges.Set(state::Gauge::kConfirmationAge,
             value_of(lease_.ConfirmationAge(now)));
  const std::optional<state::LogEvent> change = lease_.TakeChange(now);
  return change.has_value() ? Commands{WriteLog{.event_ = *change}}
                            : Commands();
}

Commands Node::Impl::Apply(RegisterClient::Step step, state::Millis now) {
  Commands commands = std::move(step.commands_);
  for (const RegisterEnd& end : step.ends_) {
    Append(&commands, IsIngressTag(end.tag_) ? ingress_.OnRegisterEnd(end, now)
                                             : guard_.OnRegisterEnd(end, now));
  }
  return commands;
}

}  // namespace gooseberrygap::coordination
