#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "coordination/internal/action_calls.h"
#include "coordination/internal/lookup_calls.h"
#include "coordination/internal/split_choice.h"
#include "coordination/internal/tenant_directory.h"

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

class Ingress::Impl {
 public:
  Impl(std::string request_id_prefix,
       Router* router,
       RegisterClient* register_client,
       state::Counters* counters)
      : request_id_prefix_(std::move(request_id_prefix)),
        counters_(counters),
        lookups_(router, counters),
        actions_(router, register_client, counters) {}

  void UpdateConfiguration(const state::IndexedConfiguration& configuration) {
    configuration_.emplace(configuration);
    if (configuration.configuration_ != nullptr) {
      tenants_.Update(*configuration.configuration_);
    }
    splits_.Reset();
  }

  void UpdateRefusedFingerprints(
      const std::vector<RefusedFingerprint>& fingerprints) {
    convicted_.clear();
    suspects_.clear();
    for (const RefusedFingerprint& refused : fingerprints) {
      (refused.convicted_ ? convicted_ : suspects_)
          .insert(refused.fingerprint_);
    }
  }

  void SetActionsAllowed(bool allowed) { actions_allowed_ = allowed; }
  void SetRoutesRecent(bool recent) { routes_recent_ = recent; }

  Commands OnCall(const CallReceived& received, state::Millis now) {
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
      return refuse(RefusalReason::kNoService);
    }
    const auto configuration = configuration_->configuration_;
    const state::Service* service =
        state::FindService(*configuration, received.service_);
    if (service == nullptr) {
      return refuse(RefusalReason::kNoService);
    }
    const state::Rule* rule = state::FindRule(
        *service, received.request_.method_, received.request_.path_);
    if (rule == nullptr) {
      return refuse(RefusalReason::kNoRule);
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

  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now) {
    return lookups_.OnCallerDisconnected(call_id, now);
  }

  Commands OnAnswer(const AttemptAnswer& answer, state::Millis now) {
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

  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now) {
    return actions_.OnRegisterEnd(end, now);
  }

  Commands OnTargetSlow(const std::string& target, state::Millis now) {
    return lookups_.OnTargetSlow(target, now);
  }

  Commands OnLinkLost(const std::string& address, state::Millis now) {
    Commands commands = lookups_.OnLinkLost(address, now);
    Append(&commands, actions_.OnLinkLost(address, now));
    return commands;
  }

  Commands Tick(state::Millis now) {
    Commands commands = lookups_.Tick(now);
    Append(&commands, actions_.Tick(now));
    return commands;
  }

  std::optional<state::Millis> NextDue() const {
    const std::optional<state::Millis> lookup = lookups_.NextDue();
    const std::optional<state::Millis> action = actions_.NextDue();
    return lookup.has_value() && action.has_value() ? std::min(*lookup, *action)
                                                    : std::max(lookup, action);
  }

  size_t calls_in_progress() const { return lookups_.size() + actions_.size(); }

 private:
  static Commands Refuse(const CallReceived& received,
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

  // Precondition: there is a configuration.
  Commands OnRoutedCall(const CallReceived& received,
                        const std::string& request_id,
                        state::Millis now) {
    const auto configuration = configuration_->configuration_;
    const auto refuse = [&](RefusalReason reason) {
      return Refuse(received, request_id, reason);
    };
    const state::Route* route = state::FindRoute(*configuration, received.host_,
                                                 received.request_.path_);
    if (route == nullptr) {
      return refuse(routes_recent_ ? RefusalReason::kNoRoute
                                   : RefusalReason::kControlTooOld);
    }
    const std::optional<RefusalReason> denial =
        CheckAccess(received, route->allows_anonymous_);
    if (denial.has_value()) {
      return refuse(*denial);
    }
    const state::Shared<state::Tenant>* tenant = TenantOf(received);
    const state::AllowedRegions allowed_regions =
        state::AllowedRegions(route->allowed_regions_)
            .Intersect(tenant == nullptr ? state::AllowedRegions()
                                         : state::AllowedRegions(
                                               (*tenant)->allowed_regions_));
    if (allowed_regions.allows_none()) {
      return refuse(RefusalReason::kNoAllowedRegion);
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
    const bool is_action =
        route->request_class_ == state::RequestClass::kAction;
    return lookups_.OnCall(
        ClassifiedCall{
            .call_id_ = received.call_id_,
            .request_id_ = request_id,
            .configuration_ = configuration,
            .configuration_index_ = configuration_->index_,
            .service_ = service,
            .request_class_ = route->request_class_,
            .request_ = RequestToPassOn(received),
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
            .tenant_ =
                tenant == nullptr ? std::nullopt : std::optional(*tenant),
            .allowed_regions_ = allowed_regions},
        now);
  }

  // Returns the tenant whose key the call has, or null.
  const state::Shared<state::Tenant>* TenantOf(
      const CallReceived& received) const {
    return received.api_key_.has_value()
               ? tenants_.FindByKey(*received.api_key_)
               : nullptr;
  }

  // Returns why the call may not be made with its credentials, or nothing.
  std::optional<RefusalReason> CheckAccess(const CallReceived& received,
                                           bool allows_anonymous) const {
    if (!tenants_.has_tenants()) {
      return std::nullopt;
    }
    const bool is_allowed = received.api_key_.has_value()
                                ? TenantOf(received) != nullptr
                                : allows_anonymous;
    if (is_allowed) {
      return std::nullopt;
    }
    return routes_recent_ ? RefusalReason::kUnknownKey
                          : RefusalReason::kControlTooOld;
  }

  // Returns the request with the credentials that are none of a tenant.
  state::HttpRequest RequestToPassOn(const CallReceived& received) const {
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

  const std::string request_id_prefix_;
  state::Counters* const counters_;
  LookupCalls lookups_;
  ActionCalls actions_;
  std::optional<state::IndexedConfiguration> configuration_;
  absl::flat_hash_set<std::string> convicted_;
  absl::flat_hash_set<std::string> suspects_;
  TenantDirectory tenants_;
  SplitChoice splits_;
  bool actions_allowed_ = false;
  bool routes_recent_ = true;
  uint64_t next_request_ = 1;
};

Ingress::Ingress(std::string request_id_prefix,
                 Router* router,
                 RegisterClient* register_client,
                 state::Counters* counters)
    : impl_(std::make_unique<Impl>(std::move(request_id_prefix),
                                   router,
                                   register_client,
                                   counters)) {}

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

void Ingress::SetRoutesRecent(bool recent) {
  impl_->SetRoutesRecent(recent);
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
