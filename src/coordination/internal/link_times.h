#ifndef COORDINATION_INTERNAL_LINK_TIMES_H_
#define COORDINATION_INTERNAL_LINK_TIMES_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/match.h"
#include "coordination/api/strategy.h"

namespace gooseberrygap::coordination {

// Round-trip times between this daemon and the failure domains of targets,
// learned from answers: the time from sending an attempt to its answer, less
// the time at the guard. Not thread-safe.
class LinkTimes {
 public:
  // `self` gives this daemon's region and failure domain.
  explicit LinkTimes(const state::TargetRecord& self)
      : region_(self.region_), failure_domain_(self.failure_domain_) {}

  // Records the round trip of one attempt. It includes the time to connect and
  // to transmit, so that a shorter one counts more than a longer one.
  void Add(const state::TargetRecord& target, state::Millis round_trip) {
    const double sample = std::max(0.0, round_trip.value());
    const auto [entry, inserted] = domains_.emplace(Key(target), sample);
    double& known = entry->second;
    known +=
        (sample < known ? kShorterWeight : kLongerWeight) * (sample - known);
  }

  // Returns the round trip to the target's guard; the shortest one to its
  // region while none to its failure domain is known, and a usual one while
  // none to the region is known.
  state::Millis For(const state::TargetRecord& target) const {
    const auto entry = domains_.find(Key(target));
    if (entry != domains_.end()) {
      return state::Millis(entry->second);
    }
    const std::string region = target.region_ + kSeparator;
    std::optional<double> shortest;
    for (auto known = domains_.lower_bound(region);
         known != domains_.end() && absl::StartsWith(known->first, region);
         ++known) {
      shortest = std::min(shortest.value_or(known->second), known->second);
    }
    const bool is_usable = target.region_ != region_ && shortest.has_value();
    return is_usable ? state::Millis(*shortest) : DefaultFor(target);
  }

  // Returns how far the target is.
  LinkClass ClassOf(const state::TargetRecord& target) const {
    if (target.region_ != region_) {
      return LinkClass::kCrossRegion;
    }
    return target.failure_domain_ == failure_domain_ ? LinkClass::kDomain
                                                     : LinkClass::kRegion;
  }

 private:
  static constexpr char kSeparator = '\n';
  static constexpr double kShorterWeight = 0.5;
  static constexpr double kLongerWeight = 0.05;

  static std::string Key(const state::TargetRecord& target) {
    return target.region_ + kSeparator + target.failure_domain_;
  }

  state::Millis DefaultFor(const state::TargetRecord& target) const {
    constexpr state::Millis kRoundTrips[] = {state::Millis(0), state::Millis(2),
                                             state::Millis(24)};
    return kRoundTrips[static_cast<size_t>(ClassOf(target))];
  }

  const std::string region_;
  const std::string failure_domain_;
  std::map<std::string, double> domains_;  // In ms.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_LINK_TIMES_H_
