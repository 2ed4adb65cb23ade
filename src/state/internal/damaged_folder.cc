#include "state/api/damaged_folder.h"

#include <algorithm>
#include <cstdint>
#include <vector>
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include "state/internal/data_folder.h"
#include "state/internal/durable_file.h"

namespace gooseberrygap::state {

namespace {

// Returns the number in the name of a subfolder with damaged content; 0 for
// other names.
uint64_t NumberOf(absl::string_view name) {
  uint64_t number = 0;
  return absl::ConsumePrefix(&name, kDamagedPrefix) &&
                 absl::SimpleAtoi(name, &number)
             ? number
             : 0;
}

uint64_t NewestNumber(const FolderContent& content) {
  uint64_t newest = 0;
  for (const std::string& name : content.damaged_) {
    newest = std::max(newest, NumberOf(name));
  }
  return newest;
}

// Returns the files to move, without the identity.
std::vector<std::string> FilesToMove(const FolderContent& content) {
  std::vector<std::string> names = content.segments_;
  names.insert(names.end(), content.unfinished_.begin(),
               content.unfinished_.end());
  if (content.has_vote_) {
    names.emplace_back(kVoteName);
  }
  if (content.has_snapshot_) {
    names.emplace_back(kSnapshotName);
  }
  return names;
}

Result<void> Move(const std::string& folder,
                  const std::vector<std::string>& names,
                  const std::string& destination) {
  for (const std::string& name : names) {
    BOOST_OUTCOME_TRYV(RenameFile(absl::StrCat(folder, "/", name),
                                  absl::StrCat(destination, "/", name)));
  }
  BOOST_OUTCOME_TRYV(SyncFolder(destination));
  return SyncFolder(folder);
}

// Removes a subfolder with damaged content. What cannot be removed stays.
void RemoveDamaged(const std::string& path) {
  const auto names = ListFolder(path);
  if (!names) {
    return;
  }
  for (const std::string& name : names.value()) {
    static_cast<void>(RemoveFile(absl::StrCat(path, "/", name)));
  }
  static_cast<void>(RemoveFolder(path));
}

}  // namespace

Result<std::string> SetAsideDamagedFolder(const std::string& folder) {
  const Result<FileDescriptor> lock = LockFolder(folder);
  if (!lock) {
    return lock.error();
  }
  BOOST_OUTCOME_TRY(names, ListFolder(folder));
  const FolderContent content = Classify(names);
  const std::string marker = absl::StrCat(folder, "/", kSettingAsideName);
  const uint64_t newest = NewestNumber(content);
  // A move that a crash interrupted goes on into the same subfolder. The marker
  // is durable only after the subfolder.
  const uint64_t number =
      content.is_being_set_aside_ && newest > 0 ? newest : newest + 1;
  const std::string destination =
      absl::StrCat(folder, "/", kDamagedPrefix, number);
  BOOST_OUTCOME_TRYV(CreateFolder(destination));
  BOOST_OUTCOME_TRYV(SyncFolder(folder));
  BOOST_OUTCOME_TRYV(CreateFile(marker));
  BOOST_OUTCOME_TRYV(SyncFolder(folder));
  if (content.has_identity_) {
    BOOST_OUTCOME_TRYV(Move(folder, {kIdentityName}, destination));
  }
  BOOST_OUTCOME_TRYV(Move(folder, FilesToMove(content), destination));
  BOOST_OUTCOME_TRYV(RemoveFile(marker));
  BOOST_OUTCOME_TRYV(SyncFolder(folder));
  for (const std::string& name : content.damaged_) {
    if (NumberOf(name) < number) {
      RemoveDamaged(absl::StrCat(folder, "/", name));
    }
  }
  return destination;
}

}  // namespace gooseberrygap::state
