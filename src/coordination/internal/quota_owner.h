#ifndef COORDINATION_INTERNAL_QUOTA_OWNER_H_
#define COORDINATION_INTERNAL_QUOTA_OWNER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/coordination.h"
#include "coordination/internal/quota_limits.h"

namespace gooseberrygap::coordination {

// The token buckets of all tenants with a rate, at the leader of the control
// group. For each tenant, the tokens in its bucket and those that daemons may
// hold are at most `QuotaLimits::cap_` together. Not thread-safe.
class QuotaOwner {
 public:
  explicit QuotaOwner(const QuotaPolicy& policy) : policy_(policy) {}

  // Whether another leader may have granted tokens of a tenant that this owner
  // sees for the first time. If none can have, its bucket starts full.
  enum class NewTenants { kMayHoldTokens, kHoldNoTokens };
  // Replaces the tenants by those of a checked configuration.
  void UpdateConfiguration(const state::Configuration& configuration,
                           NewTenants new_tenants,
                           state::Millis now);

  // Begins a leadership, at the election, with empty buckets. `daemons` are the
  // instances that may hold tokens of the previous leader; nothing if they are
  // not all known.
  void Start(uint64_t term,
             const std::optional<std::set<std::string>>& daemons,
             state::Millis now);
  // Ends the leadership: OnReport may not be called until Start.
  void Stop() { term_.reset(); }
  // Returns the term of the leadership that has begun, if any.
  std::optional<uint64_t> term() const { return term_; }
  // Returns whether the authority of an earlier leader has ended, so that this
  // one may grant tokens.
  bool MayGrant(state::Millis now) const {
    return term_.has_value() && now >= grants_from_;
  }

  // Returns the answer to a report, or nothing for an outdated one.
  // Precondition: MayGrant, and this leader's own authority has not ended.
  std::optional<QuotaGrant> OnReport(const QuotaReport& report,
                                     state::Millis now);

  // Tokens of one tenant, for metrics and tests.
  struct Level {
    const double in_bucket_ = 0;
    const double held_ = 0;

    friend bool operator==(const Level&, const Level&) = default;
  };
  Level LevelOf(const std::string& tenant, state::Millis now);

  // Returns all tenants with a rate, those with the highest demand first.
  std::vector<QuotaUse> Uses(state::Millis now);

 private:
  // A grant that the daemon has not confirmed.
  struct OpenGrant {
    const uint64_t number_ = 0;
    const uint64_t report_number_ = 0;
    const uint64_t tokens_ = 0;
  };
  // What a daemon may hold of a tenant's tokens.
  struct Holding {
    uint64_t held_ = 0;  // According to its last report.
    std::vector<OpenGrant> open_;
    uint64_t spent_ = 0;
    uint64_t refused_ = 0;
    double demand_ = 0;
    state::Millis expires_;

    uint64_t OpenTokens() const;
    uint64_t Total() const { return held_ + OpenTokens(); }
  };
  struct Bucket {
    // Replaced as a whole when the configuration changes.
    std::optional<QuotaLimits> limits_;
    // A previous leader may have granted tokens.
    bool is_inherited_ = true;
    double level_ = 0;
    state::Millis refilled_at_;
    double held_ = 0;    // Sum over `holdings_`.
    double demand_ = 0;  // Sum over `holdings_`.
    uint64_t spent_ = 0;
    uint64_t refused_ = 0;
    state::Millis next_expiry_;
    absl::flat_hash_map<std::string, Holding> holdings_;  // By daemon.
  };
  struct Session {
    uint64_t incarnation_ = 0;
    uint64_t last_report_ = 0;
    uint64_t last_grant_ = 0;
  };

  // Returns whether daemons may hold tokens of the previous leader that they
  // have not reported.
  bool MayHoldUnreported(const Bucket& bucket, state::Millis now) const;
  void Refill(Bucket* bucket, state::Millis now) const;
  static void Expire(Bucket* bucket, state::Millis now);
  void LimitLevel(Bucket* bucket, state::Millis now) const;
  static void RemoveHolding(const std::string& daemon, Bucket* bucket);
  // Takes over what the report says of the daemon's tokens.
  void Account(const QuotaReport& report,
               const QuotaNeed& need,
               Bucket* bucket,
               Holding* holding,
               bool is_new,
               state::Millis now) const;
  QuotaTokens Grant(const QuotaReport& report,
                    const QuotaNeed& need,
                    uint64_t grant,
                    Bucket* bucket,
                    state::Millis now) const;

  const QuotaPolicy policy_;
  std::optional<uint64_t> term_;
  // Daemons that may hold tokens of the previous leader, and until when.
  std::optional<std::set<std::string>> unreported_;
  state::Millis grants_from_;
  state::Millis inherited_until_;
  absl::flat_hash_map<std::string, Bucket> buckets_;    // By tenant.
  absl::flat_hash_map<std::string, Session> sessions_;  // By daemon.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_QUOTA_OWNER_H_
