#ifndef STATE_INTERNAL_DURABLE_FILE_H_
#define STATE_INTERNAL_DURABLE_FILE_H_

#include <cstdint>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/api/error.h"

namespace gooseberrygap::state {

// Owns a file descriptor. Not thread-safe.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor();
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;

  int get() const { return fd_; }

 private:
  int fd_ = -1;
};

// Returns the error of the last failed system call (errno): kDiskFull when the
// disk, the quota or the file size limit was exhausted, kDiskFailed otherwise.
Error DiskError(absl::string_view what, const std::string& path);

// Opens `path` for appending.
Result<FileDescriptor> OpenForAppend(const std::string& path);
// Writes all of `bytes` at the end of the file.
Result<void> WriteAll(int fd, absl::string_view bytes, const std::string& path);
// Makes the file durable. Every failure is kDiskFailed, even when the disk is
// full: the pages that were not written are lost, so freeing space does not
// help.
Result<void> SyncFile(int fd, const std::string& path);
// Truncates the file to `size` bytes, durably.
Result<void> TruncateFile(int fd, uint64_t size, const std::string& path);
Result<std::string> ReadWholeFile(const std::string& path);
// Makes the creation, renaming and removal of files in the folder durable.
Result<void> SyncFolder(const std::string& folder);
// Atomically and durably replaces or creates `folder`/`name`: after a crash it
// is either the old or the new file.
Result<void> ReplaceFile(const std::string& folder,
                         const std::string& name,
                         absl::string_view content);
Result<void> RemoveFile(const std::string& path);
// Creates the folder if it is missing.
Result<void> CreateFolder(const std::string& folder);
// Returns the sorted names of the files in the folder.
Result<std::vector<std::string>> ListFolder(const std::string& folder);
// Locks the folder against other processes and other stores of this process,
// until the descriptor is closed.
Result<FileDescriptor> LockFolder(const std::string& folder);

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_DURABLE_FILE_H_
