#ifndef STATE_INTERNAL_DATA_FOLDER_H_
#define STATE_INTERNAL_DATA_FOLDER_H_

#include <string>
#include <vector>
#include "absl/strings/string_view.h"

namespace gooseberrygap::state {

inline constexpr char kIdentityName[] = "identity";
inline constexpr char kVoteName[] = "vote";
inline constexpr char kSnapshotName[] = "snapshot";
// Present while damaged content is being set aside. What is left beside it is
// part of the damaged content.
inline constexpr char kSettingAsideName[] = "setting-aside";
// Prefix of the subfolders with damaged content; a number follows.
inline constexpr absl::string_view kDamagedPrefix = "damaged-";
// Suffix of files that are renamed to their final name once they are complete.
inline constexpr absl::string_view kNewSuffix = ".new";

// The files present in a data folder.
struct FolderContent {
  bool has_identity_ = false;
  bool has_vote_ = false;
  bool has_snapshot_ = false;
  bool is_being_set_aside_ = false;
  std::vector<std::string> segments_;
  // Files that a crash left before they were renamed to their final name.
  std::vector<std::string> unfinished_;
  // Subfolders with damaged content.
  std::vector<std::string> damaged_;
};

// Sorts the names of a folder's files by their purpose. Other names are left
// out. Thread-safe.
FolderContent Classify(const std::vector<std::string>& names);

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_DATA_FOLDER_H_
