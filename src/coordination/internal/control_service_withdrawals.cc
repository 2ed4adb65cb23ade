#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// A withdrawal that has not been applied is sent again after this time. Longer
// than a commit and the next heartbeat of the log take.
constexpr state::Millis kStoreRepeat(300);

}  // namespace

void ControlService::Impl::StoreWithdrawal(
    const std::string& instance,
    const state::TargetWithdrawal& withdrawal,
    state::Millis now) {
  if (state::Covers(withdrawals_.Find(instance), withdrawal)) {
    return;
  }
  const auto known = unstored_withdrawals_.find(instance);
  const bool is_known = known != unstored_withdrawals_.end() &&
                        known->second.withdrawal_ == withdrawal;
  if (!is_known) {
    state::Replace(&unstored_withdrawals_, instance,
                   UnstoredWithdrawal{.withdrawal_ = withdrawal});
  }
  SendUnstoredWithdrawals(now);
}

void ControlService::Impl::SendUnstoredWithdrawals(state::Millis now) {
  std::erase_if(unstored_withdrawals_, [this](const auto& entry) {
    // A daemon that has moved reports to its new control instance.
    return !sessions_.contains(entry.first) ||
           state::Covers(withdrawals_.Find(entry.first),
                         entry.second.withdrawal_);
  });
  const bool other_leads = status_.has_value() && !status_->leads_ &&
                           !status_->leader_address_.empty();
  if (!other_leads && !LeadsWithQuorum()) {
    return;
  }
  for (auto& [instance, unstored] : unstored_withdrawals_) {
    if (unstored.sent_at_.has_value() &&
        now - *unstored.sent_at_ < kStoreRepeat) {
      continue;
    }
    unstored.sent_at_ = now;
    if (other_leads) {
      step_.commands_.push_back(SendToPeer{
          .address_ = status_->leader_address_,
          .message_ = WithdrawalSubmit{.instance_ = instance,
                                       .withdrawal_ = unstored.withdrawal_}});
      continue;
    }
    Propose(state::WithdrawTarget{.instance_ = instance,
                                  .withdrawal_ = unstored.withdrawal_},
            PendingProposal{.kind_ = ProposalKind::kWithdrawal}, now);
  }
}

void ControlService::Impl::OnMessage(const std::string&,
                                     const WithdrawalSubmit& submit,
                                     state::Millis now) {
  if (LeadsWithQuorum() &&
      !state::Covers(withdrawals_.Find(submit.instance_), submit.withdrawal_)) {
    Propose(state::WithdrawTarget{.instance_ = submit.instance_,
                                  .withdrawal_ = submit.withdrawal_},
            PendingProposal{.kind_ = ProposalKind::kWithdrawal}, now);
  }
}

void ControlService::Impl::Apply(const state::WithdrawTarget& change,
                                 const EntryCommitted& entry,
                                 state::Millis now) {
  withdrawals_.Apply(change, entry.command_->wall_millis_);
  // As earlier builds do, which know the entry as an ExpireKeys.
  register_.Expire(entry.command_->wall_millis_);
  TakePending(*entry.command_);
  // The daemon waits for it before it acknowledges the withdrawal.
  const auto session = sessions_.find(change.instance_);
  if (session != sessions_.end()) {
    Reply(change.instance_, &session->second, Confirmation::kUnconfirmed, now);
  }
}

}  // namespace gooseberrygap::coordination
