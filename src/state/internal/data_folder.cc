#include "state/internal/data_folder.h"

#include "absl/strings/match.h"

#include "state/internal/log_segment.h"

namespace gooseberrygap::state {

FolderContent Classify(const std::vector<std::string>& names) {
  FolderContent content;
  for (const std::string& name : names) {
    content.has_identity_ = content.has_identity_ || name == kIdentityName;
    content.has_vote_ = content.has_vote_ || name == kVoteName;
    content.has_snapshot_ = content.has_snapshot_ || name == kSnapshotName;
    content.is_being_set_aside_ =
        content.is_being_set_aside_ || name == kSettingAsideName;
    if (LogSegment::IsSegmentName(name)) {
      content.segments_.push_back(name);
    }
    if (absl::EndsWith(name, kNewSuffix)) {
      content.unfinished_.push_back(name);
    }
    if (absl::StartsWith(name, kDamagedPrefix)) {
      content.damaged_.push_back(name);
    }
  }
  return content;
}

}  // namespace gooseberrygap::state
