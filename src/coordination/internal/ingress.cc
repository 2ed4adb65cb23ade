#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "coordination/internal/access_check.h"
#include "coordination/internal/action_calls.h"
#include "coordination/internal/limited_calls.h"
#include "coordination/internal/lookup_calls.h"
#include "coordination/internal/split_choice.h"

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
       state::Counters* counters,
       const AuthorizationLease* lease,
       QuotaGate* quota)
      : request_id_prefix_(std::move(request_id_prefix)),
        counters_(counters),
        access_(lease, counters),
        lookups_(router, &access_, counters),
        limited_(&lookups_, quota),
        actions_(router, register_client, &access_, counters) {}

  void UpdateConfiguration(const state::IndexedConfiguration& configuration) {
    configuration_.emplace(configuration);
    if (configuration.configuration_ != nullptr) {
      access_.UpdateConfiguration(*configuration.configuration_);
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
  void SetConfigurationRecent(bool recent) { configuration_recent_ = recent; }

  bool Denies(const CallReceived& call) const {
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
    return service == nullptr ||
           state::FindRule(*service, call.request_.method_,
                           call.request_.path_) == nullptr;
  }

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
      return refuse(RefusalReason::kNoConfiguration);
    }
    const auto configuration = configuration_->configuration_;
    const state::Service* service =
        state::FindService(*configuration, received.service_);
    if (service == nullptr) {
      return refuse(DenialReason(RefusalReason::kNoService));
    }
    const state::Rule* rule = state::FindRule(
        *service, received.request_.method_, received.request_.path_);
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

  Commands OnCallerDisconnected(uint64_t call_id, state::Millis now) {
    return limited_.OnCallerDisconnected(call_id, now);
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

  Commands ReleaseHeldCalls(state::Millis now) { return limited_.Release(now); }

  Commands Tick(state::Millis now) {
    Commands commands = limited_.Release(now);
    Append(&commands, lookups_.Tick(now));
    Append(&commands, actions_.Tick(now));
    return commands;
  }

  std::optional<state::Millis> NextDue() const {
    std::optional<state::Millis> next;
    for (const std::optional<state::Millis>& due :
         {lookups_.NextDue(), actions_.NextDue(), limited_.NextDue()}) {
      next = next.has_value() && due.has_value() ? std::min(*next, *due)
                                                 : std::max(next, due);
    }
    return next;
  }

  size_t calls_in_progress() const {
    return lookups_.size() + actions_.size() + limited_.size();
  }

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

  // A change that allows the call may have been missed here.
  RefusalReason DenialReason(RefusalReason reason) const {
    return configuration_recent_ ? reason : RefusalReason::kControlTooOld;
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
    const bool is_action =
        route->request_class_ == state::RequestClass::kAction;
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

  // Whether and where a call may run.
  struct Admission {
    const RefusalReason refusal_ = RefusalReason::kNone;
    const std::optional<state::Shared<state::Tenant>> tenant_ = {};
    const state::AllowedRegions allowed_regions_ = {};
  };

  // Takes the steps that precede the choice of a target: the check of the
  // credentials, then the regions that both the rule or route of the call and
  // its tenant allow.
  Admission Admit(const CallReceived& received,
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

  const std::string request_id_prefix_;
  state::Counters* const counters_;
  AccessCheck access_;
  LookupCalls lookups_;
  LimitedCalls limited_;
  ActionCalls actions_;
  std::optional<state::IndexedConfiguration> configuration_;
  absl::flat_hash_set<std::string> convicted_;
  absl::flat_hash_set<std::string> suspects_;
  SplitChoice splits_;
  bool actions_allowed_ = false;
  bool configuration_recent_ = true;
  uint64_t next_request_ = 1;
};

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
