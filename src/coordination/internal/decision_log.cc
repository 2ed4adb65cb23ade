#include "coordination/internal/decision_log.h"

#include <array>
#include <string>
#include <utility>
#include <vector>
#include "absl/strings/string_view.h"

namespace gooseberrygap::coordination {

namespace {

using state::LogEvent;
using state::LogField;
using state::LogLevel;

constexpr std::array<absl::string_view, 3> kOutcomes = {"complete", "not_run",
                                                        "unknown"};
constexpr std::array<absl::string_view, 4> kResults = {"complete", "refused",
                                                       "cut", "unknown"};
constexpr std::array<absl::string_view, 4> kStates = {"starting", "serving",
                                                      "draining", "left"};
constexpr std::array<absl::string_view, 3> kMoveReasons = {"silent", "stale",
                                                           "other_region"};
constexpr std::array<absl::string_view, 8> kWarmupReasons = {
    "none",        "reported_cold",   "guard_started",    "guard_paused",
    "new_process", "delivery_failed", "evacuation_ended", "connections_closed"};
constexpr int kFirstServerError = 500;

template <class Names, class Enum>
std::string NameIn(const Names& names, Enum value) {
  return std::string(names.at(static_cast<size_t>(value)));
}

void AddLoad(const state::GuardLoad& load, std::vector<LogField>* fields) {
  fields->push_back({"in_flight", int64_t{load.in_flight_}});
  fields->push_back({"queued", int64_t{load.queued_}});
  fields->push_back({"slots", int64_t{load.slots_}});
  fields->push_back({"pace", int64_t{load.service_time_percent_}});
  fields->push_back({"state", NameIn(kStates, load.state_)});
}

}  // namespace

LogEvent AttemptSentLine(const Attempt& attempt,
                         const std::optional<ReportedLoad>& reported) {
  std::vector<LogField> fields = {
      {"attempt", int64_t{attempt.attempt_}},
      {"service", attempt.service_},
      {"route", attempt.route_},
      {"target", attempt.target_},
      {"deadline_left_ms", attempt.deadline_left_.value()},
      {"configuration", static_cast<int64_t>(attempt.configuration_index_)},
      {"may_queue", attempt.may_queue_}};
  if (reported.has_value()) {
    fields.push_back({"load_age_ms", reported->age_.value()});
    AddLoad(reported->load_, &fields);
  }
  return LogEvent{.event_ = "attempt_sent",
                  .request_ = attempt.request_id_,
                  .fields_ = std::move(fields)};
}

LogEvent AttemptResumedLine(const ResumeAttempt& resume,
                            const std::string& address) {
  return LogEvent{
      .level_ = LogLevel::kWarning,
      .event_ = "attempt_resumed",
      .request_ = resume.request_id_,
      .fields_ = {{"attempt", int64_t{resume.attempt_}}, {"address", address}}};
}

LogEvent AttemptAnsweredLine(const AttemptAnswer& answer) {
  const bool is_served = answer.result_ == AttemptResult::kComplete &&
                         answer.answer_.status_ < kFirstServerError;
  std::vector<LogField> fields = {
      {"attempt", int64_t{answer.attempt_}},
      {"target", answer.target_},
      {"result", NameIn(kResults, answer.result_)},
      {"reason", std::string(state::NameOf(answer.refusal_))},
      {"status", int64_t{answer.answer_.status_}},
      {"guard_ms", answer.guard_time_.value()}};
  AddLoad(answer.load_, &fields);
  return LogEvent{.level_ = is_served ? LogLevel::kInfo : LogLevel::kWarning,
                  .event_ = "attempt_answered",
                  .request_ = answer.request_id_,
                  .fields_ = std::move(fields)};
}

LogEvent CallAnsweredLine(const CallAnswer& answer,
                          const ConfigurationState& current) {
  const bool is_served = answer.outcome_ == Outcome::kComplete &&
                         answer.answer_.status_ < kFirstServerError;
  std::vector<LogField> fields = {
      {"caller_id", answer.caller_id_},
      {"outcome", NameIn(kOutcomes, answer.outcome_)},
      {"reason", std::string(state::NameOf(answer.reason_))},
      {"status", int64_t{answer.answer_.status_}},
      {"target", answer.target_},
      {"configuration", static_cast<int64_t>(current.configuration_index_)},
      {"knowledge_age_ms", current.staleness_.value()}};
  if (answer.latency_.has_value()) {
    fields.push_back({"latency_ms", answer.latency_->value()});
  }
  return LogEvent{.level_ = is_served ? LogLevel::kInfo : LogLevel::kWarning,
                  .event_ = "call_answered",
                  .request_ = answer.request_id_,
                  .fields_ = std::move(fields)};
}

LogEvent ControlMovedLine(const std::string& from,
                          const std::string& to,
                          ControlMoveReason reason,
                          state::Millis staleness) {
  return LogEvent{.level_ = LogLevel::kWarning,
                  .event_ = "control_moved",
                  .fields_ = {{"from", from},
                              {"to", to},
                              {"reason", NameIn(kMoveReasons, reason)},
                              {"staleness_ms", staleness.value()}}};
}

LogEvent ControlQueryAnsweredLine(const std::string& current,
                                  const LeaseReply& reply) {
  return LogEvent{.event_ = "control_query_answered",
                  .fields_ = {{"current", current},
                              {"control", reply.control_instance_},
                              {"staleness_ms", reply.staleness_.value()}}};
}

LogEvent ControlReplyLateLine(const LeaseReply& reply, state::Millis waited) {
  return LogEvent{
      .level_ = LogLevel::kWarning,
      .event_ = "control_reply_late",
      .fields_ = {
          {"control", reply.control_instance_},
          {"waited_ms", waited.value()},
          {"staleness_ms", reply.staleness_.value()},
          {"configuration", static_cast<int64_t>(reply.configuration_index_)}}};
}

LogEvent ConfigurationMissedLine(const LeaseReply& reply,
                                 uint64_t configuration) {
  return LogEvent{
      .level_ = LogLevel::kWarning,
      .event_ = "configuration_missed",
      .fields_ = {{"control", reply.control_instance_},
                  {"base", static_cast<int64_t>(reply.delta_base_index_)},
                  {"index", static_cast<int64_t>(reply.configuration_index_)},
                  {"configuration", static_cast<int64_t>(configuration)}}};
}

LogEvent EvacuationLine(const state::EvacuationState& domain, bool is_own) {
  return LogEvent{
      .level_ = LogLevel::kWarning,
      .event_ = domain.evacuated_ ? "evacuation_in_force" : "evacuation_ended",
      .fields_ = {{"failure_domain", domain.failure_domain_},
                  {"index", static_cast<int64_t>(domain.index_)},
                  {"is_own", is_own}}};
}

LogEvent WarmupLimitLine(const WarmupChange& change,
                         const std::string& target,
                         double requests_per_second) {
  std::vector<LogField> fields = {
      {"target", target}, {"reason", NameIn(kWarmupReasons, change.reason_)}};
  if (change.in_force_) {
    fields.push_back({"requests_per_second", requests_per_second});
  }
  return LogEvent{.event_ = change.in_force_ ? "warmup_limit_in_force"
                                             : "warmup_limit_ended",
                  .fields_ = std::move(fields)};
}

state::LogEvent OwnControlRoleSilentLine() {
  return state::LogEvent{.level_ = state::LogLevel::kWarning,
                         .event_ = "own_control_role_silent"};
}

}  // namespace gooseberrygap::coordination
