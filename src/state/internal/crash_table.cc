#include "state/api/crash_table.h"

#include <algorithm>

namespace gooseberrygap::state {

namespace {

// Limits the size of a snapshot when many targets crash at once; the oldest
// reports are removed first.
constexpr size_t kMaxStoredCrashes = 4096;

}  // namespace

std::vector<CrashReport> CrashTable::Apply(const RecordCrashes& command,
                                           uint64_t wall_millis,
                                           Millis retention) {
  const auto is_old = [wall_millis, retention](const StoredCrash& crash) {
    return crash.wall_millis_ + static_cast<uint64_t>(retention.value()) <
           wall_millis;
  };
  while (!crashes_.empty() && is_old(crashes_.front())) {
    crashes_.pop_front();
  }
  std::vector<CrashReport> added;
  for (const CrashReport& report : command.reports_) {
    if (!Contains(report)) {
      crashes_.push_back(
          StoredCrash{.report_ = report, .wall_millis_ = wall_millis});
      added.push_back(report);
    }
  }
  while (crashes_.size() > kMaxStoredCrashes) {
    crashes_.pop_front();
  }
  return added;
}

bool CrashTable::Contains(const CrashReport& report) const {
  return std::any_of(crashes_.begin(), crashes_.end(),
                     [&report](const StoredCrash& crash) {
                       return crash.report_.crash_id_ == report.crash_id_ &&
                              crash.report_.fingerprint_ == report.fingerprint_;
                     });
}

std::vector<StoredCrash> CrashTable::Snapshot() const {
  std::vector<StoredCrash> crashes;
  crashes.reserve(crashes_.size());
  for (const StoredCrash& crash : crashes_) {
    crashes.push_back(crash);
  }
  return crashes;
}

void CrashTable::Restore(const std::vector<StoredCrash>& crashes) {
  crashes_.clear();
  for (const StoredCrash& crash : crashes) {
    crashes_.push_back(crash);
  }
}

}  // namespace gooseberrygap::state
