#include "support/stand_in_target/behaviour.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "support/stand_in_target/pace.h"

namespace gooseberrygap::test_support {

namespace {

using nlohmann::json;

struct NumberRow {
  const char* const key_;
  const double lowest_;
  const double highest_;
};

constexpr double kUnbounded = 1e9;
constexpr std::array<NumberRow, 7> kNumbers = {{
    {"service_time_mean_ms", 0, kUnbounded},
    {"slow_factor", 0, kUnbounded},
    {"noise_factor", 1, kUnbounded},
    {"noise_share", 0, 1},
    {"fail_share", 0, 1},
    {"shed_share", 0, 1},
    {"load_lag_ms", 0, kUnbounded},
}};

struct ChoiceRow {
  const char* const key_;
  const std::array<absl::string_view, 3> allowed_;
};

constexpr std::array<ChoiceRow, 2> kChoices = {{
    {"state", {"starting", "serving", "draining"}},
    {"load_report", {"honest", "idle", "honest"}},
}};

json ToJson(const Behaviour& behaviour) {
  return {
      {"state", behaviour.state_},
      {"service_time_distribution", behaviour.service_time_distribution_},
      {"service_time_mean_ms", behaviour.service_time_mean_ms_},
      {"slow_factor", behaviour.slow_factor_},
      {"noise_factor", behaviour.noise_factor_},
      {"noise_share", behaviour.noise_share_},
      {"fail_share", behaviour.fail_share_},
      {"shed_share", behaviour.shed_share_},
      {"silent", behaviour.silent_},
      {"cut_answers", behaviour.cut_answers_},
      {"stray_answers", behaviour.stray_answers_},
      {"load_report", behaviour.load_report_},
      {"load_lag_ms", behaviour.load_lag_ms_},
  };
}

// Precondition: the keys and types are those of ToJson.
Behaviour FromJson(const json& object) {
  return Behaviour{
      .state_ = object["state"],
      .service_time_distribution_ = object["service_time_distribution"],
      .service_time_mean_ms_ = object["service_time_mean_ms"],
      .slow_factor_ = object["slow_factor"],
      .noise_factor_ = object["noise_factor"],
      .noise_share_ = object["noise_share"],
      .fail_share_ = object["fail_share"],
      .shed_share_ = object["shed_share"],
      .silent_ = object["silent"],
      .cut_answers_ = object["cut_answers"],
      .stray_answers_ = object["stray_answers"],
      .load_report_ = object["load_report"],
      .load_lag_ms_ = object["load_lag_ms"],
  };
}

bool SameType(const json& left, const json& right) {
  return left.type() == right.type() || (left.is_number() && right.is_number());
}

// Returns the first key whose value is out of range, or an empty string.
std::string OutOfRange(const json& object) {
  for (const NumberRow& row : kNumbers) {
    const double value = object[row.key_];
    if (!(value >= row.lowest_ && value <= row.highest_)) {
      return row.key_;
    }
  }
  for (const ChoiceRow& row : kChoices) {
    const std::string value = object[row.key_];
    if (std::find(row.allowed_.begin(), row.allowed_.end(), value) ==
        row.allowed_.end()) {
      return row.key_;
    }
  }
  const std::string distribution = object["service_time_distribution"];
  return FindDistribution(distribution) == nullptr ? "service_time_distribution"
                                                   : "";
}

}  // namespace

std::string PrintBehaviour(const Behaviour& behaviour) {
  return ToJson(behaviour).dump();
}

state::Result<Behaviour> PatchBehaviour(const Behaviour& current,
                                        absl::string_view patch) {
  const json changes =
      json::parse(patch.begin(), patch.end(), nullptr, /*allow_exceptions=*/
                  false);
  if (!changes.is_object()) {
    return state::MakeError(state::ErrorKind::kInvalidRequest,
                            "the behaviour is not a JSON object");
  }
  json merged = ToJson(current);
  for (const auto& [key, value] : changes.items()) {
    if (!merged.contains(key) || !SameType(merged[key], value)) {
      return state::MakeError(
          state::ErrorKind::kInvalidRequest,
          absl::StrCat("behaviour has no such key or type: ", key));
    }
    merged[key] = value;
  }
  const std::string wrong = OutOfRange(merged);
  if (!wrong.empty()) {
    return state::MakeError(state::ErrorKind::kInvalidRequest,
                            absl::StrCat(wrong, " is out of range"));
  }
  return FromJson(merged);
}

state::Result<void> BehaviourHolder::Patch(absl::string_view patch) {
  absl::MutexLock lock(&mutex_);
  state::Result<Behaviour> patched = PatchBehaviour(*current_, patch);
  if (!patched.has_value()) {
    return patched.error();
  }
  current_ = std::make_shared<const Behaviour>(patched.value());
  return boost::outcome_v2::success();
}

}  // namespace gooseberrygap::test_support
