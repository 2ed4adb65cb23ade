#ifndef COORDINATION_TESTS_QUOTA_CLUSTER_H_
#define COORDINATION_TESTS_QUOTA_CLUSTER_H_

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/internal/quota_owner.h"
#include "coordination/internal/quota_stock.h"

namespace gooseberrygap::coordination {

inline state::Configuration QuotaConfiguration(
    const std::vector<state::Tenant>& tenants) {
  std::vector<state::Shared<state::Tenant>> shared;
  for (const state::Tenant& tenant : tenants) {
    shared.emplace_back(tenant);
  }
  return state::Configuration{.version_ = 1, .tenants_ = shared};
}

// Daemons with their stocks and one owner at a time, with a manual clock and
// messages that take time and may be lost.
class QuotaCluster {
 public:
  QuotaCluster(size_t daemons,
               const std::vector<state::Tenant>& tenants,
               uint32_t seed)
      : configuration_(QuotaConfiguration(tenants)), random_(seed) {
    for (size_t i = 0; i < daemons; ++i) {
      stocks_.push_back(
          std::make_unique<QuotaStock>("d" + std::to_string(i), policy_));
      stocks_.back()->UpdateConfiguration(configuration_);
      stocks_.back()->SetOwner("leader-1");
    }
    partitioned_.resize(daemons);
    waiting_.resize(daemons);
    owner_ = std::make_unique<QuotaOwner>(policy_);
    owner_->Start(1, std::set<std::string>(), now_);
    owner_->UpdateConfiguration(configuration_,
                                QuotaOwner::NewTenants::kHoldNoTokens, now_);
    Run(600);
  }

  // A new leader that knows all daemons; the old one grants nothing more.
  void ChangeLeader() {
    ++term_;
    std::set<std::string> daemons;
    for (size_t i = 0; i < stocks_.size(); ++i) {
      daemons.insert("d" + std::to_string(i));
      stocks_[i]->SetOwner("leader-" + std::to_string(term_));
    }
    owner_ = std::make_unique<QuotaOwner>(policy_);
    owner_->UpdateConfiguration(configuration_,
                                QuotaOwner::NewTenants::kMayHoldTokens, now_);
    owner_->Start(term_, daemons, now_);
  }

  // A caller's call at a daemon, which is run, held or refused.
  void Call(size_t daemon, const std::string& tenant) {
    ++calls_;
    Decide(daemon, tenant, now_, stocks_[daemon]->Take(tenant, now_));
  }

  void Run(double milliseconds) {
    const state::Millis end = now_ + state::Millis(milliseconds);
    while (now_ < end) {
      now_ = now_ + state::Millis(2);
      Deliver();
      for (size_t i = 0; i < stocks_.size(); ++i) {
        Retry(i);
        Report(i);
      }
    }
  }

  // Returns the highest number of calls that ran in any window of that length.
  size_t MostIn(double window) const {
    size_t most = 0;
    size_t first = 0;
    for (size_t i = 0; i < ran_at_.size(); ++i) {
      while (ran_at_[i] - ran_at_[first] >= window) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
    return most;
  }
  size_t ran() const { return ran_at_.size(); }
  size_t RanSince(double time) const {
    return ran_at_.end() -
           std::lower_bound(ran_at_.begin(), ran_at_.end(), time);
  }
  double Time() const { return now_.value(); }

  const QuotaPolicy policy_;
  const state::Configuration configuration_;
  std::mt19937 random_;
  state::Millis now_;
  uint64_t term_ = 1;
  double loss_ = 0;
  double delay_ = 12;  // One way, at most.
  std::vector<std::unique_ptr<QuotaStock>> stocks_;
  std::unique_ptr<QuotaOwner> owner_;
  std::vector<bool> partitioned_;
  size_t calls_ = 0;
  size_t exceeded_ = 0;     // Refused with kQuotaExceeded.
  size_t unavailable_ = 0;  // Refused with kQuotaUnavailable.
  size_t waited_ = 0;       // Calls that ran, but had to wait.
  size_t reports_ = 0;
  size_t needs_ = 0;
  double longest_wait_ = 0;

 private:
  struct Waiting {
    std::string tenant_;
    state::Millis since_;
  };

  void Decide(size_t daemon,
              const std::string& tenant,
              state::Millis since,
              QuotaStock::Decision decision) {
    const double waited = (now_ - since).value();
    if (decision == QuotaStock::Decision::kTaken) {
      ran_at_.push_back(now_.value());
      waited_ += waited > 0 ? 1 : 0;
      longest_wait_ = std::max(longest_wait_, waited);
    } else if (decision == QuotaStock::Decision::kDenied) {
      ++exceeded_;
      stocks_[daemon]->RefuseCall(tenant);
    } else if (waited >= 100) {
      ++unavailable_;
    } else {
      waiting_[daemon].push_back({.tenant_ = tenant, .since_ = since});
    }
  }
  void Retry(size_t daemon) {
    std::vector<Waiting> waiting;
    waiting.swap(waiting_[daemon]);
    for (const Waiting& call : waiting) {
      Decide(daemon, call.tenant_, call.since_,
             stocks_[daemon]->TakeAgain(call.tenant_, now_));
    }
    std::map<std::string, uint64_t> counts;
    for (const Waiting& call : waiting) {
      counts[call.tenant_] = 0;
    }
    for (const Waiting& call : waiting_[daemon]) {
      ++counts[call.tenant_];
    }
    for (const auto& [tenant, count] : counts) {
      stocks_[daemon]->SetWaiting(tenant, count);
    }
  }
  void Report(size_t daemon) {
    const auto report = stocks_[daemon]->TakeReport(1, now_);
    if (report.has_value()) {
      ++reports_;
      needs_ += report->needs_.size();
      if (IsDelivered(daemon)) {
        reports_in_flight_.emplace(Arrival(), std::pair(daemon, *report));
      }
    }
  }
  void Deliver() {
    while (!reports_in_flight_.empty() &&
           reports_in_flight_.begin()->first <= now_.value()) {
      const auto [daemon, report] = reports_in_flight_.begin()->second;
      reports_in_flight_.erase(reports_in_flight_.begin());
      if (!owner_->MayGrant(now_)) {
        continue;
      }
      const auto grant = owner_->OnReport(report, now_);
      if (grant.has_value() && IsDelivered(daemon)) {
        grants_in_flight_.emplace(Arrival(), std::pair(daemon, *grant));
      }
    }
    while (!grants_in_flight_.empty() &&
           grants_in_flight_.begin()->first <= now_.value()) {
      const auto [daemon, grant] = grants_in_flight_.begin()->second;
      grants_in_flight_.erase(grants_in_flight_.begin());
      stocks_[daemon]->OnGrant(grant, now_);
    }
  }
  bool IsDelivered(size_t daemon) {
    return !partitioned_[daemon] &&
           std::uniform_real_distribution<>(0, 1)(random_) >= loss_;
  }
  double Arrival() {
    return now_.value() +
           std::uniform_real_distribution<>(0.2, delay_)(random_);
  }

  std::vector<std::vector<Waiting>> waiting_;
  std::multimap<double, std::pair<size_t, QuotaReport>> reports_in_flight_;
  std::multimap<double, std::pair<size_t, QuotaGrant>> grants_in_flight_;
  std::vector<double> ran_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_TESTS_QUOTA_CLUSTER_H_
