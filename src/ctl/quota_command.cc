#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "ctl/command.h"

namespace gooseberrygap::ctl {

state::Result<Report> RunQuota(const Invocation& invocation) {
  const AdminClient client = invocation.Client();
  const auto answer = client.Get("/-/quota", &protocol::ParseQuotas);
  if (answer.has_error()) {
    return answer.error();
  }
  const coordination::QuotaOverview& quotas = answer.value();
  if (!quotas.is_owner_) {
    return state::MakeError(
        state::ErrorKind::kNoQuorum,
        absl::StrCat(client.name(),
                     " does not lead the control group; ask the instance with "
                     "the peer address ",
                     quotas.leader_address_.empty() ? "that 'control status' "
                                                      "names as the leader"
                                                    : quotas.leader_address_));
  }
  std::string text =
      absl::StrFormat("%-32s %10s %10s %10s %10s %10s\n", "TENANT", "RATE",
                      "DEMAND", "AVAILABLE", "CALLS", "REFUSED");
  for (const coordination::QuotaUse& use : quotas.tenants_) {
    absl::StrAppendFormat(&text, "%-32s %10.1f %10.1f %10.0f %10d %10d\n",
                          use.tenant_, use.rate_, use.demand_, use.available_,
                          use.spent_, use.refused_);
  }
  return Report{.output_ = text};
}

}  // namespace gooseberrygap::ctl
