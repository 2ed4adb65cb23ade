#include "support/fault_proxy/fault_settings.h"

#include "absl/strings/str_cat.h"
#include "support/fault_proxy/splitter.h"

namespace gooseberrygap::test_support {

namespace {

using nlohmann::json;

state::Error Invalid(absl::string_view what) {
  return state::MakeError(state::ErrorKind::kInvalidRequest, what);
}

std::string TextOf(const json& object, const char* key) {
  const auto value = object.find(key);
  return value != object.end() && value->is_string() ? value->get<std::string>()
                                                     : "";
}

}  // namespace

state::Result<LinkPlan> ParseLinkPlan(const json& object) {
  if (!object.is_object()) {
    return Invalid("a link is not a JSON object");
  }
  const std::string name = TextOf(object, "name");
  const std::string kind = TextOf(object, "kind");
  const state::Result<Address> listen = ParseAddress(TextOf(object, "listen"));
  const state::Result<Address> to = ParseAddress(TextOf(object, "to"));
  if (name.empty() || !listen.has_value() || !to.has_value() ||
      MakeSplitter(kind) == nullptr) {
    return Invalid(absl::StrCat(
        "link '", name, "' needs a name, a kind (tcp or peer), listen and to"));
  }
  return LinkPlan{.name_ = name,
                  .kind_ = kind,
                  .listen_ = listen.value(),
                  .to_ = to.value(),
                  .source_ = TextOf(object, "source")};
}

json ToJson(const DirectionFaults& faults) {
  return {{"delay_ms", faults.delay_ms_},
          {"jitter_ms", faults.jitter_ms_},
          {"group", faults.group_},
          {"duplicate_share", faults.duplicate_share_},
          {"reorder_share", faults.reorder_share_},
          {"drop_share", faults.drop_share_},
          {"blocked", faults.blocked_},
          {"open_delay_ms", faults.open_delay_ms_}};
}

state::Result<DirectionFaults> PatchFaults(const DirectionFaults& current,
                                           const json& patch) {
  if (!patch.is_object()) {
    return Invalid("the faults of a direction are not a JSON object");
  }
  json merged = ToJson(current);
  for (const auto& [key, value] : patch.items()) {
    const bool known = merged.contains(key) &&
                       (merged[key].type() == value.type() ||
                        (merged[key].is_number() && value.is_number()));
    if (!known || (value.is_number() && !(value.get<double>() >= 0))) {
      return Invalid(absl::StrCat("no such fault, type or range: ", key));
    }
    merged[key] = value;
  }
  return DirectionFaults{.delay_ms_ = merged["delay_ms"],
                         .jitter_ms_ = merged["jitter_ms"],
                         .group_ = merged["group"],
                         .duplicate_share_ = merged["duplicate_share"],
                         .reorder_share_ = merged["reorder_share"],
                         .drop_share_ = merged["drop_share"],
                         .blocked_ = merged["blocked"],
                         .open_delay_ms_ = merged["open_delay_ms"]};
}

}  // namespace gooseberrygap::test_support
