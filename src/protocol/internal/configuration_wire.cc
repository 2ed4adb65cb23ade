#include <utility>

#include "protocol/internal/wire_values.h"

namespace gooseberrygap::protocol {

namespace {

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

}  // namespace

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

}  // namespace gooseberrygap::protocol
