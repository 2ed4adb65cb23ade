#ifndef PROTOCOL_INTERNAL_CONFIGURATION_FIELDS_H_
#define PROTOCOL_INTERNAL_CONFIGURATION_FIELDS_H_

#include "protocol/internal/json_fields.h"
#include "protocol/internal/json_texts.h"
#include "protocol/internal/strategy_names.h"

namespace gooseberrygap::protocol {

// The operators' document. operators/python has the same rows for the library
// and the JSON schema; the test `configuration_samples` compares them.

inline constexpr EnumName<state::RequestClass> kRequestClasses[] = {
    {state::RequestClass::kLookup, "idempotent"},
    {state::RequestClass::kAction, "non_idempotent"}};

inline constexpr EnumName<state::KeySource> kKeySources[] = {
    {state::KeySource::kHeader, "header"},
    {state::KeySource::kPath, "path"}};

inline constexpr double kHourMs = 3600.0 * 1000;
inline constexpr double kDayMs = 24 * kHourMs;
// Far above the paid link's 30 Mbit/s; only keeps out slips of the pen.
inline constexpr double kMaxBytesPerSecond = 1e9;
// Above the two-year scale of 290 services.
inline constexpr size_t kMaxServices = 4096;
inline constexpr size_t kMaxRules = 1024;
inline constexpr size_t kMaxFailureDomains = 64;

// A rule must name its class, since a wrong default could run an action twice.
inline constexpr auto kRuleRecord = RecordOf<state::Rule>(
    Optional("method", &state::Rule::method_, kMethodText),
    Required("path_prefix", &state::Rule::path_prefix_, kPathPrefixText),
    Required("request_class",
             &state::Rule::request_class_,
             NamedEnumOf(kRequestClasses)),
    Optional("key_source",
             &state::Rule::key_source_,
             NamedEnumOf(kKeySources)));

inline constexpr auto kRetryRecord = RecordOf<state::RetryPolicy>(
    Optional("max_attempts",
             &state::RetryPolicy::max_attempts_,
             Integer{1, 16}),
    Optional("budget_ratio", &state::RetryPolicy::budget_ratio_, Number{0, 1}),
    Absent(&state::RetryPolicy::budget_per_second_));

inline constexpr auto kHedgeRecord = RecordOf<state::HedgePolicy>(
    Optional("enabled", &state::HedgePolicy::enabled_, Flag{}),
    Optional("quantile", &state::HedgePolicy::quantile_, Number{0.5, 0.999}),
    Optional("budget_ratio", &state::HedgePolicy::budget_ratio_, Number{0, 1}));

inline constexpr auto kAdmissionRecord = RecordOf<state::AdmissionPolicy>(
    Optional("max_targets",
             &state::AdmissionPolicy::max_targets_,
             Integer{1, 10000}),
    Optional("max_slots",
             &state::AdmissionPolicy::max_slots_,
             Integer{1, 100000}),
    Optional("failure_domains",
             &state::AdmissionPolicy::failure_domains_,
             ListOf(kNameText, kMaxFailureDomains)));

inline constexpr auto kServiceRecord = RecordOf<state::Service>(
    Required("name", &state::Service::name_, kServiceNameText),
    Optional("strategy", &state::Service::strategy_, Word{kStrategyNames}),
    Optional("default_deadline_ms",
             &state::Service::default_deadline_,
             Number{1, kHourMs}),
    Optional("ramp_up_ms", &state::Service::ramp_up_, Number{0, kHourMs}),
    Optional("max_queue", &state::Service::max_queue_, Integer{0, 100000}),
    Required("rules", &state::Service::rules_, ListOf(kRuleRecord, kMaxRules)),
    Optional("retry", &state::Service::retry_, kRetryRecord),
    Optional("hedge", &state::Service::hedge_, kHedgeRecord),
    Optional("admission", &state::Service::admission_, kAdmissionRecord),
    Absent(&state::Service::properties_),
    Absent(&state::Service::warmup_));

inline constexpr auto kLoadBudgetRecord = RecordOf<state::LoadBudget>(
    Optional("bytes_per_second",
             &state::LoadBudget::bytes_per_second_,
             Number{0, kMaxBytesPerSecond}),
    Optional("messages_per_second",
             &state::LoadBudget::messages_per_second_,
             Number{0, 1e6}),
    Optional("cross_region_bytes_per_second",
             &state::LoadBudget::cross_region_bytes_per_second_,
             Number{0, kMaxBytesPerSecond}));

inline constexpr auto kActionsRecord = RecordOf<state::ActionPolicy>(
    Optional("retention_ms",
             &state::ActionPolicy::retention_,
             Number{1000, 30 * kDayMs}),
    Optional("max_keys", &state::ActionPolicy::max_keys_, Integer{1, 10000000}),
    Optional("max_answer_bytes",
             &state::ActionPolicy::max_answer_bytes_,
             Integer{0, 1048576}));

// One crash cannot tell the request that caused it from the others in flight,
// hence at least two.
inline constexpr auto kPoisonRecord = RecordOf<state::PoisonPolicy>(
    Optional("crashes", &state::PoisonPolicy::crashes_, Integer{2, 100}),
    Optional("window_ms", &state::PoisonPolicy::window_, Number{1, kDayMs}),
    Optional("hold_ms", &state::PoisonPolicy::hold_, Number{1, kDayMs}));

inline constexpr auto kConfigurationRecord = RecordOf<state::Configuration>(
    Required("version",
             &state::Configuration::version_,
             Integer{1, kMaxInteger}),
    Required("services",
             &state::Configuration::services_,
             NamedListOf(kServiceRecord,
                         kMaxServices,
                         "name",
                         &state::Service::name_)),
    Absent(&state::Configuration::routes_),
    Absent(&state::Configuration::caller_limits_),
    Optional("load_budget",
             &state::Configuration::load_budget_,
             kLoadBudgetRecord),
    Optional("cross_region_bytes_per_second",
             &state::Configuration::cross_region_bytes_per_second_,
             Number{0, kMaxBytesPerSecond}),
    Optional("actions", &state::Configuration::actions_, kActionsRecord),
    Optional("poison", &state::Configuration::poison_, kPoisonRecord),
    Absent(&state::Configuration::tenants_));

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_CONFIGURATION_FIELDS_H_
