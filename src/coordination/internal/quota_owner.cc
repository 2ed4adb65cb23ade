#include "coordination/internal/quota_owner.h"

#include <algorithm>
#include <cmath>

namespace gooseberrygap::coordination {

namespace {

constexpr double kMillisPerSecond = 1000;
// Time from an election until the new leader grants tokens. The authority of
// the earlier leader ends 500 ms after the beginning of the last round that a
// quorum acknowledged, and that quorum has elected the new leader since.
constexpr state::Millis kTakeoverDelay(500);
// While tokens of the previous leader are not accounted for, a bucket may
// collect the tokens of this time and one more, so that calls run at the
// tenant's rate. The part of the tolerance that is kept for delays covers them.
constexpr double kUncertainSeconds = 0.1;
// A daemon gets up to this multiple of its share of the demand from what is
// left at the time. With the share alone, 88 daemons that report every 500 ms
// would leave most of a bucket unused.
constexpr double kShareFactor = 4;
// Bounds of the time for which a daemon refuses calls without asking again.
constexpr state::Millis kMinDenial(50);
constexpr state::Millis kMaxDenial(500);
constexpr state::Millis kMaxTokenInterval(5000);

uint64_t WholeTokens(double tokens) {
  return tokens < 1 ? 0 : static_cast<uint64_t>(tokens);
}

}  // namespace

uint64_t QuotaOwner::Holding::OpenTokens() const {
  uint64_t tokens = 0;
  for (const OpenGrant& grant : open_) {
    tokens += grant.tokens_;
  }
  return tokens;
}

void QuotaOwner::UpdateConfiguration(const state::Configuration& configuration,
                                     NewTenants new_tenants,
                                     state::Millis now) {
  std::set<std::string> limited;
  for (const state::Shared<state::Tenant>& tenant : configuration.tenants_) {
    const QuotaLimits limits = QuotaLimitsOf(*tenant, policy_);
    if (limits.rate_ <= 0) {
      continue;
    }
    limited.insert(tenant->name_);
    const auto [entry, is_new] = buckets_.try_emplace(tenant->name_);
    Bucket& bucket = entry->second;
    if (is_new) {
      bucket.refilled_at_ = now;
      bucket.is_inherited_ = new_tenants == NewTenants::kMayHoldTokens;
      bucket.level_ = bucket.is_inherited_ ? 0 : limits.cap_;
    } else {
      Refill(&bucket, now);
    }
    bucket.limits_.emplace(limits);
    LimitLevel(&bucket, now);
  }
  // A tenant that is removed and added again must not get a second full bucket,
  // so that its bucket stays until it is full again.
  absl::erase_if(buckets_, [&](auto& entry) {
    Bucket& bucket = entry.second;
    if (limited.contains(entry.first)) {
      return false;
    }
    Refill(&bucket, now);
    return bucket.level_ >= bucket.limits_->cap_;
  });
}

void QuotaOwner::Start(uint64_t term,
                       const std::optional<std::set<std::string>>& daemons,
                       state::Millis now) {
  term_ = term;
  unreported_ = daemons;
  grants_from_ = now + kTakeoverDelay;
  inherited_until_ = grants_from_ + kQuotaTokenLifetime;
  sessions_.clear();
  absl::flat_hash_map<std::string, Bucket> buckets;
  for (const auto& [tenant, bucket] : buckets_) {
    Bucket& empty = buckets[tenant];
    empty.limits_.emplace(*bucket.limits_);
    empty.refilled_at_ = now;
  }
  buckets_.swap(buckets);
}

bool QuotaOwner::MayHoldUnreported(const Bucket& bucket,
                                   state::Millis now) const {
  return bucket.is_inherited_ && now < inherited_until_ &&
         (!unreported_.has_value() || !unreported_->empty());
}

void QuotaOwner::Refill(Bucket* bucket, state::Millis now) const {
  Expire(bucket, now);
  const double passed = (now - bucket->refilled_at_).value();
  bucket->refilled_at_ = now;
  bucket->level_ += bucket->limits_->rate_ * passed / kMillisPerSecond;
  LimitLevel(bucket, now);
}

void QuotaOwner::LimitLevel(Bucket* bucket, state::Millis now) const {
  const QuotaLimits& limits = *bucket->limits_;
  // The previous leader's invariant bounds the unreported tokens by the whole
  // cap.
  const double room =
      MayHoldUnreported(*bucket, now)
          ? std::min(1 + kUncertainSeconds * limits.rate_, limits.cap_)
          : std::max(limits.cap_ - bucket->held_, 0.0);
  bucket->level_ = std::min(bucket->level_, room);
}

void QuotaOwner::Expire(Bucket* bucket, state::Millis now) {
  if (now < bucket->next_expiry_) {
    return;
  }
  std::vector<std::string> expired;
  state::Millis next = now + kQuotaTokenLifetime;
  for (const auto& [daemon, holding] : bucket->holdings_) {
    if (now >= holding.expires_) {
      expired.push_back(daemon);
    } else {
      next = std::min(next, holding.expires_);
    }
  }
  bucket->next_expiry_ = next;
  // The tokens may have been spent without a report, so that the bucket does
  // not get them back.
  for (const std::string& daemon : expired) {
    RemoveHolding(daemon, bucket);
  }
}

void QuotaOwner::RemoveHolding(const std::string& daemon, Bucket* bucket) {
  const auto entry = bucket->holdings_.find(daemon);
  if (entry == bucket->holdings_.end()) {
    return;
  }
  bucket->held_ -= static_cast<double>(entry->second.Total());
  bucket->demand_ -= entry->second.demand_;
  bucket->holdings_.erase(entry);
  if (bucket->holdings_.empty()) {
    bucket->demand_ = 0;  // Without the error of the sums.
  }
}

std::optional<QuotaGrant> QuotaOwner::OnReport(const QuotaReport& report,
                                               state::Millis now) {
  Session& session = sessions_[report.instance_];
  const bool is_outdated = report.incarnation_ < session.incarnation_ ||
                           (report.incarnation_ == session.incarnation_ &&
                            report.number_ <= session.last_report_);
  if (is_outdated) {
    return std::nullopt;
  }
  if (report.incarnation_ > session.incarnation_) {
    // The process that held the earlier tokens has ended.
    for (auto& [tenant, bucket] : buckets_) {
      RemoveHolding(report.instance_, &bucket);
    }
    session.incarnation_ = report.incarnation_;
  }
  session.last_report_ = report.number_;
  if (unreported_.has_value()) {
    unreported_->erase(report.instance_);
  }
  const uint64_t number = ++session.last_grant_;
  std::vector<QuotaTokens> tokens;
  tokens.reserve(report.needs_.size());
  for (const QuotaNeed& need : report.needs_) {
    const auto bucket = buckets_.find(need.tenant_);
    // The daemon has not received the configuration that ended the limit.
    tokens.push_back(
        bucket == buckets_.end()
            ? QuotaTokens{.tenant_ = need.tenant_, .tokens_ = need.needed_}
            : Grant(report, need, number, &bucket->second, now));
  }
  return QuotaGrant{.is_owner_ = true,
                    .term_ = *term_,
                    .number_ = number,
                    .report_number_ = report.number_,
                    .tokens_ = tokens};
}

void QuotaOwner::Account(const QuotaReport& report,
                         const QuotaNeed& need,
                         Bucket* bucket,
                         Holding* holding,
                         bool is_new,
                         state::Millis now) const {
  const auto before = static_cast<double>(holding->Total());
  const bool is_own_term = report.term_ == *term_;
  std::vector<OpenGrant> still_open;
  for (const OpenGrant& grant : holding->open_) {
    const bool is_settled =
        (is_own_term && grant.number_ <= report.applied_grant_) ||
        grant.report_number_ < report.first_number_;
    if (!is_settled) {
      still_open.push_back(grant);
    }
  }
  holding->open_.swap(still_open);
  const double spent = is_new ? 0
                              : static_cast<double>(need.spent_) -
                                    static_cast<double>(holding->spent_);
  holding->held_ = need.held_;
  holding->spent_ = need.spent_;
  const auto after = static_cast<double>(holding->Total());
  bucket->held_ += after - before;
  // Tokens of the previous leader are not taken from the bucket, which has
  // never had them.
  const bool is_of_previous =
      is_new && bucket->is_inherited_ && now < inherited_until_;
  if (!is_of_previous) {
    bucket->level_ += before - after - spent;
  }
  bucket->spent_ += spent > 0 ? static_cast<uint64_t>(spent) : 0;
  if (!is_new && need.refused_ > holding->refused_) {
    bucket->refused_ += need.refused_ - holding->refused_;
  }
  holding->refused_ = need.refused_;
  bucket->demand_ += need.demand_ - holding->demand_;
  holding->demand_ = need.demand_;
  holding->expires_ = now + kQuotaTokenLifetime;
  bucket->next_expiry_ = std::min(bucket->next_expiry_, holding->expires_);
  LimitLevel(bucket, now);
}

QuotaTokens QuotaOwner::Grant(const QuotaReport& report,
                              const QuotaNeed& need,
                              uint64_t grant,
                              Bucket* bucket,
                              state::Millis now) const {
  Refill(bucket, now);
  const auto [entry, is_new] = bucket->holdings_.try_emplace(report.instance_);
  Holding& holding = entry->second;
  Account(report, need, bucket, &holding, is_new, now);

  const QuotaLimits& limits = *bucket->limits_;
  const uint64_t open = holding.OpenTokens();
  const uint64_t needed = need.needed_ > open ? need.needed_ - open : 0;
  const bool is_scarce = bucket->demand_ > limits.rate_;
  const double share =
      is_scarce ? std::min(1.0, kShareFactor * need.demand_ / bucket->demand_)
                : 1;
  // At least one, so that many daemons with a small share each use up the
  // bucket, too.
  const auto part = [share](double available) {
    return std::min(WholeTokens(available),
                    std::max<uint64_t>(WholeTokens(available * share), 1));
  };
  uint64_t tokens = std::min(needed, part(bucket->level_));
  const bool is_denied = tokens < needed;
  const uint64_t stock = need.held_ + open + tokens;
  if (!is_denied && need.goal_ > stock && !MayHoldUnreported(*bucket, now)) {
    const double spare =
        bucket->level_ - static_cast<double>(tokens) - limits.reserve_;
    tokens += std::min(need.goal_ - stock, part(spare));
  }
  if (tokens > 0) {
    holding.open_.push_back(OpenGrant{
        .number_ = grant, .report_number_ = report.number_, .tokens_ = tokens});
    bucket->held_ += static_cast<double>(tokens);
    bucket->level_ -= static_cast<double>(tokens);
  }
  if (!is_denied) {
    return QuotaTokens{.tenant_ = need.tenant_, .tokens_ = tokens};
  }
  const double own_part =
      need.demand_ > 0 ? std::max(bucket->demand_ / need.demand_, 1.0) : 1;
  const state::Millis interval(own_part * kMillisPerSecond / limits.rate_);
  return QuotaTokens{.tenant_ = need.tenant_,
                     .tokens_ = tokens,
                     .denied_for_ = std::clamp(
                         std::min(interval * 2, limits.report_interval_ * 2),
                         kMinDenial, kMaxDenial),
                     .token_interval_ = std::min(interval, kMaxTokenInterval)};
}

QuotaOwner::Level QuotaOwner::LevelOf(const std::string& tenant,
                                      state::Millis now) {
  const auto bucket = buckets_.find(tenant);
  if (bucket == buckets_.end()) {
    return Level();
  }
  Refill(&bucket->second, now);
  return Level{.in_bucket_ = bucket->second.level_,
               .held_ = bucket->second.held_};
}

std::vector<QuotaUse> QuotaOwner::Uses(state::Millis now) {
  std::vector<std::pair<double, std::string>> order;
  for (auto& [tenant, bucket] : buckets_) {
    Refill(&bucket, now);
    order.emplace_back(-bucket.demand_, tenant);
  }
  std::sort(order.begin(), order.end());
  std::vector<QuotaUse> uses;
  uses.reserve(order.size());
  for (const auto& [demand, tenant] : order) {
    const Bucket& bucket = buckets_.at(tenant);
    uses.push_back(QuotaUse{.tenant_ = tenant,
                            .rate_ = bucket.limits_->rate_,
                            .demand_ = bucket.demand_,
                            .available_ = std::max(bucket.level_, 0.0),
                            .spent_ = bucket.spent_,
                            .refused_ = bucket.refused_});
  }
  return uses;
}

}  // namespace gooseberrygap::coordination
