#ifndef COORDINATION_INTERNAL_QUOTA_LIMITS_H_
#define COORDINATION_INTERNAL_QUOTA_LIMITS_H_

#include <algorithm>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Time for which a daemon may use the tokens of a grant, from the sending of
// the report that the grant answered. The owner counts them for the same time
// from the grant on, and so never for a shorter time.
inline constexpr state::Millis kQuotaTokenLifetime(2500);

// The bounds of a tenant's token bucket, which the owner and the daemons derive
// from the same configuration and settings.
struct QuotaLimits {
  const double rate_ = 0;  // Tokens per second; 0 for a tenant without a limit.
  // Upper bound of the tokens in the bucket and in all stocks together.
  const double cap_ = 0;
  // Tokens that stay in the bucket for the calls that need one now: the burst,
  // and at least half of the cap, since tokens in the stocks of daemons that
  // have no use for them would keep the bucket from being refilled. The rest is
  // handed out to daemons ahead of their calls.
  const double reserve_ = 0;
  // Time after which spent tokens are reported. Until then they occupy a part
  // of `cap_`.
  const state::Millis report_interval_ = {};

  friend bool operator==(const QuotaLimits&, const QuotaLimits&) = default;
};

// Returns the limits of the tenant. Thread-safe.
//
// The promise allows burst + tolerance + rate x window calls in a window. A
// call runs later than its token is spent, and a refused call's token is spent
// again, so that a window also sees tokens from before it: a part of the
// tolerance, the tokens of one second, is kept for these.
inline QuotaLimits QuotaLimitsOf(const state::Tenant& tenant,
                                 const QuotaPolicy& policy) {
  constexpr double kDelaySeconds = 1;
  constexpr double kMaxDelayPart = 0.5;
  constexpr double kMinReportMillis = 50;
  constexpr double kMaxReportMillis = 500;
  // Spent tokens that are not reported yet may occupy this part of the bucket.
  constexpr double kUnreportedPart = 0.25;
  constexpr double kReservedPart = 0.5;
  constexpr double kMillisPerSecond = 1000;
  const double rate = tenant.calls_per_second_;
  if (rate <= 0) {
    return QuotaLimits();
  }
  const double burst = tenant.burst_calls_;
  const double tolerance =
      policy.overshoot_ * (rate * policy.window_seconds_ + burst) +
      policy.slack_;
  const double delayed =
      std::min(rate * kDelaySeconds, tolerance * kMaxDelayPart);
  // Without one whole token no call could ever run.
  const double cap = std::max(burst + tolerance - delayed, 1.0);
  return QuotaLimits{.rate_ = rate,
                     .cap_ = cap,
                     .reserve_ = std::clamp(burst, cap * kReservedPart, cap),
                     .report_interval_ = state::Millis(std::clamp(
                         kUnreportedPart * cap / rate * kMillisPerSecond,
                         kMinReportMillis, kMaxReportMillis))};
}

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_QUOTA_LIMITS_H_
