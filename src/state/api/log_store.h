#ifndef STATE_API_LOG_STORE_H_
#define STATE_API_LOG_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include "absl/types/span.h"

#include "state/api/error.h"
#include "state/api/log.h"

namespace gooseberrygap::state {

// The content of a data folder. Entries follow the snapshot without a gap.
struct LoadedLog {
  const std::string identity_ = {};
  const VoteRecord vote_ = {};
  const std::optional<LogSnapshot> snapshot_ = {};
  const std::vector<LogEntry> entries_ = {};

  friend bool operator==(const LoadedLog&, const LoadedLog&) = default;
};

struct LogStoreOptions {
  // Size in bytes above which a new segment file is started. A segment is
  // removed once a snapshot covers all its entries.
  const uint64_t segment_bytes_ = uint64_t{4} * 1024 * 1024;

  friend bool operator==(const LogStoreOptions&,
                         const LogStoreOptions&) = default;
};

// The log, vote and snapshot of a control group's member in one data folder.
// After a failed write, every further write returns the same error until
// Recover() has succeeded, since the content of the disk is unknown after a
// failed sync. Not thread-safe.
class LogStore {
 public:
  // Locks the folder and reads it; creates the folder and a random identity on
  // first use. Truncates an incomplete record at the end of the log. Errors:
  // kFolderInUse, kDiskFailed, kDiskFull, and kCorruptLog for damaged content,
  // which SetAsideDamagedFolder can move out of the way.
  static Result<std::unique_ptr<LogStore>> Open(const std::string& folder,
                                                LogStoreOptions options = {});
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // Identity of the folder: 32 hexadecimal digits.
  const std::string& identity() const;
  // Returns whether damaged content of the folder was set aside at some time,
  // see SetAsideDamagedFolder. The instance was then a member of a group.
  bool has_damaged_content() const;
  // Returns the content of the folder when it was opened. Call it only once:
  // the content is moved out.
  LoadedLog Load();

  // Index of the first entry that the log files can hold; earlier ones were
  // removed because a snapshot covers them.
  uint64_t first_index() const;

  // Appends entries; durable after Sync. Precondition: the
  // indexes follow the last entry, or the snapshot, without a gap.
  Result<void> Append(absl::Span<const LogEntry> entries);
  // Removes the entries with `index` and above; durable on return.
  // Precondition: no snapshot covers `index`.
  Result<void> TruncateFrom(uint64_t index);
  // Durable on return.
  Result<void> SaveVote(const VoteRecord& vote);
  // Durable on return. Entries covered by the snapshot are no longer loaded.
  Result<void> SaveSnapshot(const LogSnapshot& snapshot);
  // Makes the appended entries durable.
  Result<void> Sync();
  // Prepares for further writes after a failed one: removes all entries that
  // were not durable, so that they are written again. Everything else that was
  // durable is kept. May be called again after an error.
  Result<void> Recover();

 private:
  class Impl;
  explicit LogStore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_LOG_STORE_H_
