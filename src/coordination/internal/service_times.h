#ifndef COORDINATION_INTERNAL_SERVICE_TIMES_H_
#define COORDINATION_INTERNAL_SERVICE_TIMES_H_

#include <map>
#include <string>

#include "coordination/internal/guard_work.h"

namespace gooseberrygap::coordination {

// Smoothed usual service times of a target for each route. Times are recorded
// while work takes its usual time there, and in addition, until the first of
// these, while the machine has another known speed: a target that is cold after
// its start would otherwise admit any number of requests. Not thread-safe.
class ServiceTimes {
 public:
  // Records a time that was measured at the usual speed.
  void Add(const std::string& route, state::Millis time);
  // Records a time that was measured while work took `percent` of its usual
  // time. Precondition: `percent` is above 0.
  void AddAtSpeed(const std::string& route, state::Millis time, int percent);
  // Returns the mean of the route, or of all routes while the route has none.
  state::Millis For(const std::string& route) const;
  state::Millis mean() const;
  // Returns the mean of the route, or 0 while it has none.
  state::Millis ForRoute(const std::string& route) const;

 private:
  struct Estimates {
    std::map<std::string, LatencyEstimate> routes_;
    LatencyEstimate all_;

    void Add(const std::string& route, state::Millis time);
    // Both return 0 without a sample.
    state::Millis For(const std::string& route) const;
    state::Millis ForRoute(const std::string& route) const;
  };

  Estimates usual_;
  Estimates converted_;  // Measured at other speeds.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SERVICE_TIMES_H_
