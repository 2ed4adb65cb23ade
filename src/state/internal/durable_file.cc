#include "state/internal/durable_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>
#include "absl/strings/str_cat.h"

namespace gooseberrygap::state {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
// Bytes that ReadWholeFile() requests per read.
constexpr size_t kReadBytes = size_t{256} * 1024;

Error FailedError(ErrorKind kind,
                  absl::string_view what,
                  const std::string& path) {
  const std::error_code code(errno, std::generic_category());
  return MakeError(kind, absl::StrCat(what, " ", path, ": ", code.message()));
}

std::function<void(const FileOperation&)>& Observer() {
  static std::function<void(const FileOperation&)> observer;
  return observer;
}

void Report(FileChange change,
            const std::string& path,
            absl::string_view bytes = "",
            uint64_t size = 0) {
  if (Observer()) {
    Observer()(FileOperation{.change_ = change,
                             .path_ = path,
                             .bytes_ = std::string(bytes),
                             .size_ = size});
  }
}

}  // namespace

void ObserveFileOperations(std::function<void(const FileOperation&)> observer) {
  Observer() = std::move(observer);
}

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Error DiskError(absl::string_view what, const std::string& path) {
  const bool full = errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
  return FailedError(full ? ErrorKind::kDiskFull : ErrorKind::kDiskFailed, what,
                     path);
}

Result<FileDescriptor> OpenForAppend(const std::string& path) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (fd < 0) {
    return DiskError("Cannot open", path);
  }
  return FileDescriptor(fd);
}

Result<void> WriteAll(int fd,
                      absl::string_view bytes,
                      const std::string& path) {
  const absl::string_view all = bytes;
  while (!bytes.empty()) {
    const ssize_t written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return DiskError("Cannot write", path);
    }
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  Report(FileChange::kWrite, path, all);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> SyncFile(int fd, const std::string& path) {
  if (::fdatasync(fd) != 0) {
    return FailedError(ErrorKind::kDiskFailed, "Cannot sync", path);
  }
  Report(FileChange::kSyncFile, path);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> TruncateFile(int fd, uint64_t size, const std::string& path) {
  if (::ftruncate(fd, static_cast<off_t>(size)) != 0) {
    return DiskError("Cannot truncate", path);
  }
  Report(FileChange::kTruncate, path, "", size);
  return SyncFile(fd, path);
}

Result<std::string> ReadWholeFile(const std::string& path) {
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) {
    return DiskError("Cannot open", path);
  }
  std::string content;
  for (;;) {
    const size_t size = content.size();
    content.resize(size + kReadBytes);
    const ssize_t got = ::read(file.get(), content.data() + size, kReadBytes);
    content.resize(size + static_cast<size_t>(std::max<ssize_t>(got, 0)));
    if (got == 0) {
      return content;
    }
    if (got < 0 && errno != EINTR) {
      return DiskError("Cannot read", path);
    }
  }
}

Result<void> SyncFolder(const std::string& folder) {
  const FileDescriptor fd(
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (fd.get() < 0) {
    return DiskError("Cannot open", folder);
  }
  if (::fsync(fd.get()) != 0) {
    return FailedError(ErrorKind::kDiskFailed, "Cannot sync", folder);
  }
  Report(FileChange::kSyncFolder, folder);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ReplaceFile(const std::string& folder,
                         const std::string& name,
                         absl::string_view content) {
  const std::string path = absl::StrCat(folder, "/", name);
  const std::string new_path = absl::StrCat(path, ".new");
  const FileDescriptor file(::open(
      new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (file.get() < 0) {
    return DiskError("Cannot create", new_path);
  }
  Report(FileChange::kCreateFile, new_path);
  Report(FileChange::kTruncate, new_path);
  BOOST_OUTCOME_TRYV(WriteAll(file.get(), content, new_path));
  BOOST_OUTCOME_TRYV(SyncFile(file.get(), new_path));
  BOOST_OUTCOME_TRYV(RenameFile(new_path, path));
  return SyncFolder(folder);
}

Result<void> RemoveFile(const std::string& path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
    return DiskError("Cannot remove", path);
  }
  Report(FileChange::kRemoveFile, path);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> CreateFile(const std::string& path) {
  const FileDescriptor file(
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode));
  if (file.get() < 0) {
    return DiskError("Cannot create", path);
  }
  Report(FileChange::kCreateFile, path);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RenameFile(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) {
    return DiskError("Cannot rename", from);
  }
  if (Observer()) {
    Observer()(FileOperation{
        .change_ = FileChange::kRename, .path_ = from, .new_path_ = to});
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RemoveFolder(const std::string& folder) {
  if (::rmdir(folder.c_str()) != 0 && errno != ENOENT) {
    return DiskError("Cannot remove", folder);
  }
  Report(FileChange::kRemoveFolder, folder);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> CreateFolder(const std::string& folder) {
  if (::mkdir(folder.c_str(), kFolderMode) != 0) {
    return errno == EEXIST ? Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success())
                           : DiskError("Cannot create", folder);
  }
  Report(FileChange::kCreateFolder, folder);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> SyncParentFolder(const std::string& folder) {
  const std::string parent = std::filesystem::absolute(folder + "/")
                                 .lexically_normal()
                                 .parent_path()
                                 .parent_path()
                                 .string();
  const FileDescriptor fd(
      ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (fd.get() < 0) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (::fsync(fd.get()) != 0 && errno != EINVAL && errno != EROFS) {
    return FailedError(ErrorKind::kDiskFailed, "Cannot sync", parent);
  }
  Report(FileChange::kSyncFolder, parent);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<std::vector<std::string>> ListFolder(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code code;
  std::filesystem::directory_iterator entries(folder, code);
  while (!code && entries != std::filesystem::directory_iterator()) {
    names.push_back(entries->path().filename().string());
    entries.increment(code);
  }
  if (code) {
    errno = code.value();
    return DiskError("Cannot list", folder);
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<FileDescriptor> LockFolder(const std::string& folder) {
  const std::string path = absl::StrCat(folder, "/lock");
  FileDescriptor file(
      ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (file.get() < 0) {
    return DiskError("Cannot open", path);
  }
  Report(FileChange::kCreateFile, path);
  if (::flock(file.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EWOULDBLOCK) {
      return MakeError(ErrorKind::kFolderInUse,
                       absl::StrCat("Another process has locked ", folder));
    }
    return DiskError("Cannot lock", path);
  }
  return file;
}

}  // namespace gooseberrygap::state
