#include "coordination/internal/quota_gate.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;

// Calls are held for at most this time. A report and its answer take 30 ms
// between regions, and the report may have to wait 20 ms for the one before.
constexpr state::Millis kMaxHold(100);
// Calls beyond this number are refused, not held.
constexpr size_t kMaxHeldCalls = 1024;
// Retry time proposed when the owner of the quotas does not answer. An election
// takes about a second.
constexpr state::Millis kRetryAfterUnavailable(300);

bool NeedsToken(const ClassifiedCall& call) {
  return call.tenant_.has_value() && (*call.tenant_)->calls_per_second_ > 0;
}

}  // namespace

QuotaGate::Decision QuotaGate::Admit(const ClassifiedCall& call,
                                     state::Millis now) {
  if (!NeedsToken(call)) {
    return Decision();
  }
  const std::string& tenant = (*call.tenant_)->name_;
  switch (stock_.Take(tenant, now)) {
    case QuotaStock::Decision::kTaken:
      MarkAdmitted(call);
      return Decision();
    case QuotaStock::Decision::kDenied:
      return Decision{.verdict_ = Verdict::kRefused,
                      .answer_ = Refuse(call, RefusalReason::kQuotaExceeded)};
    case QuotaStock::Decision::kUnknown:
      break;
  }
  if (held_.size() >= kMaxHeldCalls) {
    return Decision{.verdict_ = Verdict::kRefused,
                    .answer_ = Refuse(call, RefusalReason::kQuotaUnavailable)};
  }
  counters_->Add(state::Counter::kQuotaWaits);
  held_.push_back(HeldCall{.call_ = call, .since_ = now});
  CountHeld(tenant);
  return Decision{.verdict_ = Verdict::kHeld};
}

QuotaGate::Released QuotaGate::Release(state::Millis now) {
  Released released;
  if (held_.empty()) {
    return released;
  }
  std::deque<HeldCall> still_held;
  std::vector<std::string> tenants;
  for (const HeldCall& held : held_) {
    const ClassifiedCall& call = held.call_;
    const std::string& tenant = (*call.tenant_)->name_;
    const QuotaStock::Decision decision = stock_.TakeAgain(tenant, now);
    if (decision == QuotaStock::Decision::kUnknown &&
        now - held.since_ < kMaxHold) {
      still_held.push_back(held);
      continue;
    }
    tenants.push_back(tenant);
    if (decision == QuotaStock::Decision::kTaken) {
      MarkAdmitted(call);
      released.admitted_.push_back(call);
      continue;
    }
    released.refused_.push_back(
        Refuse(call, decision == QuotaStock::Decision::kDenied
                         ? RefusalReason::kQuotaExceeded
                         : RefusalReason::kQuotaUnavailable));
  }
  held_.swap(still_held);
  for (const std::string& tenant : tenants) {
    CountHeld(tenant);
  }
  return released;
}

bool QuotaGate::OnCallerDisconnected(uint64_t call_id) {
  admitted_.erase(call_id);
  std::deque<HeldCall> remaining;
  std::string tenant;
  for (const HeldCall& held : held_) {
    if (held.call_.call_id_ == call_id) {
      tenant = (*held.call_.tenant_)->name_;
    } else {
      remaining.push_back(held);
    }
  }
  if (tenant.empty()) {
    return false;
  }
  held_.swap(remaining);
  CountHeld(tenant);
  return true;
}

void QuotaGate::OnAnswered(uint64_t call_id,
                           Outcome outcome,
                           state::Millis now) {
  const auto entry = admitted_.find(call_id);
  if (entry == admitted_.end()) {
    return;
  }
  if (outcome == Outcome::kNotRun) {
    stock_.Refund(entry->second, now);
  }
  admitted_.erase(entry);
}

Commands QuotaGate::SendReport(const std::string& leader,
                               uint64_t incarnation,
                               state::Millis now) {
  if (!stock_.has_limits()) {
    return {};
  }
  if (leader != leader_) {
    leader_ = leader;
    leader_hint_.clear();
  }
  stock_.SetOwner(leader_hint_.empty() ? leader_ : leader_hint_);
  const std::optional<QuotaReport> report = stock_.TakeReport(incarnation, now);
  if (!report.has_value()) {
    return {};
  }
  counters_->Add(state::Counter::kQuotaReports);
  const std::optional<state::Millis> last = stock_.last_grant_at();
  counters_->gauges().Set(
      state::Gauge::kQuotaGrantAge,
      last.has_value() ? std::optional((now - *last).value()) : std::nullopt);
  return {SendToPeer{.address_ = stock_.owner(), .message_ = *report}};
}

void QuotaGate::OnGrant(const QuotaGrant& grant, state::Millis now) {
  if (!grant.is_owner_ && !grant.leader_address_.empty()) {
    leader_hint_ = grant.leader_address_;
  }
  if (stock_.OnGrant(grant, now)) {
    counters_->Add(state::Counter::kQuotaGrants);
    counters_->gauges().Set(state::Gauge::kQuotaGrantAge, 0);
  }
}

std::optional<state::Millis> QuotaGate::NextDue() const {
  if (held_.empty()) {
    return std::nullopt;
  }
  const state::Millis end = held_.front().since_ + kMaxHold;
  return std::min(end, stock_.NextUrgentReport().value_or(end));
}

void QuotaGate::CountHeld(const std::string& tenant) {
  stock_.SetWaiting(
      tenant, static_cast<uint64_t>(std::count_if(
                  held_.begin(), held_.end(), [&tenant](const HeldCall& held) {
                    return (*held.call_.tenant_)->name_ == tenant;
                  })));
}

AnswerCall QuotaGate::Refuse(const ClassifiedCall& call, RefusalReason reason) {
  const state::Millis until_token = stock_.RefuseCall((*call.tenant_)->name_);
  const state::Millis retry_after = reason == RefusalReason::kQuotaExceeded
                                        ? until_token
                                        : kRetryAfterUnavailable;
  return AnswerCall{.call_id_ = call.call_id_,
                    .answer_ = CallAnswer{.outcome_ = Outcome::kNotRun,
                                          .reason_ = reason,
                                          .request_id_ = call.request_id_,
                                          .caller_id_ = call.caller_id_,
                                          .retry_after_ = retry_after}};
}

void QuotaGate::MarkAdmitted(const ClassifiedCall& call) {
  admitted_[call.call_id_] = (*call.tenant_)->name_;
}

}  // namespace gooseberrygap::coordination
