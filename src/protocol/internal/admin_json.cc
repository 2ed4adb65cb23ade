#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

using nlohmann::json;
using state::ErrorKind;

constexpr std::array<const char*, 4> kTargetStateNames = {"starting", "serving",
                                                          "draining", "left"};
constexpr std::array<const char*, 6> kSubmitStatusNames = {
    "accepted",   "conflict",  "wrong_version",
    "not_leader", "no_quorum", "not_formed"};

state::Error InvalidRequest(absl::string_view what) {
  return state::MakeError(ErrorKind::kInvalidRequest, what);
}

state::Result<json> ParseObject(absl::string_view text) {
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

json MemberToJson(const state::ControlMember& member) {
  return json{{"identity", member.identity_},
              {"instance", member.instance_},
              {"address", member.address_},
              {"voter", member.voter_}};
}

state::Result<state::ControlMember> MemberFromJson(const json& object) {
  if (!object.is_object()) {
    return InvalidRequest("A member is not an object");
  }
  for (const char* key : {"identity", "instance", "address"}) {
    if (StringAt(object, key).empty()) {
      return InvalidRequest(
          absl::StrCat("A member has no \"", key, "\" of type string"));
    }
  }
  return state::ControlMember{.identity_ = StringAt(object, "identity"),
                              .instance_ = StringAt(object, "instance"),
                              .address_ = StringAt(object, "address")};
}

json TargetToJson(const state::TargetRecord& record) {
  return json{
      {"target", record.target_},
      {"service", record.service_},
      {"instance", record.instance_},
      {"region", record.region_},
      {"failure_domain", record.failure_domain_},
      {"slots", record.slots_},
      {"state", kTargetStateNames.at(static_cast<size_t>(record.state_))}};
}

}  // namespace

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
  const auto slots = document.find("slots");
  constexpr int kMaxSlots = 1024;
  const bool slots_valid =
      slots != document.end() && slots->is_number_integer() &&
      slots->get<int64_t>() >= 1 && slots->get<int64_t>() <= kMaxSlots;
  if (!slots_valid) {
    return InvalidRequest(absl::StrCat(
        "The announcement's \"slots\" is not a whole number from 1 to ",
        kMaxSlots));
  }
  const std::string state_name = StringAt(document, "state");
  const auto* name =
      std::find(kTargetStateNames.begin(), kTargetStateNames.end(), state_name);
  const auto state_number = name - kTargetStateNames.begin();
  if (state_number > static_cast<int>(state::TargetState::kDraining)) {
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
      .state_ = static_cast<state::TargetState>(state_number),
      .incarnation_ = has_incarnation ? incarnation->get<uint64_t>() : 0};
}

state::Result<ConfigSubmission> ParseConfigSubmission(absl::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed) {
    return parsed.error();
  }
  const json& document = parsed.value();
  const std::string submission = StringAt(document, "submission");
  if (submission.empty()) {
    return InvalidRequest("The body has no \"submission\" of type string");
  }
  const auto configuration = document.find("configuration");
  if (configuration == document.end()) {
    return InvalidRequest("The body has no \"configuration\"");
  }
  const auto checked = ParseConfiguration(configuration->dump());
  if (!checked) {
    return checked.error();
  }
  return ConfigSubmission{.submission_ = submission,
                          .configuration_ = checked.value()};
}

state::Result<std::vector<state::ControlMember>> ParseMembers(
    absl::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed) {
    return parsed.error();
  }
  const auto list = parsed.value().find("members");
  if (list == parsed.value().end() || !list->is_array() || list->empty()) {
    return InvalidRequest("The body has no \"members\" with entries");
  }
  std::vector<state::ControlMember> members;
  for (const json& entry : *list) {
    const auto member = MemberFromJson(entry);
    if (!member) {
      return member.error();
    }
    members.push_back(member.value());
  }
  return members;
}

state::Result<std::string> ParseIdentity(absl::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed) {
    return parsed.error();
  }
  const std::string identity = StringAt(parsed.value(), "identity");
  if (identity.empty()) {
    return InvalidRequest("The body has no \"identity\" of type string");
  }
  return identity;
}

state::Result<state::ControlMember> ParseMember(absl::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed) {
    return parsed.error();
  }
  return MemberFromJson(parsed.value());
}

std::string PrintSubmitReply(const coordination::ConfigSubmitReply& reply) {
  return json{
      {"status", kSubmitStatusNames.at(static_cast<size_t>(reply.status_))},
      {"index", reply.index_},
      {"current_version", reply.current_version_},
      {"winner_submission", reply.winner_submission_}}
      .dump();
}

std::string PrintNodeStatus(const coordination::NodeStatus& status) {
  return json{{"configuration_index", status.configuration_index_},
              {"configuration_version", status.configuration_version_},
              {"knowledge_age_ms", status.knowledge_age_.value()},
              {"target", TargetToJson(status.record_)},
              {"in_flight", status.load_.in_flight_},
              {"queued", status.load_.queued_},
              {"latency_ms", status.load_.latency_.value()},
              {"calls_in_progress", status.calls_in_progress_},
              {"work_in_progress", status.work_in_progress_}}
      .dump();
}

std::string PrintTargets(const std::vector<state::TargetRecord>& targets) {
  json list = json::array();
  for (const state::TargetRecord& target : targets) {
    list.push_back(TargetToJson(target));
  }
  return json{{"targets", list}}.dump();
}

std::string PrintCounters(const std::vector<state::CounterSample>& samples) {
  json list = json::array();
  for (const state::CounterSample& sample : samples) {
    list.push_back(json{{"name", sample.name_},
                        {"labels", sample.labels_},
                        {"value", sample.value_}});
  }
  return json{{"counters", list}}.dump();
}

std::string PrintIndexedConfiguration(
    const state::IndexedConfiguration& configuration) {
  json document = nullptr;
  if (configuration.configuration_ != nullptr) {
    document = json::parse(PrintConfiguration(*configuration.configuration_));
  }
  return json{{"index", configuration.index_}, {"configuration", document}}
      .dump();
}

std::string PrintError(const state::Error& error) {
  return json{{"error", state::NameOf(error.kind_).data()},
              {"message", error.message_}}
      .dump();
}

std::string PrintControlStatus(const ControlStatus& status) {
  json members = json::array();
  for (const state::ControlMember& member : status.members_) {
    members.push_back(MemberToJson(member));
  }
  return json{{"identity", status.identity_},
              {"instance", status.instance_},
              {"address", status.address_},
              {"formed", status.formed_},
              {"role", status.role_},
              {"term", status.term_},
              {"leader", status.leader_},
              {"commit_index", status.commit_index_},
              {"members", members}}
      .dump();
}

}  // namespace gooseberrygap::protocol
