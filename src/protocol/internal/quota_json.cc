#include "protocol/internal/json_fields.h"
#include "protocol/internal/json_texts.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::QuotaOverview;
using coordination::QuotaUse;

constexpr Integer kCount{0, kMaxInteger};
constexpr Number kAmount{0, 1e15};
// Bounds only what a malformed answer can make the reader reserve.
constexpr size_t kMaxTenants = 1000000;

constexpr auto kUseRecord =
    RecordOf<QuotaUse>(Required("tenant", &QuotaUse::tenant_, kAnyText),
                       Required("calls_per_second", &QuotaUse::rate_, kAmount),
                       Required("demand", &QuotaUse::demand_, kAmount),
                       Required("available", &QuotaUse::available_, kAmount),
                       Required("spent", &QuotaUse::spent_, kCount),
                       Required("refused", &QuotaUse::refused_, kCount));

constexpr auto kOverviewRecord = RecordOf<QuotaOverview>(
    Required("leads", &QuotaOverview::is_owner_, Flag{}),
    Required("leader_address", &QuotaOverview::leader_address_, kAnyText),
    Required("tenants",
             &QuotaOverview::tenants_,
             ListOf(kUseRecord, kMaxTenants)));

}  // namespace

std::string PrintQuotas(const QuotaOverview& quotas) {
  return PrintDocument(kOverviewRecord, quotas);
}

state::Result<QuotaOverview> ParseQuotas(absl::string_view json) {
  return ReadDocument(kOverviewRecord, json, UnknownKeys::kIgnore,
                      state::ErrorKind::kMalformedAnswer, "The answer");
}

}  // namespace gooseberrygap::protocol
