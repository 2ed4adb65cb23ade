#include "protocol/api/log_line.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberrygap::protocol {

namespace {

using state::LogLevel;

constexpr std::array<const char*, 3> kLevels = {"info", "warning", "error"};
// Digits behind the point are noise in a time in milliseconds.
constexpr double kDigits = 10;

nlohmann::ordered_json ToJson(const state::LogField& field) {
  if (const auto* number = std::get_if<double>(&field.value_)) {
    return std::round(*number * kDigits) / kDigits;
  }
  return std::visit(
      [](const auto& value) { return nlohmann::ordered_json(value); },
      field.value_);
}

// Keys that are members of LogEvent or LoggedEvent.
constexpr std::array<absl::string_view, 5> kFixedKeys = {
    "time", "level", "instance", "event", "request"};

bool IsFixedKey(absl::string_view key) {
  return std::find(kFixedKeys.begin(), kFixedKeys.end(), key) !=
         kFixedKeys.end();
}

std::string TextAt(const nlohmann::ordered_json& line, const char* key) {
  const auto entry = line.find(key);
  return entry == line.end() || !entry->is_string() ? std::string()
                                                    : entry->get<std::string>();
}

LogLevel LevelAt(const nlohmann::ordered_json& line) {
  const auto* level =
      std::find(kLevels.begin(), kLevels.end(), TextAt(line, "level"));
  return level == kLevels.end()
             ? LogLevel::kInfo
             : static_cast<LogLevel>(level - kLevels.begin());
}

void AddField(const std::string& name,
              const nlohmann::ordered_json& value,
              std::vector<state::LogField>* fields) {
  if (value.is_string()) {
    fields->push_back({name, value.get<std::string>()});
  } else if (value.is_boolean()) {
    fields->push_back({name, value.get<bool>()});
  } else if (value.is_number_integer()) {
    fields->push_back({name, value.get<int64_t>()});
  } else if (value.is_number()) {
    fields->push_back({name, value.get<double>()});
  }
}

}  // namespace

std::optional<LoggedEvent> ParseLogLine(absl::string_view line) {
  const size_t begin = line.find('{');
  if (begin == absl::string_view::npos) {
    return std::nullopt;
  }
  const auto object = nlohmann::ordered_json::parse(line.substr(begin), nullptr,
                                                    /*allow_exceptions=*/false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto time = object.find("time");
  const bool has_time = time != object.end() && time->is_number_unsigned();
  if (!has_time || TextAt(object, "instance").empty() ||
      TextAt(object, "event").empty()) {
    return std::nullopt;
  }
  std::vector<state::LogField> fields;
  for (const auto& [name, value] : object.items()) {
    if (!IsFixedKey(name)) {
      AddField(name, value, &fields);
    }
  }
  return LoggedEvent{
      .wall_millis_ = time->get<uint64_t>(),
      .instance_ = TextAt(object, "instance"),
      .event_ = state::LogEvent{.level_ = LevelAt(object),
                                .event_ = TextAt(object, "event"),
                                .request_ = TextAt(object, "request"),
                                .fields_ = std::move(fields)}};
}

std::string PrintLogLine(const state::LogEvent& event,
                         uint64_t wall_millis,
                         absl::string_view instance) {
  nlohmann::ordered_json line;
  line["time"] = wall_millis;
  line["level"] = kLevels.at(static_cast<size_t>(event.level_));
  line["instance"] = std::string(instance);
  line["event"] = event.event_;
  if (!event.request_.empty()) {
    line["request"] = event.request_;
  }
  for (const state::LogField& field : event.fields_) {
    line[field.name_] = ToJson(field);
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace gooseberrygap::protocol
