#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

namespace {

// An unanswered register call is sent again after this time. Longer than a
// round trip between regions and a sync of the log.
constexpr state::Millis kResendAfter(150);
// Delay before a resend when an instance replied that it has no leader.
constexpr state::Millis kNoLeaderPause(50);

}  // namespace

RegisterClient::RegisterClient(std::vector<std::string> control_addresses,
                               state::Counters* counters)
    : control_addresses_(std::move(control_addresses)), counters_(counters) {}

void RegisterClient::SetLeader(const std::string& address) {
  if (!address.empty()) {
    leader_ = address;
  }
}

Commands RegisterClient::Call(const state::RegisterCommand& command,
                              uint64_t tag,
                              state::Millis deadline,
                              state::Millis now) {
  const uint64_t call_id = next_call_id_++;
  const auto [entry, inserted] = pending_.try_emplace(
      call_id,
      Pending{.tag_ = tag, .command_ = command, .deadline_ = deadline});
  return Send(call_id, &entry->second, now);
}

Commands RegisterClient::Send(uint64_t call_id,
                              Pending* pending,
                              state::Millis now) {
  pending->next_send_ = now + kResendAfter;
  if (leader_.empty()) {
    if (control_addresses_.empty()) {
      return {};
    }
    leader_ = control_addresses_[next_address_ % control_addresses_.size()];
    ++next_address_;
  }
  pending->sent_ = true;
  return {SendToPeer{.address_ = leader_,
                     .message_ = RegisterCall{.call_id_ = call_id,
                                              .command_ = pending->command_}}};
}

RegisterClient::Step RegisterClient::OnReply(const RegisterReply& reply,
                                             state::Millis now) {
  Step step;
  const auto entry = pending_.find(reply.call_id_);
  if (entry == pending_.end()) {
    counters_->Add(state::Counter::kAnswersLate);
    return step;
  }
  Pending& pending = entry->second;
  if (reply.status_ == RegisterStatus::kApplied) {
    step.ends_.push_back(RegisterEnd{.tag_ = pending.tag_,
                                     .command_ = pending.command_,
                                     .answered_ = true,
                                     .result_ = reply.result_});
    pending_.erase(entry);
    return step;
  }
  counters_->Add(state::RetryReason::kRegisterMoved);
  const bool has_new_leader =
      !reply.leader_address_.empty() && reply.leader_address_ != leader_;
  leader_ = reply.leader_address_;
  if (has_new_leader) {
    step.commands_ = Send(reply.call_id_, &pending, now);
  } else {
    leader_.clear();
    pending.next_send_ = now + kNoLeaderPause;
  }
  return step;
}

RegisterClient::Step RegisterClient::Tick(state::Millis now) {
  Step step;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& pending = entry->second;
    if (now >= pending.deadline_) {
      step.ends_.push_back(RegisterEnd{.tag_ = pending.tag_,
                                       .command_ = pending.command_,
                                       .never_sent_ = !pending.sent_});
      entry = pending_.erase(entry);
      continue;
    }
    if (now >= pending.next_send_) {
      // The instance may be unreachable, so try another one.
      leader_.clear();
      counters_->Add(state::RetryReason::kRegisterUnanswered);
      Append(&step.commands_, Send(entry->first, &pending, now));
    }
    ++entry;
  }
  return step;
}

}  // namespace gooseberrygap::coordination
