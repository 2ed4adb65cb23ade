#include "coordination/internal/node_impl.h"

namespace gooseberrygap::coordination {

Commands Node::Impl::On(const CallReceived& call, state::Millis now) {
  // A routed call is refused immediately: its caller retries after the time
  // given in the answer.
  const bool is_routed = call.service_.empty();
  return !is_routed && early_calls_.Add(call, now) ? Commands()
                                                   : StartCall(call, now);
}

Commands Node::Impl::StartCall(const CallReceived& call, state::Millis now) {
  const state::Millis staleness = control_client_.Staleness(now);
  const bool is_recent = staleness <= denials_.max_age();
  // Later, the control group is out of reach, and no reply that confirms the
  // denial is to be expected soon.
  const bool may_learn = staleness <= configuration_apply_;
  if (!is_recent && may_learn && ingress_.Denies(call) &&
      denials_.Add(call, now)) {
    counters_->Add(state::Counter::kDenialsHeld);
    return Apply(control_client_.RenewNow(now), now);
  }
  ingress_.SetConfigurationRecent(is_recent);
  return ingress_.OnCall(call, now);
}

Commands Node::Impl::ReleaseDenials(state::Millis now) {
  Commands commands;
  while (const auto released =
             denials_.Release(control_client_.Staleness(now), now)) {
    ingress_.SetConfigurationRecent(released->is_confirmed_);
    Append(&commands, ingress_.OnCall(released->call_, now));
  }
  if (denials_.size() > 0) {
    Append(&commands, Apply(control_client_.RenewNow(now), now));
  }
  return commands;
}

Commands Node::Impl::On(const CallerDisconnected& disconnected,
                        state::Millis now) {
  early_calls_.Remove(disconnected.call_id_);
  denials_.Remove(disconnected.call_id_);
  return ingress_.OnCallerDisconnected(disconnected.call_id_, now);
}

}  // namespace gooseberrygap::coordination
