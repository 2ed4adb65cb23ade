#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "state/state.h"

namespace gooseberrygap::state {

namespace {

struct GaugeRow {
  const Gauge gauge_;
  const absl::string_view name_;
  const absl::string_view help_;
};

constexpr std::array<GaugeRow, static_cast<size_t>(Gauge::kCount)> kRows = {{
    {Gauge::kAuthorizationLeft, "authorization_lease_left_ms",
     "Time for which calls with an API key may still be served."},
    {Gauge::kConfirmationAge, "authorization_confirmation_age_ms",
     "Time since a quorum confirmed the API keys."},
    {Gauge::kEvacuationOrderIndex, "evacuation_order_index",
     "Log index of the newest evacuation order that this control instance has "
     "applied; 0 without one."},
    {Gauge::kOwnDomainEvacuated, "evacuation_own_domain",
     "1 while the daemon's own failure domain is evacuated, else 0."},
    {Gauge::kEvacuationIndex, "evacuation_index",
     "Log index of the newest evacuation order in force at this daemon."},
    {Gauge::kEvacuatedDomains, "evacuation_domains",
     "Number of evacuated failure domains."},
    {Gauge::kTargetCold, "target_cold",
     "Whether the own target reports that it is cold."},
    {Gauge::kTargetUncertain, "target_warmup_uncertain",
     "Whether the own target may be cold."},
    {Gauge::kQuotaGrantAge, "quota_grant_age_ms",
     "Time from the last grant of quota tokens to the last report."},
    {Gauge::kHeldHeadBytes, "held_head_bytes",
     "Bytes held for the heads of callers' requests."},
    {Gauge::kHeldBodyBytes, "held_body_bytes",
     "Bytes held for the bodies of callers' requests, with their copies."},
    {Gauge::kHeldAnswerBytes, "held_answer_bytes",
     "Bytes held for answers that callers have not read."},
    {Gauge::kHeldMessageBytes, "held_message_bytes",
     "Bytes held for attempts and answers of other daemons."},
    {Gauge::kHeldByteLimit, "held_byte_limit",
     "Limit of the bytes held for callers and other daemons."},
    {Gauge::kReservedBodyBytes, "reserved_body_bytes",
     "Bytes reserved for large bodies that other daemons are sending."},
}};

constexpr bool RowsAreInEnumOrder() {
  for (size_t i = 0; i < kRows.size(); ++i) {
    if (kRows.at(i).gauge_ != static_cast<Gauge>(i)) {
      return false;
    }
  }
  return true;
}
static_assert(RowsAreInEnumOrder(), "kRows must follow the enum's order.");

// Stands for a gauge without a value.
constexpr double kNoValue = std::numeric_limits<double>::quiet_NaN();

}  // namespace

Gauges::Gauges() {
  for (std::atomic<double>& value : values_) {
    value.store(kNoValue);
  }
}

void Gauges::Set(Gauge gauge, std::optional<double> value) {
  values_.at(static_cast<size_t>(gauge)).store(value.value_or(kNoValue));
}

std::optional<double> Gauges::Get(Gauge gauge) const {
  const double value = values_.at(static_cast<size_t>(gauge)).load();
  return std::isnan(value) ? std::nullopt : std::optional(value);
}

std::vector<GaugeSample> Gauges::Samples() const {
  std::vector<GaugeSample> samples;
  for (const GaugeRow& row : kRows) {
    const std::optional<double> value = Get(row.gauge_);
    if (value.has_value()) {
      samples.push_back(
          GaugeSample{.name_ = absl::StrCat("gooseberrygap_", row.name_),
                      .help_ = std::string(row.help_),
                      .value_ = *value});
    }
  }
  return samples;
}

}  // namespace gooseberrygap::state
