#include "coordination/internal/access_check.h"

#include <array>
#include <vector>

namespace gooseberrygap::coordination {

namespace {

using state::AccessOutcome;
using state::RefusalReason;

constexpr std::array<RefusalReason, static_cast<size_t>(AccessOutcome::kCount)>
    kRefusals = {
        RefusalReason::kNone,           // kOpen
        RefusalReason::kNone,           // kAnonymous
        RefusalReason::kNone,           // kTenant
        RefusalReason::kUnknownKey,     // kKeyMissing
        RefusalReason::kUnknownKey,     // kKeyUnknown
        RefusalReason::kControlTooOld,  // kUncertain
        RefusalReason::kAuthorizationExpired,
};

}  // namespace

AccessCheck::Decision AccessCheck::Check(
    const std::optional<std::string>& api_key,
    bool allows_anonymous,
    bool keys_recent,
    state::Millis now) {
  const auto decide = [this](AccessOutcome outcome) {
    counters_->Add(outcome);
    return kRefusals.at(static_cast<size_t>(outcome));
  };
  if (!tenants_.has_tenants()) {
    return Decision{.refusal_ = decide(AccessOutcome::kOpen)};
  }
  if (!api_key.has_value()) {
    const AccessOutcome outcome = allows_anonymous ? AccessOutcome::kAnonymous
                                  : keys_recent    ? AccessOutcome::kKeyMissing
                                                   : AccessOutcome::kUncertain;
    return Decision{.refusal_ = decide(outcome)};
  }
  // Before the lookup: without a valid lease nothing is certain of any key.
  if (!HasValidLease(now)) {
    return Decision{.refusal_ = decide(AccessOutcome::kLeaseExpired)};
  }
  const state::Shared<state::Tenant>* tenant = tenants_.FindByKey(*api_key);
  if (tenant == nullptr) {
    return Decision{.refusal_ =
                        decide(keys_recent ? AccessOutcome::kKeyUnknown
                                           : AccessOutcome::kUncertain)};
  }
  return Decision{.refusal_ = decide(AccessOutcome::kTenant),
                  .tenant_ = *tenant};
}

RefusalReason AccessCheck::CheckAgain(
    const std::optional<state::Shared<state::Tenant>>& tenant,
    const std::string& api_key,
    state::Millis now) const {
  if (!tenant.has_value()) {
    return RefusalReason::kNone;
  }
  if (!HasValidLease(now)) {
    return RefusalReason::kAuthorizationExpired;
  }
  // A configuration that came into force since may have removed the key, and a
  // confirmation of that configuration has extended the lease.
  const state::Shared<state::Tenant>* owner = tenants_.FindByKey(api_key);
  return owner != nullptr && (*owner)->name_ == (*tenant)->name_
             ? RefusalReason::kNone
             : RefusalReason::kUnknownKey;
}

std::optional<state::Millis> AccessCheck::AuthorizedUntil(
    const std::optional<state::Shared<state::Tenant>>& tenant,
    state::Millis now) const {
  if (!tenant.has_value() || lease_ == nullptr) {
    return std::nullopt;
  }
  const std::optional<state::Millis> left = lease_->Left(now);
  return left.has_value() ? std::optional(now + *left) : std::nullopt;
}

state::HttpRequest AccessCheck::RequestToPassOn(
    const CallReceived& received) const {
  if (tenants_.has_tenants() || received.credentials_.empty()) {
    return received.request_;
  }
  std::vector<state::HttpHeader> headers = received.request_.headers_;
  for (const state::HttpHeader& credential : received.credentials_) {
    headers.push_back(credential);
  }
  return state::HttpRequest{.method_ = received.request_.method_,
                            .path_ = received.request_.path_,
                            .headers_ = headers,
                            .body_ = received.request_.body_};
}

}  // namespace gooseberrygap::coordination
