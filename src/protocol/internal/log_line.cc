#include "protocol/api/log_line.h"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <variant>

namespace gooseberrygap::protocol {

namespace {

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

}  // namespace

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
