#ifndef PROTOCOL_API_QUOTA_JSON_H_
#define PROTOCOL_API_QUOTA_JSON_H_

#include <string>

#include "absl/strings/string_view.h"
#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// Answer to GET /-/quota. Parsing ignores unknown keys; a fault is
// kMalformedAnswer. Thread-safe.
std::string PrintQuotas(const coordination::QuotaOverview& quotas);
state::Result<coordination::QuotaOverview> ParseQuotas(absl::string_view json);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_QUOTA_JSON_H_
