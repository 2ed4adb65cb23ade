#ifndef COORDINATION_INTERNAL_WORK_QUEUE_H_
#define COORDINATION_INTERNAL_WORK_QUEUE_H_

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "coordination/internal/guard_work.h"
#include "coordination/internal/service_times.h"

namespace gooseberrygap::coordination {

// Work that waits for a slot of the target. Under a load above the target's
// capacity, work that can still be answered within its objective starts first,
// by the priority of the tenant, that of the route and then by arrival, and
// work that no longer can is to be refused, since it would only delay other
// work. `percent` is the current service time of the target. Not thread-safe.
class WorkQueue {
 public:
  // `times` must outlive the queue.
  explicit WorkQueue(const ServiceTimes* times) : times_(times) {}

  void Push(const GuardWork& work) { works_.push_back(work); }
  size_t size() const { return works_.size(); }
  bool empty() const { return works_.empty(); }

  // Returns whether `matches` selects any work.
  bool Contains(const std::function<bool(const GuardWork&)>& matches) const {
    return std::any_of(works_.begin(), works_.end(), matches);
  }
  // Returns all waiting work, by arrival. Valid until the next change.
  const std::list<GuardWork>& works() const { return works_; }
  // Returns the work that should start next, or null.
  const GuardWork* Next(int percent, state::Millis now) const;
  // Removes and returns work that Next returned.
  GuardWork Take(const GuardWork* work);
  // Removes and returns the work that `matches` selects.
  std::vector<GuardWork> TakeIf(
      const std::function<bool(const GuardWork&)>& matches);
  // Removes and returns routed work that can no longer be answered within its
  // objective.
  std::vector<GuardWork> TakeMissedObjectives(int percent, state::Millis now);
  // Returns the time that all waiting work would take on one slot.
  state::Millis TotalTime(int percent) const;

 private:
  bool MeetsObjective(const GuardWork& work,
                      int percent,
                      state::Millis now) const;

  const ServiceTimes* const times_;
  std::list<GuardWork> works_;  // By arrival.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_WORK_QUEUE_H_
