#include "state/api/log_store.h"

#include <functional>
#include <random>
#include <utility>
#include "absl/strings/str_cat.h"

#include "state/internal/data_folder.h"
#include "state/internal/durable_file.h"
#include "state/internal/log_frame.h"
#include "state/internal/log_segment.h"

namespace gooseberrygap::state {

namespace {

constexpr uint64_t kFirstIndex = 1;

std::string RandomIdentity() {
  std::random_device device;
  std::string identity;
  for (int i = 0; i < 4; ++i) {
    absl::StrAppend(&identity, absl::Hex(device(), absl::kZeroPad8));
  }
  return identity;
}

}  // namespace

class LogStore::Impl {
 public:
  Impl(std::string folder, LogStoreOptions options)
      : folder_(std::move(folder)), options_(options) {}

  Result<void> Open();
  const std::string& identity() const { return identity_; }
  bool has_damaged_content() const { return has_damaged_content_; }
  LoadedLog Load();

  // Runs a write unless an earlier one failed, and stores the first error.
  Result<void> RunUnlessFailed(const std::function<Result<void>()>& write);
  Result<void> Append(absl::Span<const LogEntry> entries);
  Result<void> TruncateFrom(uint64_t index);
  Result<void> SaveVote(const VoteRecord& vote);
  Result<void> SaveSnapshot(const LogSnapshot& snapshot);
  Result<void> Sync() { return segments_.back().Sync(); }
  Result<void> Recover();
  uint64_t first_index() const { return segments_.front().first_index(); }

 private:
  Error CorruptError(absl::string_view what) const {
    return MakeError(ErrorKind::kCorruptLog, absl::StrCat(folder_, ": ", what));
  }
  std::string PathOf(absl::string_view name) const {
    return absl::StrCat(folder_, "/", name);
  }
  Result<void> CreateFiles(const FolderContent& content);
  Result<void> ReadFiles(const FolderContent& content);
  Result<void> ReadSegments(std::vector<std::string> names);
  // Removes the segments that the snapshot covers from `names` and from the
  // folder, without reading them.
  Result<void> RemoveCoveredSegments(std::vector<std::string>* names);
  // Discards the entries that the snapshot covers. Starts a new segment if the
  // snapshot is beyond the end of the log.
  Result<void> ReconcileWithSnapshot();
  Result<void> CreateSegment(uint64_t first_index);
  uint64_t next_index() const { return segments_.back().next_index(); }

