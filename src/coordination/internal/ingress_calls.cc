#include <algorithm>

#include "absl/strings/str_cat.h"
#include "coordination/internal/ingress_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;

// Maximum depth of a chain of calls. Chains are up to 11 deep; a deeper one is
// most likely a cycle.
constexpr uint32_t kMaxDepth = 16;
// Maximum time limit of a call that no route has classified.
constexpr state::Millis kMaxDeadline(60 * 1000);
// Retry time proposed to a caller whose call the ingress refused. A daemon that
// has just started receives the configuration within some hundred milliseconds;
// a caller that retries at once is refused again.
constexpr state::Millis kRetryAfterRefusal(300);

}  // namespace

bool Ingress::Impl::Denies(const CallReceived& call) const {
  if (!configuration_.has_value() ||
      configuration_->configuration_ == nullptr) {
    return false;
  }
  const state::Configuration& configuration = *configuration_->configuration_;
  if (call.service_.empty()) {
    const state::Route* route =
        state::FindRoute(configuration, call.host_, call.request_.path_);
    return route == nullptr ||
           access_.Denies(call.api_key_, route->allows_anonymous_);
  }
  const state::Service* service =
      state::FindService(configuration, call.service_);
  return service == nullptr || state::FindRule(*service, call.request_.method_,
                                               call.request_.path_) == nullptr;
}

Commands Ingress::Impl::OnCall(const CallReceived& received,
                               state::Millis now) {
  counters_->Add(state::Counter::kCallsReceived);
  const std::string request_id =
      absl::StrCat(request_id_prefix_, "-", next_request_++);
  const auto refuse = [&](RefusalReason reason) {
    return Refuse(received, request_id, reason);
  };
  if (received.depth_ > kMaxDepth) {
    return refuse(RefusalReason::kTooDeep);
  }
  const bool has_configuration =
      configuration_.has_value() && configuration_->configuration_ != nullptr;
  if (received.service_.empty()) {
    return has_configuration ? OnRoutedCall(received, request_id, now)
                             : refuse(RefusalReason::kNoConfiguration);
  }
  if (!has_configuration) {
    return refuse(RefusalReason::kNoConfiguration);
  }
  const auto configuration = configuration_->configuration_;
  const state::Service* service =
      state::FindService(*configuration, received.service_);
  if (service == nullptr) {
    return refuse(DenialReason(RefusalReason::kNoService));
  }
  const state::Rule* rule = state::FindRule(*service, received.request_.method_,
                                            received.request_.path_);
  if (rule == nullptr) {
    return refuse(DenialReason(RefusalReason::kNoRule));
  }
  const std::string digest = DigestOf(service->name_, received.request_);
  if (convicted_.contains(digest)) {
    return refuse(RefusalReason::kPoisoned);
  }
  const bool is_action = rule->request_class_ == state::RequestClass::kAction;
  const std::string key = rule->key_source_ == state::KeySource::kPath
                              ? received.request_.path_
                              : received.idempotency_key_;
  if (is_action && key.empty()) {
    return refuse(RefusalReason::kKeyMissing);
  }
  if (is_action && !actions_allowed_) {
    return refuse(RefusalReason::kControlTooOld);
  }
  const state::Millis time_limit =
      std::min(received.deadline_left_.value_or(service->default_deadline_),
               kMaxDeadline);
  if (time_limit <= state::Millis(0)) {
    return refuse(RefusalReason::kDeadline);
  }
  const ClassifiedCall call{
      .call_id_ = received.call_id_,
      .request_id_ = request_id,
      .configuration_ = configuration,
      .configuration_index_ = configuration_->index_,
      .service_ = service,
      .request_class_ = rule->request_class_,
      .request_ = received.request_,
      .key_ = is_action ? absl::StrCat(service->name_, "/", key) : "",
      .digest_ = digest,
      .is_suspect_ = suspects_.contains(digest),
      .received_at_ = now,
      .deadline_ = now + time_limit,
      .depth_ = received.depth_,
      .max_attempts_ = static_cast<uint32_t>(service->retry_.max_attempts_),
      .objective_ = now + time_limit,
      .origin_service_ = received.origin_service_};
  return is_action ? actions_.OnCall(call, now) : lookups_.OnCall(call, now);
}

Commands Ingress::Impl::Refuse(const CallReceived& received,
                               const std::string& request_id,
                               RefusalReason reason) {
  return {
      AnswerCall{.call_id_ = received.call_id_,
                 .answer_ = CallAnswer{.outcome_ = Outcome::kNotRun,
                                       .reason_ = reason,
                                       .request_id_ = request_id,
                                       .caller_id_ = received.caller_id_,
                                       .retry_after_ = kRetryAfterRefusal}}};
}

RefusalReason Ingress::Impl::DenialReason(RefusalReason reason) const {
  return configuration_recent_ ? reason : RefusalReason::kControlTooOld;
}

}  // namespace gooseberrygap::coordination
