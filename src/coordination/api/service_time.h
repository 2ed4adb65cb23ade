#ifndef COORDINATION_API_SERVICE_TIME_H_
#define COORDINATION_API_SERVICE_TIME_H_

#include <algorithm>

#include "state/state.h"

namespace gooseberrygap::coordination {

// The current service time of a target is given in percent of the time that the
// same work usually takes on its machine; 0 means unknown.
inline constexpr int kUsualServiceTimePercent = 100;
// From this percentage on a target counts as slow: work that another target
// could start is not started on it, and lookups that it has just started are
// sent to another target too. The limit detects neighbours that occupy the
// machine for half a second, which makes work of 160 ms miss an objective of
// 500 ms. It lies above the 200 percent of a target that has just started,
// which still meets the objective: after a power loss all targets of a service
// are in that state, and a lower limit would leave none to serve its calls.
inline constexpr int kSlowServiceTimePercent = 250;

// Returns whether a target with this service time counts as slow. An unknown
// service time does not.
constexpr bool IsSlowServiceTime(int percent) {
  return percent >= kSlowServiceTimePercent;
}

// Up to this percentage the service time counts as usual.
inline constexpr int kMaxUsualServiceTimePercent = 125;

// Returns whether the service time counts as usual. An unknown one does.
constexpr bool IsUsualServiceTime(int percent) {
  return percent <= kMaxUsualServiceTimePercent;
}

// Fraction of the deadline within which an answer is still useful, also after
// the objective has passed: a call that another request waits for has a short
// objective, and refusing it makes that request fail.
inline constexpr double kUsefulDeadlineFraction = 0.5;

// Returns how long an answer remains useful to its caller.
inline state::Millis UsefulTime(state::Millis objective_left,
                                state::Millis deadline_left) {
  return std::max(objective_left, deadline_left * kUsefulDeadlineFraction);
}

// Mean duration of a slow period of a machine. Work that lasts longer continues
// at its usual speed.
inline constexpr state::Millis kMeanSlowPeriod(400);

// Returns the expected service time of work that usually takes `usual`, on a
// target whose current service time is `percent`.
inline state::Millis ExpectedServiceTime(state::Millis usual, int percent) {
  if (percent <= kUsualServiceTimePercent) {
    return usual;
  }
  return std::min(
      usual * (static_cast<double>(percent) / kUsualServiceTimePercent),
      usual + kMeanSlowPeriod);
}

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_SERVICE_TIME_H_
