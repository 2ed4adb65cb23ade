#ifndef STATE_API_CRASH_TABLE_H_
#define STATE_API_CRASH_TABLE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "state/api/clock.h"

namespace gooseberrygap::state {

// A request that was in flight when a target crashed.
struct CrashReport {
  const std::string fingerprint_ = {};
  const std::string crash_id_ = {};  // Identifies one crash of one target.
  const bool alone_ = false;         // No other request was in flight.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

// Records crash reports in the replicated log.
struct RecordCrashes {
  const std::vector<CrashReport> reports_ = {};

  friend bool operator==(const RecordCrashes&, const RecordCrashes&) = default;
};

struct StoredCrash {
  const CrashReport report_ = {};
  const uint64_t wall_millis_ = 0;  // Wall time of the command.

  friend bool operator==(const StoredCrash&, const StoredCrash&) = default;
};

// The crash reports of the last time, in the order of the log: a deterministic
// state machine, so that replicas that apply the same commands agree on which
// requests are convicted. Not thread-safe.
class CrashTable {
 public:
  // Applies the command with the proposer's wall time, and removes reports that
  // are older than `retention`. Returns the reports that were not known.
  std::vector<CrashReport> Apply(const RecordCrashes& command,
                                 uint64_t wall_millis,
                                 Millis retention);

  bool Contains(const CrashReport& report) const;

  std::vector<StoredCrash> Snapshot() const;
  void Restore(const std::vector<StoredCrash>& crashes);

 private:
  std::deque<StoredCrash> crashes_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_CRASH_TABLE_H_
