#ifndef COORDINATION_API_SERVICE_TIME_H_
#define COORDINATION_API_SERVICE_TIME_H_

#include <algorithm>

#include "state/state.h"

namespace gooseberrygap::coordination {

// How long work takes on a target's machine, in percent of the usual time.
inline constexpr int kUsualServiceTimePercent = 100;
// From here on a target counts as slow: work that another one could start is
// not started on it, and lookups that it has just begun are sent elsewhere too.
// It answers to neighbours that take a machine away for half a second, during
// which work of 160 ms misses an objective of 500 ms. A target that has just
// started takes twice the usual time and still meets it; after a loss of power
// all targets of a service are so, and nothing would be served.
inline constexpr int kSlowServiceTimePercent = 250;

// Returns whether a target that tells this pace counts as slow; 0 is unknown.
constexpr bool IsSlowServiceTime(int pace) {
  return pace >= kSlowServiceTimePercent;
}

// Up to here work takes its usual time.
inline constexpr int kMaxUsualServiceTimePercent = 125;

// Returns whether work takes its usual time at this pace; 0 is unknown.
constexpr bool IsUsualServiceTime(int pace) {
  return pace <= kMaxUsualServiceTimePercent;
}

// An answer is still of use within this share of the deadline, also beyond the
// objective: a call that another request waits for has a short objective, and
// its refusal fails that request.
inline constexpr double kUsefulShare = 0.5;

// Returns how long an answer is of use to its caller.
inline state::Millis UsefulTime(state::Millis objective_left,
                                state::Millis deadline_left) {
  return std::max(objective_left, deadline_left * kUsefulShare);
}

// How long a machine stays slow on average. Work that outlasts the time goes on
// at the usual pace.
inline constexpr state::Millis kSlowTime(400);

// Returns how long work takes that needs `usual` at the usual pace.
inline state::Millis ExpectedServiceTime(state::Millis usual, int pace) {
  if (pace <= kUsualServiceTimePercent) {
    return usual;
  }
  return std::min(
      usual * (static_cast<double>(pace) / kUsualServiceTimePercent),
      usual + kSlowTime);
}

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_SERVICE_TIME_H_
