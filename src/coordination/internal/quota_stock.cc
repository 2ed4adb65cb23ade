#include "coordination/internal/quota_stock.h"

#include <algorithm>
#include <cmath>

namespace gooseberrygap::coordination {

namespace {

// Calls are counted with this decay. The stock that a daemon wants covers the
// demand of the same time.
constexpr state::Millis kDemandTime(2000);
constexpr double kMillisPerSecond = 1000;
// The part of that stock that is needed soon: the demand of 500 ms, in which a
// report is answered at the latest.
constexpr double kSoonPart = 0.25;
// A daemon keeps a token for a tenant for this time after its last call.
constexpr state::Millis kServedTime(10000);
// No two reports are sent within this time.
constexpr state::Millis kMinReportInterval(20);
// A report for waiting calls, or for a stock that runs low, is repeated after
// this time.
constexpr state::Millis kRepeatInterval(50);
constexpr state::Millis kLowStockInterval(100);
// Reports are sent at least this often while there is something to report.
constexpr state::Millis kReportInterval(500);
// Tokens are reported, and so renewed, when they would expire within this time;
// the longer one applies to reports that are sent anyway.
constexpr state::Millis kRenewBefore(1200);
constexpr state::Millis kRenewEarly(1700);
// Time after which an instance that does not own the quotas yet is notified
// again which tokens are held here.
constexpr state::Millis kOwnerRepeat(100);
// Time after which a stock is asked for again that was not granted.
constexpr state::Millis kGoalRepeat(5000);
constexpr state::Millis kMaxRetryAfter(5000);
constexpr state::Millis kMinRetryAfter(50);

}  // namespace

void QuotaStock::UpdateConfiguration(
    const state::Configuration& configuration) {
  const bool had_limits = has_limits();
  for (auto& [tenant, stock] : stocks_) {
    stock.limits_.reset();
  }
  limited_ = 0;
  for (const state::Shared<state::Tenant>& tenant : configuration.tenants_) {
    const QuotaLimits limits = QuotaLimitsOf(*tenant, policy_);
    if (limits.rate_ > 0) {
      stocks_[tenant->name_].limits_.emplace(limits);
      ++limited_;
    }
  }
  // The owner has to know that this daemon holds no tokens.
  owner_is_new_ = owner_is_new_ || (has_limits() && !had_limits);
}

QuotaStock::Decision QuotaStock::Take(const std::string& tenant,
                                      state::Millis now) {
  Stock* stock = Find(tenant);
  if (stock == nullptr) {
    return Decision::kTaken;
  }
  stock->recent_calls_ = RecentCalls(*stock, now) + 1;
  stock->counted_at_ = now;
  stock->served_at_ = now;
  return TakeFrom(stock, now);
}

QuotaStock::Decision QuotaStock::TakeAgain(const std::string& tenant,
                                           state::Millis now) {
  Stock* stock = Find(tenant);
  return stock == nullptr ? Decision::kTaken : TakeFrom(stock, now);
}

QuotaStock::Decision QuotaStock::TakeFrom(Stock* stock, state::Millis now) {
  Trim(stock, now);
  if (stock->held_ > 0) {
    --stock->held_;
    ++stock->spent_;
    return Decision::kTaken;
  }
  return stock->denied_until_.has_value() && now < *stock->denied_until_
             ? Decision::kDenied
             : Decision::kUnknown;
}

void QuotaStock::Refund(const std::string& tenant, state::Millis now) {
  const auto entry = stocks_.find(tenant);
  if (entry == stocks_.end() || entry->second.spent_ == 0) {
    return;
  }
  Stock& stock = entry->second;
  // The owner sees that the token was not spent. It goes to the stock only if
  // the owner still counts that.
  --stock.spent_;
  if (stock.limits_.has_value() && now < stock.expires_) {
    ++stock.held_;
  }
}

void QuotaStock::SetWaiting(const std::string& tenant, uint64_t calls) {
  Stock* stock = Find(tenant);
  if (stock != nullptr) {
    stock->has_new_waiting_ =
        calls > 0 && (stock->has_new_waiting_ || calls > stock->waiting_);
    stock->waiting_ = calls;
  }
}

state::Millis QuotaStock::RefuseCall(const std::string& tenant) {
  Stock* stock = Find(tenant);
  if (stock == nullptr) {
    return kMinRetryAfter;
  }
  ++stock->refused_;
  ++stock->refused_since_answer_;
  return std::clamp(stock->token_interval_ *
                        static_cast<double>(stock->refused_since_answer_),
                    kMinRetryAfter, kMaxRetryAfter);
}

void QuotaStock::SetOwner(const std::string& address) {
  if (address == owner_) {
    return;
  }
  owner_ = address;
  owner_is_new_ = true;
  first_report_ = next_report_;
}

double QuotaStock::RecentCalls(const Stock& stock, state::Millis now) {
  const double passed = (now - stock.counted_at_).value();
  return stock.recent_calls_ * std::exp(-passed / kDemandTime.value());
}

uint64_t QuotaStock::Goal(const Stock& stock, state::Millis now) {
  const bool is_served =
      stock.served_at_.has_value() && now - *stock.served_at_ < kServedTime;
  return is_served
             ? std::max<uint64_t>(
                   static_cast<uint64_t>(std::lround(RecentCalls(stock, now))),
                   1)
             : 0;
}

uint64_t QuotaStock::ExpectedSoon(const Stock& stock, state::Millis now) {
  return static_cast<uint64_t>(RecentCalls(stock, now) * kSoonPart);
}

void QuotaStock::Trim(Stock* stock, state::Millis now) {
  if (stock->held_ > 0 && now >= stock->expires_) {
    stock->held_ = 0;
  }
}

std::optional<state::Millis> QuotaStock::ReportDelay(const Stock& stock,
                                                     state::Millis now) {
  if (!stock.limits_.has_value()) {
    return std::nullopt;
  }
  if (stock.has_new_waiting_) {
    return kMinReportInterval;
  }
  const bool is_denied =
      stock.denied_until_.has_value() && now < *stock.denied_until_;
  const bool is_low = !is_denied && stock.held_ < ExpectedSoon(stock, now);
  if (stock.waiting_ > 0 || is_low) {
    return stock.waiting_ > 0 ? kRepeatInterval : kLowStockInterval;
  }
  if (stock.spent_ != stock.confirmed_spent_) {
    return std::min(stock.limits_->report_interval_, kReportInterval);
  }
  const bool expires_soon =
      stock.held_ > 0 && stock.expires_ - now < kRenewBefore;
  const bool has_returned =
      stock.held_ > Goal(stock, now) || stock.held_ < stock.confirmed_held_;
  return expires_soon || has_returned ? std::optional(kReportInterval)
                                      : std::nullopt;
}

bool QuotaStock::IsWorthReporting(const Stock& stock, state::Millis now) {
  const bool wants_stock = stock.limits_.has_value() &&
                           now >= stock.next_goal_at_ &&
                           stock.held_ < Goal(stock, now);
  return wants_stock || stock.spent_ != stock.confirmed_spent_ ||
         stock.held_ != stock.confirmed_held_ || stock.waiting_ > 0 ||
         (stock.held_ > 0 && stock.expires_ - now < kRenewEarly);
}

std::optional<QuotaReport> QuotaStock::TakeReport(uint64_t incarnation,
                                                  state::Millis now) {
  if (owner_.empty() || !has_limits()) {
    return std::nullopt;
  }
  const state::Millis passed =
      reported_at_.has_value() ? now - *reported_at_ : kReportInterval;
  if (passed < kMinReportInterval) {
    return std::nullopt;
  }
  bool is_due = owner_is_new_ && now >= owner_report_at_;
  for (auto& [tenant, stock] : stocks_) {
    Trim(&stock, now);
    const std::optional<state::Millis> delay = ReportDelay(stock, now);
    is_due = is_due || (delay.has_value() && passed >= *delay);
  }
  if (!is_due) {
    return std::nullopt;
  }
  std::vector<QuotaNeed> needs;
  for (auto& [tenant, stock] : stocks_) {
    if ((owner_is_new_ && stock.held_ > 0) || IsWorthReporting(stock, now)) {
      needs.push_back(Report(tenant, &stock, now));
    }
  }
  owner_is_new_ = false;
  reported_at_ = now;
  while (!sent_.empty() && now - sent_.front().at_ >= kQuotaTokenLifetime) {
    sent_.pop_front();
  }
  sent_.push_back(SentReport{.number_ = next_report_, .at_ = now});
  return QuotaReport{.instance_ = instance_,
                     .incarnation_ = incarnation,
                     .number_ = next_report_++,
                     .first_number_ = first_report_,
                     .term_ = term_,
                     .applied_grant_ = applied_grant_,
                     .needs_ = needs};
}

QuotaNeed QuotaStock::Report(const std::string& tenant,
                             Stock* stock,
                             state::Millis now) {
  const uint64_t goal = stock->limits_.has_value() ? Goal(*stock, now) : 0;
  // Tokens beyond the goal are returned by not being reported any more.
  stock->held_ = std::min(stock->held_, goal);
  const uint64_t soon = ExpectedSoon(*stock, now);
  const uint64_t wanted = stock->waiting_ + soon;
  stock->has_new_waiting_ = false;
  stock->next_goal_at_ = now + kGoalRepeat;
  stock->reported_in_ = next_report_;
  stock->reported_spent_ = stock->spent_;
  stock->reported_held_ = stock->held_;
  stock->reported_at_ = now;
  return QuotaNeed{.tenant_ = tenant,
                   .held_ = stock->held_,
                   .spent_ = stock->spent_,
                   .needed_ = wanted > stock->held_ ? wanted - stock->held_ : 0,
                   .goal_ = std::max(goal, stock->waiting_ + soon),
                   .demand_ = RecentCalls(*stock, now) * kMillisPerSecond /
                              kDemandTime.value(),
                   .refused_ = stock->refused_};
}

std::optional<state::Millis> QuotaStock::NextUrgentReport() const {
  if (owner_.empty() || !has_limits()) {
    return std::nullopt;
  }
  std::optional<state::Millis> due;
  const state::Millis last = reported_at_.value_or(state::Millis(0));
  for (const auto& [tenant, stock] : stocks_) {
    if (stock.waiting_ > 0) {
      const state::Millis at =
          last +
          (stock.has_new_waiting_ ? kMinReportInterval : kRepeatInterval);
      due = std::min(due.value_or(at), at);
    }
  }
  return due;
}

bool QuotaStock::OnGrant(const QuotaGrant& grant, state::Millis now) {
  const auto report =
      std::find_if(sent_.begin(), sent_.end(), [&](const SentReport& sent) {
        return sent.number_ == grant.report_number_;
      });
  const bool is_outdated =
      report == sent_.end() || grant.report_number_ < first_report_ ||
      (grant.is_owner_ &&
       (grant.term_ < term_ ||
        (grant.term_ == term_ && grant.number_ <= applied_grant_)));
  if (is_outdated || !grant.is_owner_) {
    owner_is_new_ = owner_is_new_ || !grant.is_owner_;
    owner_report_at_ = grant.is_owner_ ? owner_report_at_ : now + kOwnerRepeat;
    return false;
  }
  const state::Millis expires = report->at_ + kQuotaTokenLifetime;
  if (now >= expires) {
    return false;
  }
  term_ = grant.term_;
  applied_grant_ = grant.number_;
  last_grant_at_ = now;
  for (const QuotaTokens& tokens : grant.tokens_) {
    Stock* stock = Find(tokens.tenant_);
    if (stock == nullptr) {
      continue;
    }
    Trim(stock, now);
    stock->held_ += tokens.tokens_;
    stock->expires_ = std::max(stock->expires_, expires);
    stock->refused_since_answer_ = 0;
    stock->token_interval_ = tokens.token_interval_;
    stock->denied_until_.reset();
    if (tokens.denied_for_ > state::Millis(0)) {
      stock->denied_until_ = now + tokens.denied_for_;
    }
    if (stock->reported_in_ == grant.report_number_) {
      stock->confirmed_spent_ = stock->reported_spent_;
      stock->confirmed_held_ = stock->reported_held_;
    }
    stock->confirmed_held_ += tokens.tokens_;
  }
  return true;
}

uint64_t QuotaStock::Held(const std::string& tenant, state::Millis now) const {
  const Stock* stock = Find(tenant);
  return stock == nullptr || now >= stock->expires_ ? 0 : stock->held_;
}

}  // namespace gooseberrygap::coordination
