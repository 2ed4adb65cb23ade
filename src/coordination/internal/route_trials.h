#ifndef COORDINATION_INTERNAL_ROUTE_TRIALS_H_
#define COORDINATION_INTERNAL_ROUTE_TRIALS_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Calls that are sent although their answers are expected to come too late.
// Without them, a route whose last answers were slow would be refused without
// end, since only an answer tells that it is fast again. Not thread-safe.
class RouteTrials {
 public:
  // Records an answer on the route.
  void OnServed(const std::string& route, state::Millis now) {
    known_at_[route] = now;
  }
  // Returns whether a call of the route may be sent as a trial: the route has
  // had no answer and no trial for a time.
  bool Take(const std::string& route, state::Millis now) {
    const auto [entry, inserted] = known_at_.emplace(route, now);
    if (inserted || now - entry->second < kInterval) {
      return false;
    }
    entry->second = now;
    return true;
  }

  static constexpr state::Millis kInterval{1000};

 private:
  // When the route last had an answer or a trial.
  absl::flat_hash_map<std::string, state::Millis> known_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_ROUTE_TRIALS_H_
