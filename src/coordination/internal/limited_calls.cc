#include "coordination/internal/limited_calls.h"

namespace gooseberrygap::coordination {

Commands LimitedCalls::OnCall(const ClassifiedCall& call, state::Millis now) {
  if (gate_ == nullptr) {
    return lookups_->OnCall(call, now);
  }
  const QuotaGate::Decision decision = gate_->Admit(call, now);
  if (decision.verdict_ == QuotaGate::Verdict::kAdmitted) {
    return lookups_->OnCall(call, now);
  }
  return decision.answer_.has_value() ? Commands{*decision.answer_}
                                      : Commands();
}

Commands LimitedCalls::Release(state::Millis now) {
  Commands commands;
  if (size() == 0) {
    return commands;
  }
  const QuotaGate::Released released = gate_->Release(now);
  for (const ClassifiedCall& call : released.admitted_) {
    Append(&commands, lookups_->OnCall(call, now));
  }
  for (const AnswerCall& answer : released.refused_) {
    commands.emplace_back(answer);
  }
  return commands;
}

Commands LimitedCalls::OnCallerDisconnected(uint64_t call_id,
                                            state::Millis now) {
  const bool was_held =
      gate_ != nullptr && gate_->OnCallerDisconnected(call_id);
  return was_held ? Commands() : lookups_->OnCallerDisconnected(call_id, now);
}

std::optional<state::Millis> LimitedCalls::NextDue() const {
  return gate_ == nullptr ? std::nullopt : gate_->NextDue();
}

}  // namespace gooseberrygap::coordination
