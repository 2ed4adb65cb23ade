#ifndef STATE_INTERNAL_LOG_SEGMENT_H_
#define STATE_INTERNAL_LOG_SEGMENT_H_

#include <cstdint>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "state/api/error.h"
#include "state/api/log.h"
#include "state/internal/durable_file.h"

namespace gooseberrygap::state {

// Returns the content of a file with a single record, which is always replaced
// as a whole. Thread-safe.
std::string EncodeRecordFile(absl::string_view payload);
// Returns the payload of such a file, or kCorruptLog if the file is corrupt.
Result<std::string> ReadRecordFile(const std::string& path);

// One file of the log: a header with the first index and a random number,
// followed by a frame for each entry. After each sync an empty frame is
// appended that records how far the file is durable, to distinguish corruption
// from a write that a crash interrupted. Not thread-safe.
class LogSegment {
 public:
  // Returns whether `name` is the name of a segment.
  static bool IsSegmentName(absl::string_view name);
  // Returns the first index encoded in a segment name; 0 for other names.
  static uint64_t FirstIndexOf(absl::string_view name);

  // Returns the path of the segment that begins with that entry.
  static std::string PathOf(const std::string& folder, uint64_t first_index);

  // Creates an empty segment, durably.
  static Result<LogSegment> Create(const std::string& folder,
                                   uint64_t first_index);
  // Reads a segment and appends its entries to `entries`. An incomplete record
  // at the end is truncated; in a segment that is not the last one it can only
  // be the marker, which the caller checks by the index that follows. The
  // content of the last segment is durable on return.
  static Result<LogSegment> Open(const std::string& folder,
                                 const std::string& name,
                                 bool is_last,
                                 std::vector<LogEntry>* entries);

  // Appends entries; durable after Sync.
  Result<void> Append(absl::Span<const LogEntry> entries);
  Result<void> Sync();
  // Removes the entries that are not durable, and what a failed write left, so
  // that they can be appended again.
  Result<void> DiscardUnsynced();
  // Removes the entries with `index` and above, durably. Precondition: `index`
  // is at least first_index().
  Result<void> TruncateFrom(uint64_t index);

  const std::string& path() const { return path_; }
  uint64_t first_index() const { return first_index_; }
  uint64_t next_index() const { return first_index_ + frame_offsets_.size(); }
  uint64_t size() const { return size_; }

 private:
  LogSegment() = default;
  Result<void> ReadFrames(absl::string_view content,
                          std::vector<LogEntry>* entries);

  std::string path_;
  FileDescriptor file_;
  uint64_t salt_ = 0;
  uint64_t first_index_ = 0;
  uint64_t size_ = 0;
  // Offset up to which the file is durable. The marker after a sync is not
  // included until the next sync: a loss of power may remove it alone.
  uint64_t durable_offset_ = 0;
  bool has_unsynced_entries_ = false;
  std::vector<uint64_t> frame_offsets_;  // Offset of each entry's frame.
};

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_LOG_SEGMENT_H_
