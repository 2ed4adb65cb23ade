#ifndef COORDINATION_INTERNAL_GUARD_WORK_H_
#define COORDINATION_INTERNAL_GUARD_WORK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// An attempt that the guard has admitted.
struct GuardWork {
  const std::string connection_ = {};
  const Attempt attempt_ = {};
  const state::Millis arrival_ = {};
  const state::Millis deadline_ = {};
  // Time from which the API key of the call is not known to be valid.
  const std::optional<state::Millis> authorized_until_ = {};
  // Time until which an answer is useful to the caller.
  const state::Millis objective_ = {};
  const bool run_alone_ = false;

  // Returns why the work must not be started any more, or kNone.
  state::RefusalReason WhyTooLate(state::Millis now) const {
    if (now >= deadline_) {
      return state::RefusalReason::kDeadline;
    }
    return authorized_until_.has_value() && now >= *authorized_until_
               ? state::RefusalReason::kAuthorizationExpired
               : state::RefusalReason::kNone;
  }
};

// Records recent attempts, so that a message that the network duplicates is not
// admitted twice. Not thread-safe.
class AttemptDeduplicator {
 public:
  // Records the attempt. Returns false when it is a duplicate.
  bool Insert(const std::string& request_id, uint32_t attempt);

 private:
  std::deque<std::string> order_;
  absl::flat_hash_set<std::string> seen_;
};

// Estimates the latency of one more request from the smoothed service time of
// the target. Not thread-safe.
class LatencyEstimate {
 public:
  void Add(state::Millis service_time);
  // Returns the estimated latency of a request when `waiting` requests, itself
  // included, run or wait at `slots` slots.
  state::Millis At(int waiting, int slots) const;
  // Returns the smoothed service time; 0 without a sample.
  state::Millis mean() const {
    return state::Millis(has_sample_ ? mean_ms_ : 0);
  }

 private:
  double mean_ms_ = 1;
  bool has_sample_ = false;
};

// Distinguishes a crash of the target from a single broken connection. Requests
// with an incomplete answer become crash reports once a failed connection, a
// missing announcement or a new incarnation confirms that the process has
// exited. A request that was started before a confirmed crash and whose answer
// breaks off after it belongs to that crash: counted as a crash of its own it
// would convict an innocent request. Not thread-safe.
class CrashDetector {
 public:
  explicit CrashDetector(std::string crash_id_prefix)
      : crash_id_prefix_(std::move(crash_id_prefix)) {}

  // Records a delivery that began at `started` and whose answer broke off while
  // `in_flight` requests, itself included, ran.
  void OnIncompleteAnswer(const std::string& fingerprint,
                          int in_flight,
                          state::Millis started,
                          state::Millis now);
  // Returns one report for each unconfirmed incomplete answer: the target has
  // crashed.
  std::vector<CrashReport> Confirm(state::Millis now);
  // Removes incomplete answers that no crash has confirmed within 4 s.
  void Tick(state::Millis now);
  bool has_incomplete_answers() const { return !incomplete_answers_.empty(); }

 private:
  struct IncompleteAnswer {
    const std::string fingerprint_ = {};
    const int in_flight_ = 0;
    const state::Millis started_ = {};
    const state::Millis time_ = {};
  };

  const std::string crash_id_prefix_;
  std::vector<IncompleteAnswer> incomplete_answers_;
  uint64_t crash_ = 0;  // Number of the last confirmed crash.
  state::Millis confirmed_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_GUARD_WORK_H_