  const std::string folder_;
  const LogStoreOptions options_;
  FileDescriptor lock_;
  bool has_damaged_content_ = false;
  std::string identity_;
  std::unique_ptr<VoteRecord> vote_;
  std::unique_ptr<LogSnapshot> snapshot_;
  std::vector<LogEntry> entries_;
  std::vector<LogSegment> segments_;  // At least one, without gaps.
  // Path of a segment whose creation failed and that may exist nevertheless;
  // otherwise empty.
  std::string unfinished_segment_;
  std::unique_ptr<Error> first_error_;
};

Result<void> LogStore::Impl::Open() {
  BOOST_OUTCOME_TRYV(CreateFolder(folder_));
  BOOST_OUTCOME_TRY(lock, LockFolder(folder_));
  lock_ = std::move(lock);
  BOOST_OUTCOME_TRY(names, ListFolder(folder_));
  const FolderContent content = Classify(names);
  has_damaged_content_ = !content.damaged_.empty();
  if (content.is_being_set_aside_) {
    return CorruptError("its damaged content was set aside only in part");
  }
  for (const std::string& name : content.unfinished_) {
    BOOST_OUTCOME_TRYV(RemoveFile(PathOf(name)));
  }
  return content.has_identity_ ? ReadFiles(content) : CreateFiles(content);
}

// Writes the identity last, so that a folder with an identity is complete.
Result<void> LogStore::Impl::CreateFiles(const FolderContent& content) {
  if (content.has_vote_) {
    BOOST_OUTCOME_TRY(vote_bytes, ReadRecordFile(PathOf(kVoteName)));
    const std::optional<VoteRecord> vote = DecodeVote(vote_bytes);
    // A first start that was interrupted leaves a vote of term 0.
    if (!vote || vote->term_ != 0) {
      return CorruptError("the file 'identity' is missing");
    }
  }
  if (content.has_snapshot_ || content.segments_.size() > 1) {
    return CorruptError("the file 'identity' is missing");
  }
  if (!content.segments_.empty()) {
    BOOST_OUTCOME_TRY(
        segment,
        LogSegment::Open(folder_, content.segments_.front(), true, &entries_));
    if (!entries_.empty() || segment.first_index() != kFirstIndex) {
      return CorruptError("the file 'identity' is missing");
    }
    segments_.push_back(std::move(segment));
  } else {
    BOOST_OUTCOME_TRYV(CreateSegment(kFirstIndex));
  }
  vote_ = std::make_unique<VoteRecord>();
  BOOST_OUTCOME_TRYV(SaveVote(*vote_));
  // At each first start, since an interrupted one may have created the folder.
  BOOST_OUTCOME_TRYV(SyncParentFolder(folder_));
  identity_ = RandomIdentity();
  return ReplaceFile(folder_, kIdentityName, EncodeRecordFile(identity_));
}

Result<void> LogStore::Impl::ReadFiles(const FolderContent& content) {
  if (!content.has_vote_ || content.segments_.empty()) {
    return CorruptError("the file 'vote' or all log segments are missing");
  }
  BOOST_OUTCOME_TRY(identity, ReadRecordFile(PathOf(kIdentityName)));
  identity_ = std::move(identity);
  BOOST_OUTCOME_TRY(vote_bytes, ReadRecordFile(PathOf(kVoteName)));
  std::optional<VoteRecord> vote = DecodeVote(vote_bytes);
  if (!vote) {
    return CorruptError("the file 'vote' cannot be decoded");
  }
  vote_ = std::make_unique<VoteRecord>(*std::move(vote));
  if (content.has_snapshot_) {
    BOOST_OUTCOME_TRY(snapshot_bytes, ReadRecordFile(PathOf(kSnapshotName)));
    std::optional<LogSnapshot> snapshot = DecodeSnapshot(snapshot_bytes);
    if (!snapshot) {
      return CorruptError("the file 'snapshot' cannot be decoded");
    }
    snapshot_ = std::make_unique<LogSnapshot>(*std::move(snapshot));
  }
  return ReadSegments(content.segments_);
}

Result<void> LogStore::Impl::ReadSegments(std::vector<std::string> names) {
  BOOST_OUTCOME_TRYV(RemoveCoveredSegments(&names));
  if (names.empty()) {
    return CorruptError("entries are missing before the first log segment");
  }
  for (const std::string& name : names) {
    const bool is_last = name == names.back();
    if (!segments_.empty() && LogSegment::FirstIndexOf(name) != next_index()) {
      return CorruptError(absl::StrCat("entries are missing before ", name));
    }
    BOOST_OUTCOME_TRY(segment,
                      LogSegment::Open(folder_, name, is_last, &entries_));
    segments_.push_back(std::move(segment));
  }
  return ReconcileWithSnapshot();
}

Result<void> LogStore::Impl::RemoveCoveredSegments(
    std::vector<std::string>* names) {
  const uint64_t start =
      snapshot_ == nullptr ? kFirstIndex : snapshot_->index_ + 1;
  size_t covered = names->size();
  while (covered > 0 &&
         LogSegment::FirstIndexOf((*names)[covered - 1]) > start) {
    --covered;
  }
  if (covered == 0) {
    names->clear();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  for (size_t i = 0; i + 1 < covered; ++i) {
    BOOST_OUTCOME_TRYV(RemoveFile(PathOf((*names)[i])));
  }
  names->erase(names->begin(),
               names->begin() + static_cast<std::ptrdiff_t>(covered - 1));
  return SyncFolder(folder_);
}

Result<void> LogStore::Impl::ReconcileWithSnapshot() {
  if (snapshot_ == nullptr) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  std::vector<LogEntry> kept;
  for (LogEntry& entry : entries_) {
    if (entry.index_ > snapshot_->index_) {
      kept.push_back(std::move(entry));
    }
  }
  entries_.swap(kept);
  if (next_index() > snapshot_->index_) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  // A crash occurred after the snapshot was saved and before the segment that
  // follows it was created.
  BOOST_OUTCOME_TRYV(CreateSegment(snapshot_->index_ + 1));
  std::vector<std::string> names;
  for (const LogSegment& segment : segments_) {
    names.push_back(segment.path().substr(folder_.size() + 1));
  }
  segments_.erase(segments_.begin(), segments_.end() - 1);
  return RemoveCoveredSegments(&names);
}

Result<void> LogStore::Impl::CreateSegment(uint64_t first_index) {
  unfinished_segment_ = LogSegment::PathOf(folder_, first_index);
  BOOST_OUTCOME_TRY(segment, LogSegment::Create(folder_, first_index));
  segments_.push_back(std::move(segment));
  unfinished_segment_.clear();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

LoadedLog LogStore::Impl::Load() {
  LoadedLog log{.identity_ = identity_,
                .vote_ = vote_ == nullptr ? VoteRecord{} : *vote_,
                .snapshot_ = snapshot_ == nullptr
                                 ? std::optional<LogSnapshot>()
                                 : std::optional<LogSnapshot>(*snapshot_),
                .entries_ = std::move(entries_)};
  entries_.clear();
  vote_.reset();
  snapshot_.reset();
  return log;
}

Result<void> LogStore::Impl::RunUnlessFailed(
    const std::function<Result<void>()>& write) {
  if (first_error_ != nullptr) {
    return *first_error_;
  }
  Result<void> result = write();
  if (!result) {
    first_error_ = std::make_unique<Error>(result.error());
  }
  return result;
}

Result<void> LogStore::Impl::Recover() {
  if (!unfinished_segment_.empty()) {
    BOOST_OUTCOME_TRYV(RemoveFile(unfinished_segment_));
    BOOST_OUTCOME_TRYV(SyncFolder(folder_));
    unfinished_segment_.clear();
  }
  BOOST_OUTCOME_TRYV(segments_.back().DiscardUnsynced());
  first_error_.reset();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStore::Impl::Append(absl::Span<const LogEntry> entries) {
  if (entries.empty()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (entries.front().index_ != next_index()) {
    return MakeError(
        ErrorKind::kInvalidRequest,
        absl::StrCat("Entry ", entries.front().index_,
                     " does not follow the log, which ends before ",
                     next_index()));
  }
  if (segments_.back().size() > options_.segment_bytes_) {
    // Only the last segment may end with an incomplete record.
    BOOST_OUTCOME_TRYV(Sync());
    BOOST_OUTCOME_TRYV(CreateSegment(next_index()));
  }
  return segments_.back().Append(entries);
}

Result<void> LogStore::Impl::TruncateFrom(uint64_t index) {
  // Remove from the end, so that a crash leaves no gap.
  while (segments_.size() > 1 && segments_.back().first_index() > index) {
    BOOST_OUTCOME_TRYV(RemoveFile(segments_.back().path()));
    BOOST_OUTCOME_TRYV(SyncFolder(folder_));
    segments_.pop_back();
  }
  if (index < segments_.back().first_index()) {
    return MakeError(ErrorKind::kInvalidRequest,
                     absl::StrCat("Entry ", index, " is no longer in the log"));
  }
  return segments_.back().TruncateFrom(index);
}

Result<void> LogStore::Impl::SaveVote(const VoteRecord& vote) {
  return ReplaceFile(folder_, kVoteName, EncodeRecordFile(EncodeVote(vote)));
}

Result<void> LogStore::Impl::SaveSnapshot(const LogSnapshot& snapshot) {
  BOOST_OUTCOME_TRYV(ReplaceFile(folder_, kSnapshotName,
                                 EncodeRecordFile(EncodeSnapshot(snapshot))));
  if (next_index() <= snapshot.index_) {
    BOOST_OUTCOME_TRYV(CreateSegment(snapshot.index_ + 1));
  }
  size_t covered = 0;
  while (covered + 1 < segments_.size() &&
         segments_[covered + 1].first_index() <= snapshot.index_ + 1) {
    BOOST_OUTCOME_TRYV(RemoveFile(segments_[covered].path()));
    ++covered;
  }
  segments_.erase(segments_.begin(),
                  segments_.begin() + static_cast<std::ptrdiff_t>(covered));
  return covered == 0 ? Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success())
                      : SyncFolder(folder_);
}

LogStore::LogStore(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

LogStore::~LogStore() = default;

Result<std::unique_ptr<LogStore>> LogStore::Open(const std::string& folder,
                                                 LogStoreOptions options) {
  auto impl = std::make_unique<Impl>(folder, options);
  BOOST_OUTCOME_TRYV(impl->Open());
  return std::unique_ptr<LogStore>(new LogStore(std::move(impl)));
}

const std::string& LogStore::identity() const {
  return impl_->identity();
}

bool LogStore::has_damaged_content() const {
  return impl_->has_damaged_content();
}

LoadedLog LogStore::Load() {
  return impl_->Load();
}

uint64_t LogStore::first_index() const {
  return impl_->first_index();
}

Result<void> LogStore::Append(absl::Span<const LogEntry> entries) {
  return impl_->RunUnlessFailed([&] { return impl_->Append(entries); });
}

Result<void> LogStore::TruncateFrom(uint64_t index) {
  return impl_->RunUnlessFailed([&] { return impl_->TruncateFrom(index); });
}

Result<void> LogStore::SaveVote(const VoteRecord& vote) {
  return impl_->RunUnlessFailed([&] { return impl_->SaveVote(vote); });
}

Result<void> LogStore::SaveSnapshot(const LogSnapshot& snapshot) {
  return impl_->RunUnlessFailed([&] { return impl_->SaveSnapshot(snapshot); });
}

Result<void> LogStore::Sync() {
  return impl_->RunUnlessFailed([&] { return impl_->Sync(); });
}

Result<void> LogStore::Recover() {
  return impl_->Recover();
}

}  // namespace gooseberrygap::state
