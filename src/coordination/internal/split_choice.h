#ifndef COORDINATION_INTERNAL_SPLIT_CHOICE_H_
#define COORDINATION_INTERNAL_SPLIT_CHOICE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// Chooses among a route's destinations so that calls are distributed by weight
// as evenly as possible: the destination furthest below its weight gets the
// next call. Not thread-safe.
class SplitChoice {
 public:
  // Returns the service for the next call; an empty name for a route without
  // destinations.
  std::string Choose(const state::Route& route) {
    if (route.destinations_.empty()) {
      return {};
    }
    if (route.destinations_.size() == 1) {
      return route.destinations_.front().service_;
    }
    std::map<std::string, double>& credits = credits_[route.name_];
    double total = 0;
    for (const state::Destination& destination : route.destinations_) {
      total += destination.weight_;
    }
    const state::Destination* chosen = nullptr;
    for (const state::Destination& destination : route.destinations_) {
      double& credit = credits[destination.service_];
      credit += total > 0 ? destination.weight_ / total : 0;
      if (chosen == nullptr || credit > credits[chosen->service_]) {
        chosen = &destination;
      }
    }
    credits[chosen->service_] -= 1;
    return chosen->service_;
  }

  // Restarts the distribution of all routes, since a new configuration may have
  // changed or removed them.
  void Reset() { credits_.clear(); }

 private:
  // Calls by which each service is below its weight, at most one, by route and
  // service.
  std::map<std::string, std::map<std::string, double>> credits_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SPLIT_CHOICE_H_
