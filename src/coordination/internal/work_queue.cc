#include "coordination/internal/work_queue.h"

#include <tuple>
#include <utility>

#include "coordination/api/service_time.h"

namespace gooseberrygap::coordination {

bool WorkQueue::MeetsObjective(const GuardWork& work,
                               int percent,
                               state::Millis now) const {
  const state::Millis time =
      ExpectedServiceTime(times_->For(work.attempt_.route_), percent);
  return now + time <= work.objective_;
}

const GuardWork* WorkQueue::Next(int percent, state::Millis now) const {
  const GuardWork* best = nullptr;
  std::tuple<bool, int, int> best_rank;
  for (const GuardWork& work : works_) {
    const std::tuple<bool, int, int> rank(!MeetsObjective(work, percent, now),
                                          work.attempt_.tenant_priority_,
                                          work.attempt_.priority_);
    if (best == nullptr || rank < best_rank) {
      best = &work;
      best_rank = rank;
    }
  }
  return best;
}

GuardWork WorkQueue::Take(const GuardWork* work) {
  for (auto entry = works_.begin(); entry != works_.end(); ++entry) {
    if (&*entry == work) {
      GuardWork taken = *entry;
      works_.erase(entry);
      return taken;
    }
  }
  return GuardWork();
}

std::vector<GuardWork> WorkQueue::TakeIf(
    const std::function<bool(const GuardWork&)>& matches) {
  std::vector<GuardWork> taken;
  for (auto entry = works_.begin(); entry != works_.end();) {
    if (!matches(*entry)) {
      ++entry;
      continue;
    }
    taken.push_back(*entry);
    entry = works_.erase(entry);
  }
  return taken;
}

std::vector<GuardWork> WorkQueue::TakeMissedObjectives(int percent,
                                                       state::Millis now) {
  return TakeIf([&](const GuardWork& work) {
    return !work.attempt_.host_.empty() && !MeetsObjective(work, percent, now);
  });
}

state::Millis WorkQueue::TotalTime(int percent) const {
  state::Millis total;
  for (const GuardWork& work : works_) {
    total =
        total + ExpectedServiceTime(times_->For(work.attempt_.route_), percent);
  }
  return total;
}

}  // namespace gooseberrygap::coordination
