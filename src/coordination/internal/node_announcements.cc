#include "coordination/internal/node_impl.h"

namespace gooseberrygap::coordination {

Commands Node::Impl::On(const TargetAnnounced& announced, state::Millis now) {
  return guard_.OnAnnounced(announced, now);
}

Commands Node::Impl::On(const TargetWithdrawn& withdrawn, state::Millis) {
  return guard_.OnWithdrawn(withdrawn);
}

Commands Node::Impl::On(const AnnouncementReceived& received,
                        state::Millis now) {
  Commands commands = std::visit(
      [this, now](const auto& announced) { return On(announced, now); },
      received.announcement_);
  const state::TargetWithdrawal withdrawal = std::visit(
      [this](const auto& announced) { return WithdrawalBy(announced); },
      received.announcement_);
  acknowledgements_.Add(received.call_id_, withdrawal, now);
  Append(&commands, ReleaseAcknowledgements(now));
  return commands;
}

state::TargetWithdrawal Node::Impl::WithdrawalBy(
    const TargetAnnounced& announced) const {
  const bool withdraws = announced.state_ == state::TargetState::kDraining ||
                         announced.state_ == state::TargetState::kLeft;
  return withdraws && guard_.withdrawal().target_ == announced.target_
             ? guard_.withdrawal()
             : state::TargetWithdrawal();
}

state::TargetWithdrawal Node::Impl::WithdrawalBy(
    const TargetWithdrawn& withdrawn) const {
  return guard_.withdrawal().target_ == withdrawn.target_
             ? guard_.withdrawal()
             : state::TargetWithdrawal();
}

Commands Node::Impl::ReleaseAcknowledgements(state::Millis now) {
  Commands answers =
      acknowledgements_.Release(control_client_.stored_withdrawal(), now);
  for (const Command& command : answers) {
    if (!std::get<AnswerAnnouncement>(command).acknowledged_) {
      counters_->Add(state::Counter::kWithdrawalsNotStored);
    }
  }
  return answers;
}

Commands Node::Impl::AnnounceChanges(state::Millis now) {
  Commands commands;
  const TargetAnnounced& target = guard_.target();
  const state::TargetRecord& record = control_client_.record();
  const bool is_same =
      target.target_ == record.target_ && target.service_ == record.service_ &&
      target.slots_ == record.slots_ && target.state_ == record.state_ &&
      guard_.withdrawal() == record.withdrawal_;
  // A withdrawal may come before the first announcement after a restart.
  const bool has_news =
      !target.target_.empty() || !guard_.withdrawal().target_.empty();
  if (has_news && !is_same) {
    commands = Apply(
        control_client_.Announce(target.target_, target.service_, target.slots_,
                                 target.state_, now, guard_.withdrawal()),
        now);
  }
  const std::vector<CrashReport> crashes = guard_.TakeCrashReports();
  if (!crashes.empty()) {
    Append(&commands, Apply(control_client_.ReportCrash(crashes, now), now));
  }
  return commands;
}

}  // namespace gooseberrygap::coordination
