#include <algorithm>

#include "coordination/internal/ingress_impl.h"

namespace gooseberrygap::coordination {

Ingress::Impl::Impl(std::string request_id_prefix,
                    Router* router,
                    RegisterClient* register_client,
                    state::Counters* counters,
                    const AuthorizationLease* lease,
                    QuotaGate* quota)
    : request_id_prefix_(std::move(request_id_prefix)),
      counters_(counters),
      access_(lease, counters),
      lookups_(router, &access_, counters),
      limited_(&lookups_, quota),
      actions_(router, register_client, &access_, counters) {}

void Ingress::Impl::UpdateConfiguration(
    const state::IndexedConfiguration& configuration) {
  configuration_.emplace(configuration);
  if (configuration.configuration_ != nullptr) {
    access_.UpdateConfiguration(*configuration.configuration_);
  }
  splits_.Reset();
}

void Ingress::Impl::UpdateRefusedFingerprints(
    const std::vector<RefusedFingerprint>& fingerprints) {
  convicted_.clear();
  suspects_.clear();
  for (const RefusedFingerprint& refused : fingerprints) {
    (refused.convicted_ ? convicted_ : suspects_).insert(refused.fingerprint_);
  }
}

Commands Ingress::Impl::OnCallerDisconnected(uint64_t call_id,
                                             state::Millis now) {
  return limited_.OnCallerDisconnected(call_id, now);
}

Commands Ingress::Impl::OnAnswer(const AttemptAnswer& answer,
                                 state::Millis now) {
  std::optional<Commands> commands = lookups_.OnAnswer(answer, now);
  if (!commands.has_value()) {
    commands = actions_.OnAnswer(answer, now);
  }
  if (!commands.has_value()) {
    counters_->Add(state::Counter::kAnswersLate);
    return {};
  }
  return *std::move(commands);
}

Commands Ingress::Impl::OnRegisterEnd(const RegisterEnd& end,
                                      state::Millis now) {
  return actions_.OnRegisterEnd(end, now);
}

Commands Ingress::Impl::OnTargetSlow(const std::string& target,
                                     state::Millis now) {
  return lookups_.OnTargetSlow(target, now);
}

Commands Ingress::Impl::OnLinkLost(const std::string& address,
                                   state::Millis now) {
  Commands commands = lookups_.OnLinkLost(address, now);
  Append(&commands, actions_.OnLinkLost(address, now));
  return commands;
}

Commands Ingress::Impl::ReleaseHeldCalls(state::Millis now) {
  return limited_.Release(now);
}

Commands Ingress::Impl::Tick(state::Millis now) {
  Commands commands = limited_.Release(now);
  Append(&commands, lookups_.Tick(now));
  Append(&commands, actions_.Tick(now));
  return commands;
}

std::optional<state::Millis> Ingress::Impl::NextDue() const {
  std::optional<state::Millis> next;
  for (const std::optional<state::Millis>& due :
       {lookups_.NextDue(), actions_.NextDue(), limited_.NextDue()}) {
    next = next.has_value() && due.has_value() ? std::min(*next, *due)
                                               : std::max(next, due);
  }
  return next;
}

size_t Ingress::Impl::calls_in_progress() const {
  return lookups_.size() + actions_.size() + limited_.size();
}

Ingress::Ingress(std::string request_id_prefix,
                 Router* router,
                 RegisterClient* register_client,
                 state::Counters* counters,
                 const AuthorizationLease* lease,
                 QuotaGate* quota)
    : impl_(std::make_unique<Impl>(std::move(request_id_prefix),
                                   router,
                                   register_client,
                                   counters,
                                   lease,
                                   quota)) {}

Ingress::~Ingress() = default;

void Ingress::UpdateConfiguration(
    const state::IndexedConfiguration& configuration) {
  impl_->UpdateConfiguration(configuration);
}

void Ingress::UpdateRefusedFingerprints(
    const std::vector<RefusedFingerprint>& fingerprints) {
  impl_->UpdateRefusedFingerprints(fingerprints);
}

void Ingress::SetActionsAllowed(bool allowed) {
  impl_->SetActionsAllowed(allowed);
}

void Ingress::SetConfigurationRecent(bool recent) {
  impl_->SetConfigurationRecent(recent);
}

bool Ingress::Denies(const CallReceived& call) const {
  return impl_->Denies(call);
}

Commands Ingress::OnCall(const CallReceived& call, state::Millis now) {
  return impl_->OnCall(call, now);
}

Commands Ingress::OnCallerDisconnected(uint64_t call_id, state::Millis now) {
  return impl_->OnCallerDisconnected(call_id, now);
}

Commands Ingress::OnAnswer(const AttemptAnswer& answer, state::Millis now) {
  return impl_->OnAnswer(answer, now);
}

Commands Ingress::OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
  return impl_->OnRegisterEnd(end, now);
}

Commands Ingress::OnTargetSlow(const std::string& target, state::Millis now) {
  return impl_->OnTargetSlow(target, now);
}

Commands Ingress::OnLinkLost(const std::string& address, state::Millis now) {
  return impl_->OnLinkLost(address, now);
}

Commands Ingress::ReleaseHeldCalls(state::Millis now) {
  return impl_->ReleaseHeldCalls(now);
}

Commands Ingress::Tick(state::Millis now) {
  return impl_->Tick(now);
}

std::optional<state::Millis> Ingress::NextDue() const {
  return impl_->NextDue();
}

size_t Ingress::calls_in_progress() const {
  return impl_->calls_in_progress();
}

}  // namespace gooseberrygap::coordination
