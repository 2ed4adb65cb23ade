#ifndef COORDINATION_INTERNAL_WORK_QUEUE_H_
#define COORDINATION_INTERNAL_WORK_QUEUE_H_

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "coordination/internal/guard_work.h"

namespace gooseberrygap::coordination {

// Smoothed times that a target takes for the requests of each route, at the
// usual pace of its machine. Not thread-safe.
class ServiceTimes {
 public:
  void Add(const std::string& route, state::Millis time);
  // Returns the time of the route, or of all routes when the route is new.
  state::Millis For(const std::string& route) const;
  state::Millis mean() const { return all_.mean(); }

 private:
  std::map<std::string, LatencyEstimate> routes_;
  LatencyEstimate all_;
};

// The work that waits for a slot of the target. It answers to a load above the
// target's capacity: work that can still be answered within its objective goes
// first, by priority and then by arrival, and work that no longer can is given
// back, since it would only make other work late. Not thread-safe.
class WorkQueue {
 public:
  // `times` must outlive the queue.
  explicit WorkQueue(const ServiceTimes* times) : times_(times) {}

  void Push(const GuardWork& work) { works_.push_back(work); }
  size_t size() const { return works_.size(); }
  bool empty() const { return works_.empty(); }

  // Returns the work that should start next, or null.
  const GuardWork* Next(int pace, state::Millis now) const;
  // Removes and returns work that Next returned.
  GuardWork Take(const GuardWork* work);
  // Removes and returns the work that `matches` selects.
  std::vector<GuardWork> TakeIf(
      const std::function<bool(const GuardWork&)>& matches);
  // Removes and returns routed work that cannot be answered within its
  // objective any more.
  std::vector<GuardWork> TakeHopeless(int pace, state::Millis now);
  // Returns the time that one slot would need for all that waits.
  state::Millis TotalTime(int pace) const;

 private:
  bool IsInTime(const GuardWork& work, int pace, state::Millis now) const;

  const ServiceTimes* const times_;
  std::list<GuardWork> works_;  // By arrival.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_WORK_QUEUE_H_
