#include <algorithm>

#include "coordination/internal/ingress_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;

}  // namespace

Commands Ingress::Impl::OnRoutedCall(const CallReceived& received,
                                     const std::string& request_id,
                                     state::Millis now) {
  const auto configuration = configuration_->configuration_;
  const auto refuse = [&](RefusalReason reason) {
    return Refuse(received, request_id, reason);
  };
  const state::Route* route =
      state::FindRoute(*configuration, received.host_, received.request_.path_);
  if (route == nullptr) {
    return refuse(DenialReason(RefusalReason::kNoRoute));
  }
  const Admission admission =
      Admit(received, route->allows_anonymous_, route->allowed_regions_, now);
  if (admission.refusal_ != RefusalReason::kNone) {
    return refuse(admission.refusal_);
  }
  const state::Service* service =
      state::FindService(*configuration, splits_.Choose(*route));
  if (service == nullptr) {
    return refuse(RefusalReason::kNoService);
  }
  const std::string digest = DigestOf(service->name_, received.request_);
  if (convicted_.contains(digest)) {
    return refuse(RefusalReason::kPoisoned);
  }
  const state::Millis time_limit = std::min(
      received.deadline_left_.value_or(route->timeout_), route->timeout_);
  if (time_limit <= state::Millis(0)) {
    return refuse(RefusalReason::kDeadline);
  }
  const bool is_action = route->request_class_ == state::RequestClass::kAction;
  return limited_.OnCall(
      ClassifiedCall{
          .call_id_ = received.call_id_,
          .request_id_ = request_id,
          .configuration_ = configuration,
          .configuration_index_ = configuration_->index_,
          .service_ = service,
          .request_class_ = route->request_class_,
          .request_ = access_.RequestToPassOn(received),
          .digest_ = digest,
          .is_suspect_ = suspects_.contains(digest),
          .received_at_ = now,
          .deadline_ = now + time_limit,
          .depth_ = received.depth_,
          .max_attempts_ = static_cast<uint32_t>(route->max_attempts_),
          .objective_ = now + route->latency_objective_,
          .priority_ = route->priority_,
          .origin_service_ = received.origin_service_,
          .caller_id_ = received.caller_id_,
          .host_ = received.host_,
          .route_ = route->name_,
          .is_unkeyed_ = is_action,
          .tenant_ = admission.tenant_,
          .api_key_ = received.api_key_.value_or(std::string()),
          .allowed_regions_ = admission.allowed_regions_},
      now);
}

Ingress::Impl::Admission Ingress::Impl::Admit(
    const CallReceived& received,
    bool allows_anonymous,
    const std::vector<std::string>& allowed_regions,
    state::Millis now) {
  const AccessCheck::Decision access = access_.Check(
      received.api_key_, allows_anonymous, configuration_recent_, now);
  if (access.refusal_ != RefusalReason::kNone) {
    return Admission{.refusal_ = access.refusal_};
  }
  const state::AllowedRegions regions =
      state::AllowedRegions(allowed_regions)
          .Intersect(
              access.tenant_.has_value()
                  ? state::AllowedRegions((*access.tenant_)->allowed_regions_)
                  : state::AllowedRegions());
  return Admission{.refusal_ = regions.allows_none()
                                   ? RefusalReason::kNoAllowedRegion
                                   : RefusalReason::kNone,
                   .tenant_ = access.tenant_,
                   .allowed_regions_ = regions};
}

}  // namespace gooseberrygap::coordination
