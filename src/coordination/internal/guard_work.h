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
  // When an answer stops being as good as an immediate one.
  const state::Millis objective_ = {};
  const bool run_alone_ = false;
};

// Remembers the attempts of the recent past, so that a message that the network
// repeats is not admitted again. Not thread-safe.
class AttemptMemory {
 public:
  // Returns false when the attempt was seen before.
  bool Insert(const std::string& request_id, uint32_t attempt);

 private:
  std::deque<std::string> order_;
  absl::flat_hash_set<std::string> seen_;
};

// Smooths the service times of the target into an estimate for one more
// request. Not thread-safe.
class LatencyEstimate {
 public:
  void Add(state::Millis service_time);
  // Returns the estimated time for a request that joins `waiting` others at
  // `slots` slots.
  state::Millis At(int waiting, int slots) const;
  // Returns the smoothed service time; 0 without a sample.
  state::Millis mean() const {
    return state::Millis(has_sample_ ? mean_ms_ : 0);
  }

 private:
  double mean_ms_ = 1;
  bool has_sample_ = false;
};

// Tells a crash of the target from a single broken connection. Requests that
// were cut become reports once a failed connection, a missing announcement or a
// new incarnation confirms that the process has gone. A request that was
// started before a confirmed crash and is cut after it belongs to that crash:
// counted as a crash of its own it would convict an innocent request. Not
// thread-safe.
class CrashDetector {
 public:
  explicit CrashDetector(std::string crash_id_prefix)
      : crash_id_prefix_(std::move(crash_id_prefix)) {}

  // A delivery that began at `started` was cut while `in_flight` requests,
  // itself included, ran.
  void OnCut(const std::string& fingerprint,
             int in_flight,
             state::Millis started,
             state::Millis now);
  // Returns the reports of the crash, if cuts were waiting for confirmation.
  std::vector<CrashReport> Confirm(state::Millis now);
  // Forgets cuts that nothing confirmed for a while.
  void Tick(state::Millis now);
  bool has_cuts() const { return !cuts_.empty(); }

 private:
  struct Cut {
    const std::string fingerprint_ = {};
    const int in_flight_ = 0;
    const state::Millis started_ = {};
    const state::Millis time_ = {};
  };

  const std::string crash_id_prefix_;
  std::vector<Cut> cuts_;
  uint64_t crash_ = 0;  // Number of the last confirmed crash.
  state::Millis confirmed_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_GUARD_WORK_H_
