#include "protocol/internal/wire_values.h"

#include <cmath>

namespace gooseberrygap::protocol {

namespace {

template <class Wire>
void HeadersToWire(const std::vector<state::HttpHeader>& headers, Wire* out) {
  for (const state::HttpHeader& header : headers) {
    wire::HttpHeader* wire_header = out->add_headers();
    wire_header->set_name(header.name_);
    wire_header->set_value(header.value_);
  }
}

template <class Wire>
std::vector<state::HttpHeader> HeadersFromWire(const Wire& in) {
  std::vector<state::HttpHeader> headers;
  headers.reserve(in.headers_size());
  for (const wire::HttpHeader& header : in.headers()) {
    headers.push_back(
        state::HttpHeader{.name_ = header.name(), .value_ = header.value()});
  }
  return headers;
}

void ServiceToWire(const state::Service& value, wire::Service* out) {
  out->set_name(value.name_);
  out->set_strategy(value.strategy_);
  out->set_default_deadline(value.default_deadline_.value());
  out->set_ramp_up(value.ramp_up_.value());
  out->set_max_queue(value.max_queue_);
  for (const state::Rule& rule : value.rules_) {
    wire::Rule* wire_rule = out->add_rules();
    wire_rule->set_method(rule.method_);
    wire_rule->set_path_prefix(rule.path_prefix_);
    wire_rule->set_request_class(static_cast<uint32_t>(rule.request_class_));
    wire_rule->set_key_source(static_cast<uint32_t>(rule.key_source_));
  }
  out->set_retry_max_attempts(value.retry_.max_attempts_);
  out->set_retry_budget_ratio(value.retry_.budget_ratio_);
  out->set_retry_budget_per_second(value.retry_.budget_per_second_);
  out->set_hedge_enabled(value.hedge_.enabled_);
  out->set_hedge_quantile(value.hedge_.quantile_);
  out->set_hedge_budget_ratio(value.hedge_.budget_ratio_);
  out->set_admission_max_targets(value.admission_.max_targets_);
  out->set_admission_max_slots(value.admission_.max_slots_);
  for (const std::string& domain : value.admission_.failure_domains_) {
    out->add_admission_failure_domains(domain);
  }
  out->set_health_path(value.properties_.health_path_);
  out->set_max_connections(value.properties_.max_connections_);
  out->set_protocol(value.properties_.protocol_);
  out->set_tls(value.properties_.tls_);
  out->set_warmup_duration(value.warmup_.duration_.value());
  out->set_warmup_requests_per_second(value.warmup_.requests_per_second_);
}

state::Service ServiceFromWire(const wire::Service& in, WireReader* reader) {
  std::vector<state::Rule> rules;
  rules.reserve(in.rules_size());
  for (const wire::Rule& rule : in.rules()) {
    rules.push_back(state::Rule{
        .method_ = rule.method(),
        .path_prefix_ = rule.path_prefix(),
        .request_class_ =
            reader->EnumOf(rule.request_class(), state::RequestClass::kAction),
        .key_source_ =
            reader->EnumOf(rule.key_source(), state::KeySource::kPath)});
  }
  return state::Service{
      .name_ = in.name(),
      .strategy_ = in.strategy(),
      .default_deadline_ = reader->MillisOf(in.default_deadline()),
      .ramp_up_ = reader->MillisOf(in.ramp_up()),
      .max_queue_ = in.max_queue(),
      .rules_ = rules,
      .retry_ = state::RetryPolicy{.max_attempts_ = in.retry_max_attempts(),
                                   .budget_ratio_ = in.retry_budget_ratio(),
                                   .budget_per_second_ =
                                       in.retry_budget_per_second()},
      .hedge_ = state::HedgePolicy{.enabled_ = in.hedge_enabled(),
                                   .quantile_ = in.hedge_quantile(),
                                   .budget_ratio_ = in.hedge_budget_ratio()},
      .admission_ =
          state::AdmissionPolicy{
              .max_targets_ = in.admission_max_targets(),
              .max_slots_ = in.admission_max_slots(),
              .failure_domains_ = {in.admission_failure_domains().begin(),
                                   in.admission_failure_domains().end()}},
      .properties_ =
          state::ServiceProperties{.health_path_ = in.health_path(),
                                   .max_connections_ = in.max_connections(),
                                   .protocol_ = in.protocol(),
                                   .tls_ = in.tls()},
      .warmup_ = state::WarmupPolicy{
          .duration_ = reader->MillisOf(in.warmup_duration()),
          .requests_per_second_ = in.warmup_requests_per_second()}};
}

void RouteToWire(const state::Route& value, wire::Route* out) {
  out->set_name(value.name_);
  out->set_host(value.host_);
  out->set_path_prefix(value.path_prefix_);
  out->set_request_class(static_cast<uint32_t>(value.request_class_));
  out->set_timeout(value.timeout_.value());
  out->set_latency_objective(value.latency_objective_.value());
  out->set_priority(value.priority_);
  out->set_max_attempts(value.max_attempts_);
  for (const state::Destination& destination : value.destinations_) {
    wire::Destination* wire_destination = out->add_destinations();
    wire_destination->set_service(destination.service_);
    wire_destination->set_weight(destination.weight_);
  }
  out->set_is_split(value.is_split_);
  out->set_has_large_answers(value.has_large_answers_);
  out->set_allows_anonymous(value.allows_anonymous_);
  for (const std::string& region : value.allowed_regions_) {
    out->add_allowed_regions(region);
  }
}

state::Route RouteFromWire(const wire::Route& in, WireReader* reader) {
  std::vector<state::Destination> destinations;
  destinations.reserve(in.destinations_size());
  for (const wire::Destination& destination : in.destinations()) {
    destinations.push_back(state::Destination{.service_ = destination.service(),
                                              .weight_ = destination.weight()});
  }
  return state::Route{
      .name_ = in.name(),
      .host_ = in.host(),
      .path_prefix_ = in.path_prefix(),
      .request_class_ =
          reader->EnumOf(in.request_class(), state::RequestClass::kAction),
      .timeout_ = reader->MillisOf(in.timeout()),
      .latency_objective_ = reader->MillisOf(in.latency_objective()),
      .priority_ = in.priority(),
      .max_attempts_ = in.max_attempts(),
      .destinations_ = std::move(destinations),
      .is_split_ = in.is_split(),
      .has_large_answers_ = in.has_large_answers(),
      .allows_anonymous_ = in.allows_anonymous(),
      .allowed_regions_ = {in.allowed_regions().begin(),
                           in.allowed_regions().end()}};
}

void TenantToWire(const state::Tenant& value, wire::Tenant* out) {
  out->set_name(value.name_);
  for (const std::string& key : value.api_keys_) {
    out->add_api_keys(key);
  }
  out->set_priority(value.priority_);
  out->set_calls_per_second(value.calls_per_second_);
  out->set_burst_calls(value.burst_calls_);
  for (const std::string& region : value.allowed_regions_) {
    out->add_allowed_regions(region);
  }
}

state::Tenant TenantFromWire(const wire::Tenant& in) {
  return state::Tenant{
      .name_ = in.name(),
      .api_keys_ = {in.api_keys().begin(), in.api_keys().end()},
      .priority_ = in.priority(),
      .calls_per_second_ = in.calls_per_second(),
      .burst_calls_ = in.burst_calls(),
      .allowed_regions_ = {in.allowed_regions().begin(),
                           in.allowed_regions().end()}};
}

void MembersToWire(
    const std::vector<state::ControlMember>& members,
    google::protobuf::RepeatedPtrField<wire::ControlMember>* out) {
  for (const state::ControlMember& member : members) {
    wire::ControlMember* wire_member = out->Add();
    wire_member->set_identity(member.identity_);
    wire_member->set_instance(member.instance_);
    wire_member->set_address(member.address_);
    wire_member->set_voter(member.voter_);
    wire_member->set_leaving(member.leaving_);
  }
}

std::vector<state::ControlMember> MembersFromWire(
    const google::protobuf::RepeatedPtrField<wire::ControlMember>& in) {
  std::vector<state::ControlMember> members;
  members.reserve(in.size());
  for (const wire::ControlMember& member : in) {
    members.push_back(state::ControlMember{.identity_ = member.identity(),
                                           .instance_ = member.instance(),
                                           .address_ = member.address(),
                                           .voter_ = member.voter(),
                                           .leaving_ = member.leaving()});
  }
  return members;
}

}  // namespace

state::Millis WireReader::MillisOf(double value) {
  if (!std::isfinite(value)) {
    valid_ = false;
    return state::Millis();
  }
  return state::Millis(value);
}

void HeadToWire(const state::HttpRequest& value, wire::HttpRequest* out) {
  out->set_method(value.method_);
  out->set_path(value.path_);
  HeadersToWire(value.headers_, out);
}

void HeadToWire(const state::HttpAnswer& value, wire::HttpAnswer* out) {
  out->set_status(value.status_);
  HeadersToWire(value.headers_, out);
}

void ToWire(const state::HttpRequest& value, wire::HttpRequest* out) {
  HeadToWire(value, out);
  out->set_body(value.body_.view().data(), value.body_.size());
}

void ToWire(const state::HttpAnswer& value, wire::HttpAnswer* out) {
  HeadToWire(value, out);
  out->set_body(value.body_.view().data(), value.body_.size());
}

void ToWire(const state::GuardLoad& value, wire::GuardLoad* out) {
  out->set_in_flight(value.in_flight_);
  out->set_queued(value.queued_);
  out->set_slots(value.slots_);
  out->set_latency(static_cast<float>(value.latency_.value()));
  out->set_state(static_cast<uint32_t>(value.state_));
  out->set_pace(value.service_time_percent_);
  out->set_service_time(static_cast<float>(value.service_time_.value()));
  out->set_admissions_per_second(
      static_cast<float>(value.admissions_per_second_));
}

void ToWire(const state::CrashReport& value, wire::CrashReport* out) {
  out->set_fingerprint(value.fingerprint_);
  out->set_crash_id(value.crash_id_);
  out->set_alone(value.alone_);
}

void ToWire(const state::TargetWithdrawal& value, wire::TargetWithdrawal* out) {
  out->set_target(value.target_);
  out->set_incarnation(value.incarnation_);
  out->set_sequence(value.sequence_);
  out->set_state(static_cast<uint32_t>(value.state_));
}

void ToWire(const state::TargetRecord& value, wire::TargetRecord* out) {
  out->set_target(value.target_);
  out->set_service(value.service_);
  out->set_instance(value.instance_);
  out->set_guard_address(value.guard_address_);
  out->set_region(value.region_);
  out->set_failure_domain(value.failure_domain_);
  out->set_slots(value.slots_);
  out->set_state(static_cast<uint32_t>(value.state_));
  out->set_incarnation(value.version_.incarnation_);
  out->set_sequence(value.version_.sequence_);
  if (!value.withdrawal_.target_.empty()) {
    ToWire(value.withdrawal_, out->mutable_withdrawal());
  }
}

void ToWire(const state::RegisterCommand& value, wire::RegisterCommand* out) {
  out->set_operation(static_cast<uint32_t>(value.operation_));
  out->set_key(value.key_);
  out->set_attempt(value.attempt_);
  out->set_digest(value.digest_);
  out->set_guard(value.guard_);
  out->set_incarnation(value.incarnation_);
  out->set_nonce(value.nonce_);
  out->set_request_id(value.request_id_);
  ToWire(value.answer_, out->mutable_answer());
}

void ToWire(const state::RegisterResult& value, wire::RegisterResult* out) {
  out->set_granted(value.granted_);
  out->set_refusal(static_cast<uint32_t>(value.refusal_));
  out->set_state(static_cast<uint32_t>(value.state_));
  out->set_attempt(value.attempt_);
  ToWire(value.answer_, out->mutable_answer());
}

void ToWire(const state::Configuration& value, wire::Configuration* out) {
  out->set_version(value.version_);
  for (const state::Service& service : value.services_) {
    ServiceToWire(service, out->add_services());
  }
  out->set_load_bytes_per_second(value.load_budget_.bytes_per_second_);
  out->set_load_messages_per_second(value.load_budget_.messages_per_second_);
  out->set_load_cross_region_bytes_per_second(
      value.load_budget_.cross_region_bytes_per_second_);
  out->set_cross_region_bytes_per_second(value.cross_region_bytes_per_second_);
  out->set_action_retention(value.actions_.retention_.value());
  out->set_action_max_keys(value.actions_.max_keys_);
  out->set_action_max_answer_bytes(value.actions_.max_answer_bytes_);
  out->set_poison_crashes(value.poison_.crashes_);
  out->set_poison_window(value.poison_.window_.value());
  out->set_poison_hold(value.poison_.hold_.value());
  for (const state::Route& route : value.routes_) {
    RouteToWire(route, out->add_routes());
  }
  out->set_max_header_bytes(value.caller_limits_.max_header_bytes_);
  out->set_max_body_bytes(value.caller_limits_.max_body_bytes_);
  out->set_header_timeout(value.caller_limits_.header_timeout_.value());
  out->set_idle_timeout(value.caller_limits_.idle_timeout_.value());
  for (const state::Shared<state::Tenant>& tenant : value.tenants_) {
    TenantToWire(*tenant, out->add_tenants());
  }
}

void ToWire(const state::Evacuations& value, wire::Evacuations* out) {
  out->set_index(value.index_);
  for (const state::EvacuationState& domain : value.domains_) {
    wire::EvacuationState* wire_domain = out->add_domains();
    wire_domain->set_failure_domain(domain.failure_domain_);
    wire_domain->set_evacuated(domain.evacuated_);
    wire_domain->set_index(domain.index_);
  }
}

void ToWire(const state::EvacuationOrder& value, wire::EvacuationOrder* out) {
  out->set_failure_domain(value.failure_domain_);
  out->set_evacuates(value.evacuates_);
  out->set_known_index(value.known_index_);
}

void ToWire(const state::LogEntry& value, wire::LogEntry* out) {
  out->set_index(value.index_);
  out->set_term(value.term_);
  out->set_kind(static_cast<uint32_t>(value.kind_));
  out->set_payload(value.payload_.ToString());
  MembersToWire(value.members_, out->mutable_members());
}

void ToWire(const state::LogSnapshot& value, wire::LogSnapshot* out) {
  out->set_index(value.index_);
  out->set_term(value.term_);
  MembersToWire(value.members_, out->mutable_members());
  out->set_content(value.content_.ToString());
}

state::HttpRequest FromWire(const wire::HttpRequest& in, WireReader* reader) {
  return state::HttpRequest{.method_ = in.method(),
                            .path_ = in.path(),
                            .headers_ = HeadersFromWire(in),
                            .body_ = reader->BodyOf(in.body())};
}

state::HttpAnswer FromWire(const wire::HttpAnswer& in, WireReader* reader) {
  return state::HttpAnswer{.status_ = in.status(),
                           .headers_ = HeadersFromWire(in),
                           .body_ = reader->BodyOf(in.body())};
}

state::GuardLoad FromWire(const wire::GuardLoad& in, WireReader* reader) {
  return state::GuardLoad{
      .in_flight_ = in.in_flight(),
      .queued_ = in.queued(),
      .slots_ = in.slots(),
      .latency_ = reader->MillisOf(in.latency()),
      .state_ = reader->EnumOf(in.state(), state::TargetState::kLeft),
      .service_time_percent_ = in.pace(),
      .service_time_ = reader->MillisOf(in.service_time()),
      .admissions_per_second_ = in.admissions_per_second()};
}

state::CrashReport FromWire(const wire::CrashReport& in) {
  return state::CrashReport{.fingerprint_ = in.fingerprint(),
                            .crash_id_ = in.crash_id(),
                            .alone_ = in.alone()};
}

std::vector<state::CrashReport> CrashesFromWire(
    const google::protobuf::RepeatedPtrField<wire::CrashReport>& in) {
  std::vector<state::CrashReport> crashes;
  crashes.reserve(in.size());
  for (const wire::CrashReport& crash : in) {
    crashes.push_back(FromWire(crash));
  }
  return crashes;
}

state::TargetWithdrawal FromWire(const wire::TargetWithdrawal& in,
                                 WireReader* reader) {
  // A message without the field, as earlier builds send it, names no target.
  if (in.target().empty()) {
    return {};
  }
  return state::TargetWithdrawal{
      .target_ = in.target(),
      .incarnation_ = in.incarnation(),
      .sequence_ = in.sequence(),
      .state_ = reader->EnumOf(in.state(), state::TargetState::kLeft)};
}

state::TargetRecord FromWire(const wire::TargetRecord& in, WireReader* reader) {
  return state::TargetRecord{
      .target_ = in.target(),
      .service_ = in.service(),
      .instance_ = in.instance(),
      .guard_address_ = in.guard_address(),
      .region_ = in.region(),
      .failure_domain_ = in.failure_domain(),
      .slots_ = in.slots(),
      .state_ = reader->EnumOf(in.state(), state::TargetState::kLeft),
      .version_ = state::LeaseVersion{.incarnation_ = in.incarnation(),
                                      .sequence_ = in.sequence()},
      .withdrawal_ = FromWire(in.withdrawal(), reader)};
}

state::RegisterCommand FromWire(const wire::RegisterCommand& in,
                                WireReader* reader) {
  return state::RegisterCommand{
      .operation_ =
          reader->EnumOf(in.operation(), state::RegisterOperation::kAbandon),
      .key_ = in.key(),
      .attempt_ = in.attempt(),
      .digest_ = in.digest(),
      .guard_ = in.guard(),
      .incarnation_ = in.incarnation(),
      .nonce_ = in.nonce(),
      .request_id_ = in.request_id(),
      .answer_ = FromWire(in.answer(), reader)};
}

state::RegisterResult FromWire(const wire::RegisterResult& in,
                               WireReader* reader) {
  return state::RegisterResult{
      .granted_ = in.granted(),
      .refusal_ = reader->EnumOf<state::RefusalReason>(in.refusal()),
      .state_ = reader->EnumOf(in.state(), state::ActionState::kUnknown),
      .attempt_ = in.attempt(),
      .answer_ = FromWire(in.answer(), reader)};
}

state::Configuration FromWire(const wire::Configuration& in,
                              WireReader* reader) {
  std::vector<state::Service> services;
  services.reserve(in.services_size());
  for (const wire::Service& service : in.services()) {
    services.push_back(ServiceFromWire(service, reader));
  }
  std::vector<state::Route> routes;
  routes.reserve(in.routes_size());
  for (const wire::Route& route : in.routes()) {
    routes.push_back(RouteFromWire(route, reader));
  }
  std::vector<state::Shared<state::Tenant>> tenants;
  tenants.reserve(in.tenants_size());
  for (const wire::Tenant& tenant : in.tenants()) {
    tenants.emplace_back(TenantFromWire(tenant));
  }
  return state::Configuration{
      .version_ = in.version(),
      .services_ = services,
      .routes_ = std::move(routes),
      .caller_limits_ =
          state::CallerLimits{
              .max_header_bytes_ = in.max_header_bytes(),
              .max_body_bytes_ = in.max_body_bytes(),
              .header_timeout_ = reader->MillisOf(in.header_timeout()),
              .idle_timeout_ = reader->MillisOf(in.idle_timeout())},
      .load_budget_ =
          state::LoadBudget{
              .bytes_per_second_ = in.load_bytes_per_second(),
              .messages_per_second_ = in.load_messages_per_second(),
              .cross_region_bytes_per_second_ =
                  in.load_cross_region_bytes_per_second()},
      .cross_region_bytes_per_second_ = in.cross_region_bytes_per_second(),
      .actions_ =
          state::ActionPolicy{
              .retention_ = reader->MillisOf(in.action_retention()),
              .max_keys_ = in.action_max_keys(),
              .max_answer_bytes_ = in.action_max_answer_bytes()},
      .poison_ =
          state::PoisonPolicy{.crashes_ = in.poison_crashes(),
                              .window_ = reader->MillisOf(in.poison_window()),
                              .hold_ = reader->MillisOf(in.poison_hold())},
      .tenants_ = std::move(tenants)};
}

state::Evacuations FromWire(const wire::Evacuations& in, WireReader*) {
  std::vector<state::EvacuationState> domains;
  domains.reserve(in.domains_size());
  for (const wire::EvacuationState& domain : in.domains()) {
    domains.push_back(
        state::EvacuationState{.failure_domain_ = domain.failure_domain(),
                               .evacuated_ = domain.evacuated(),
                               .index_ = domain.index()});
  }
  return state::Evacuations{.index_ = in.index(),
                            .domains_ = std::move(domains)};
}

state::EvacuationOrder FromWire(const wire::EvacuationOrder& in, WireReader*) {
  return state::EvacuationOrder{.failure_domain_ = in.failure_domain(),
                                .evacuates_ = in.evacuates(),
                                .known_index_ = in.known_index()};
}

state::LogEntry FromWire(const wire::LogEntry& in, WireReader* reader) {
  return state::LogEntry{
      .index_ = in.index(),
      .term_ = in.term(),
      .kind_ = reader->EnumOf(in.kind(), state::LogEntryKind::kMembers),
      .payload_ = state::Bytes(in.payload()),
      .members_ = MembersFromWire(in.members())};
}

state::LogSnapshot FromWire(const wire::LogSnapshot& in, WireReader*) {
  return state::LogSnapshot{.index_ = in.index(),
                            .term_ = in.term(),
                            .members_ = MembersFromWire(in.members()),
                            .content_ = state::Bytes(in.content())};
}

}  // namespace gooseberrygap::protocol
