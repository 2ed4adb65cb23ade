#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

// Limit of the memory that the parsed values of a target's document take. It
// has a dozen members and members of a later version, which are not read.
constexpr size_t kMaxValueBytes = size_t{12} * 1024 * 1024;

using nlohmann::json;
using state::ErrorKind;

// The states that a target may announce of itself.
constexpr std::array kAnnouncedStates = {state::TargetState::kStarting,
                                         state::TargetState::kServing,
                                         state::TargetState::kDraining};

state::Error InvalidRequest(absl::string_view what) {
  return state::MakeError(ErrorKind::kInvalidRequest, what);
}

state::Result<json> ParseObject(absl::string_view text) {
  BOOST_OUTCOME_TRYV(CheckJsonSize(text, kMaxValueBytes));
  json document = json::parse(text.begin(), text.end(), nullptr, false);
  if (!document.is_object()) {
    return InvalidRequest("The body is not a JSON object");
  }
  return document;
}

// Returns the string under `key`, or an empty one when it is missing or of
// another type.
std::string StringAt(const json& object, const char* key) {
  const auto entry = object.find(key);
  return entry != object.end() && entry->is_string() ? entry->get<std::string>()
                                                     : std::string();
}

json TargetToJson(const state::TargetRecord& record) {
  return json{{"target", record.target_},
              {"service", record.service_},
              {"instance", record.instance_},
              {"region", record.region_},
              {"failure_domain", record.failure_domain_},
              {"slots", record.slots_},
              {"state", std::string(NameOf(record.state_))}};
}

}  // namespace

bool IsAnnouncedName(absl::string_view name) {
  constexpr size_t kMaxNameBytes = 255;
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<uint8_t>(c));
         });
}

state::Result<coordination::TargetAnnounced> ParseAnnouncement(
    absl::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed) {
    return parsed.error();
  }
  const json& document = parsed.value();
  for (const char* key : {"service", "target", "address", "state"}) {
    if (StringAt(document, key).empty()) {
      return InvalidRequest(
          absl::StrCat("The announcement has no \"", key, "\" of type string"));
    }
  }
  for (const char* key : {"service", "target"}) {
    if (!IsAnnouncedName(StringAt(document, key))) {
      return InvalidRequest(
          absl::StrCat("The announcement's \"", key,
                       "\" is not 1 to 255 printable ASCII characters"));
    }
  }
  if (!ParseNumericAddress(StringAt(document, "address")).has_value()) {
    return InvalidRequest(
        "The announcement's \"address\" is not a numeric IPv4 address with a "
        "port, as 127.0.0.1:8080");
  }
  const auto slots = document.find("slots");
  // Compared as a double: an unsigned number may not fit a signed one.
  const bool slots_valid = slots != document.end() &&
                           slots->is_number_integer() &&
                           slots->get<double>() >= 1 &&
                           slots->get<double>() <= state::kMaxTargetSlots;
  if (!slots_valid) {
    return InvalidRequest(absl::StrCat(
        "The announcement's \"slots\" is not a whole number from 1 to ",
        state::kMaxTargetSlots));
  }
  const std::string state_name = StringAt(document, "state");
  const auto* announced_state =
      std::find_if(kAnnouncedStates.begin(), kAnnouncedStates.end(),
                   [&state_name](state::TargetState known) {
                     return NameOf(known) == state_name;
                   });
  if (announced_state == kAnnouncedStates.end()) {
    return InvalidRequest(
        absl::StrCat("The announcement's \"state\" is \"", state_name,
                     "\"; allowed are starting, serving and draining"));
  }
  const auto incarnation = document.find("incarnation");
  const bool has_incarnation =
      incarnation != document.end() && incarnation->is_number_unsigned();
  return coordination::TargetAnnounced{
      .target_ = StringAt(document, "target"),
      .service_ = StringAt(document, "service"),
      .address_ = StringAt(document, "address"),
      .slots_ = slots->get<int>(),
      .state_ = *announced_state,
      .incarnation_ = has_incarnation ? incarnation->get<uint64_t>() : 0};
}

std::string PrintNodeStatus(const coordination::NodeStatus& status) {
  return json{{"configuration_index", status.configuration_index_},
              {"configuration_version", status.configuration_version_},
              {"knowledge_age_ms", status.staleness_.value()},
              {"target", TargetToJson(status.record_)},
              {"in_flight", status.load_.in_flight_},
              {"queued", status.load_.queued_},
              {"latency_ms", status.load_.latency_.value()},
              {"calls_in_progress", status.calls_in_progress_},
              {"work_in_progress", status.work_in_progress_},
              {"reports_in_progress", status.reports_in_progress_}}
      .dump();
}

}  // namespace gooseberrygap::protocol
