#ifndef STATE_INTERNAL_DURABLE_FILE_H_
#define STATE_INTERNAL_DURABLE_FILE_H_

#include <cstdint>
#include <functional>
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

// A change that this file layer has made to a disk.
enum class FileChange {
  kCreateFile,  // Keeps a file that is there.
  kWrite,       // At the end of the file.
  kTruncate,
  kSyncFile,
  kRename,
  kRemoveFile,
  kCreateFolder,
  kRemoveFolder,
  kSyncFolder,
};

struct FileOperation {
  const FileChange change_ = FileChange::kCreateFile;
  const std::string path_ = {};
  const std::string new_path_ = {};  // Of kRename.
  const std::string bytes_ = {};     // Of kWrite.
  const uint64_t size_ = 0;          // Of kTruncate.

  friend bool operator==(const FileOperation&, const FileOperation&) = default;
};

// Reports each further change to `observer`, in order, so that a test can
// replay them up to any point; an empty one ends it. Call it only while no
// other thread uses the file layer.
void ObserveFileOperations(std::function<void(const FileOperation&)> observer);

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
// Creates an empty file, or keeps the one that is there. Durable after
// SyncFolder.
Result<void> CreateFile(const std::string& path);
// Renames a file, also into another folder; a file of the new name is
// replaced. Durable after SyncFolder of both folders.
Result<void> RenameFile(const std::string& from, const std::string& to);
// Removes an empty folder.
Result<void> RemoveFolder(const std::string& folder);
// Creates the folder if it is missing. Durable after SyncParentFolder.
Result<void> CreateFolder(const std::string& folder);
// Makes the creation of the folder durable. A parent that cannot be opened, or
// cannot be synced at all, is left out: this process has not created the folder
// in it.
Result<void> SyncParentFolder(const std::string& folder);
// Returns the sorted names of the files in the folder.
Result<std::vector<std::string>> ListFolder(const std::string& folder);
// Locks the folder against other processes and other stores of this process,
// until the descriptor is closed.
Result<FileDescriptor> LockFolder(const std::string& folder);

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_DURABLE_FILE_H_
