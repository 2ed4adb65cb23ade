#ifndef COORDINATION_INTERNAL_SPLIT_CHOICE_H_
#define COORDINATION_INTERNAL_SPLIT_CHOICE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// Chooses among a route's destinations so that each gets its part of the calls
// as evenly as possible: the one that is furthest behind its weight is next.
// Not thread-safe.
class SplitChoice {
 public:
  // Returns the service for the next call. Precondition: the route has a
  // destination.
  const std::string& Choose(const state::Route& route) {
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

  // Forgets the routes that a new configuration changes or removes.
  void Reset() { credits_.clear(); }

 private:
  // By route and service: calls owed, at most one.
  std::map<std::string, std::map<std::string, double>> credits_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SPLIT_CHOICE_H_
