#ifndef COORDINATION_INTERNAL_QUOTA_STOCK_H_
#define COORDINATION_INTERNAL_QUOTA_STOCK_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "coordination/coordination.h"
#include "coordination/internal/quota_limits.h"

namespace gooseberrygap::coordination {

// A daemon's tokens of all tenants with a rate: spends them, and decides what
// to report to the owner and when. Not thread-safe.
class QuotaStock {
 public:
  QuotaStock(std::string instance, const QuotaPolicy& policy)
      : instance_(std::move(instance)), policy_(policy) {}

  // Replaces the tenants by those of a checked configuration.
  void UpdateConfiguration(const state::Configuration& configuration);
  // Returns whether a tenant has a rate. Without one there are no reports.
  bool has_limits() const { return limited_ > 0; }
  bool IsLimited(const std::string& tenant) const {
    return Find(tenant) != nullptr;
  }

  enum class Decision {
    kTaken,    // A token was spent, or the tenant has no limit.
    kDenied,   // A recent answer of the owner left no token.
    kUnknown,  // No token here; the owner has to be asked.
  };
  // Decides on a call that was received now.
  Decision Take(const std::string& tenant, state::Millis now);
  // The same for a call that has waited, which was counted when received.
  Decision TakeAgain(const std::string& tenant, state::Millis now);
  // Gives the token of a call back that was not run.
  void Refund(const std::string& tenant, state::Millis now);
  // Sets the number of calls that wait for a token of the tenant.
  void SetWaiting(const std::string& tenant, uint64_t calls);
  // Counts a refused call, and returns when its caller should retry: refused
  // callers get one expected token after the other.
  state::Millis RefuseCall(const std::string& tenant);

  // Sets the address of the owner; empty while it is unknown. A new owner gets
  // a report at once, which tells it the tokens held here.
  void SetOwner(const std::string& address);
  const std::string& owner() const { return owner_; }
  // Returns the report that is due, if any; it counts as sent. `incarnation` is
  // the one of the daemon's lease, which is raised if another process has used
  // the daemon's name with a higher one.
  std::optional<QuotaReport> TakeReport(uint64_t incarnation,
                                        state::Millis now);
  // Returns when TakeReport is next due because of waiting calls, if any wait.
  std::optional<state::Millis> NextUrgentReport() const;
  // Applies a grant from the owner; returns whether it was not outdated.
  bool OnGrant(const QuotaGrant& grant, state::Millis now);

  // Returns the tokens of the tenant that may be used now.
  uint64_t Held(const std::string& tenant, state::Millis now) const;
  // Returns when the last grant was applied, if any was.
  std::optional<state::Millis> last_grant_at() const { return last_grant_at_; }

 private:
  struct Stock {
    // Absent for a tenant without a limit now, whose count of spent tokens is
    // kept for the owner.
    std::optional<QuotaLimits> limits_;
    uint64_t held_ = 0;
    state::Millis expires_;
    uint64_t spent_ = 0;
    uint64_t refused_ = 0;
    uint64_t waiting_ = 0;
    bool has_new_waiting_ = false;  // Since the last report.
    // Decaying number of calls, see kDemandTime.
    double recent_calls_ = 0;
    state::Millis counted_at_;
    std::optional<state::Millis> served_at_;
    std::optional<state::Millis> denied_until_;
    state::Millis token_interval_;
    uint64_t refused_since_answer_ = 0;
    // The last report that contained the tenant, and its values.
    uint64_t reported_in_ = 0;
    uint64_t reported_spent_ = 0;
    uint64_t reported_held_ = 0;
    state::Millis reported_at_;
    // The values that an answer has confirmed.
    uint64_t confirmed_spent_ = 0;
    uint64_t confirmed_held_ = 0;
    // Until when no stock is asked for beyond what calls need.
    state::Millis next_goal_at_;
  };
  struct SentReport {
    const uint64_t number_ = 0;
    const state::Millis at_;
  };

  // Returns the stock of a tenant with a limit, or null. `Stocks` is the type
  // of `stocks_`, constant or not.
  template <class Stocks>
  static auto FindIn(Stocks* stocks, const std::string& tenant) {
    const auto entry = stocks->find(tenant);
    return entry == stocks->end() || !entry->second.limits_.has_value()
               ? nullptr
               : &entry->second;
  }
  const Stock* Find(const std::string& tenant) const {
    return FindIn(&stocks_, tenant);
  }
  Stock* Find(const std::string& tenant) { return FindIn(&stocks_, tenant); }
  Decision TakeFrom(Stock* stock, state::Millis now);
  // Removes the tokens that have expired or exceed what is wanted.
  static void Trim(Stock* stock, state::Millis now);
  static double RecentCalls(const Stock& stock, state::Millis now);
  static uint64_t Goal(const Stock& stock, state::Millis now);
  // Returns the tokens that calls need soon, apart from those that wait.
  static uint64_t ExpectedSoon(const Stock& stock, state::Millis now);
  // Returns the time from the last report after which the tenant should be in
  // the next one, or nothing.
  static std::optional<state::Millis> ReportDelay(const Stock& stock,
                                                  state::Millis now);
  // Returns whether a report for other reasons should contain the tenant.
  static bool IsWorthReporting(const Stock& stock, state::Millis now);
  QuotaNeed Report(const std::string& tenant, Stock* stock, state::Millis now);

  const std::string instance_;
  const QuotaPolicy policy_;
  absl::flat_hash_map<std::string, Stock> stocks_;  // By tenant.
  size_t limited_ = 0;                              // Stocks with limits.
  std::string owner_;
  bool owner_is_new_ = false;
  // No report is sent only because the owner is new before this time.
  state::Millis owner_report_at_;
  uint64_t next_report_ = 1;
  uint64_t first_report_ = 1;  // To the present owner.
  std::optional<state::Millis> reported_at_;
  std::deque<SentReport> sent_;
  uint64_t term_ = 0;
  uint64_t applied_grant_ = 0;
  std::optional<state::Millis> last_grant_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_QUOTA_STOCK_H_
