#include "state/internal/log_segment.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include "state/internal/binary.h"
#include "state/internal/log_frame.h"

namespace gooseberrygap::state {

namespace {

// First bytes of every file; the digit is the format version.
constexpr absl::string_view kMagic = "GGAPLOG1";
constexpr absl::string_view kSegmentPrefix = "log-";
// Salt of a file's first frame, which is read before the file's own salt is
// known.
constexpr uint64_t kNoSalt = 0;

Error CorruptError(const std::string& path, absl::string_view what) {
  return MakeError(ErrorKind::kCorruptLog, absl::StrCat(path, ": ", what));
}

// Decodes the record at the start of every file.
std::optional<Frame> DecodeFirstFrame(absl::string_view content) {
  if (!absl::StartsWith(content, kMagic)) {
    return std::nullopt;
  }
  return DecodeFrame(content, kNoSalt, kMagic.size());
}

uint64_t RandomSalt() {
  std::random_device device;
  return (uint64_t{device()} << 32U) | device();
}

std::string SegmentName(uint64_t first_index) {
  return absl::StrCat(kSegmentPrefix, absl::Dec(first_index, absl::kZeroPad20));
}

}  // namespace

std::string EncodeRecordFile(absl::string_view payload) {
  return absl::StrCat(kMagic, EncodeFrame(kNoSalt, kMagic.size(), 0, payload));
}

Result<std::string> ReadRecordFile(const std::string& path) {
  BOOST_OUTCOME_TRY(content, ReadWholeFile(path));
  const std::optional<Frame> frame = DecodeFirstFrame(content);
  if (!frame || content.size() != kMagic.size() + kFrameHeaderBytes +
                                      frame->payload_.size()) {
    return CorruptError(path,
                        "the file does not hold exactly one valid record");
  }
  return std::string(frame->payload_);
}

bool LogSegment::IsSegmentName(absl::string_view name) {
  uint64_t index = 0;
  return absl::ConsumePrefix(&name, kSegmentPrefix) &&
         absl::SimpleAtoi(name, &index);
}

uint64_t LogSegment::FirstIndexOf(absl::string_view name) {
  uint64_t index = 0;
  absl::ConsumePrefix(&name, kSegmentPrefix);
  return absl::SimpleAtoi(name, &index) ? index : 0;
}

std::string LogSegment::PathOf(const std::string& folder,
                               uint64_t first_index) {
  return absl::StrCat(folder, "/", SegmentName(first_index));
}

Result<LogSegment> LogSegment::Create(const std::string& folder,
                                      uint64_t first_index) {
  LogSegment segment;
  const std::string name = SegmentName(first_index);
  segment.path_ = PathOf(folder, first_index);
  segment.first_index_ = first_index;
  segment.salt_ = RandomSalt();
  BinaryWriter header;
  header.U64(segment.salt_);
  header.U64(first_index);
  const std::string content = EncodeRecordFile(header.bytes());
  BOOST_OUTCOME_TRYV(ReplaceFile(folder, name, content));
  segment.size_ = content.size();
  segment.durable_offset_ = content.size();
  BOOST_OUTCOME_TRY(file, OpenForAppend(segment.path_));
  segment.file_ = std::move(file);
  return segment;
}

Result<LogSegment> LogSegment::Open(const std::string& folder,
                                    const std::string& name,
                                    bool is_last,
                                    std::vector<LogEntry>* entries) {
  LogSegment segment;
  segment.path_ = absl::StrCat(folder, "/", name);
  BOOST_OUTCOME_TRY(content, ReadWholeFile(segment.path_));
  // The file is renamed to its name only after the header is durable, so the
  // header is never incomplete.
  const std::optional<Frame> frame = DecodeFirstFrame(content);
  if (!frame) {
    return CorruptError(segment.path_,
                        "the file header has a wrong format or checksum");
  }
  BinaryReader header(frame->payload_);
  segment.salt_ = header.U64();
  segment.first_index_ = header.U64();
  if (!header.Complete() || segment.first_index_ != FirstIndexOf(name)) {
    return CorruptError(
        segment.path_,
        "the first index in the header differs from the file name");
  }
  segment.size_ = kMagic.size() + kFrameHeaderBytes + frame->payload_.size();
  BOOST_OUTCOME_TRYV(segment.ReadFrames(content, entries));
  BOOST_OUTCOME_TRY(file, OpenForAppend(segment.path_));
  segment.file_ = std::move(file);
  if (segment.size_ < content.size()) {
    BOOST_OUTCOME_TRYV(
        TruncateFile(segment.file_.get(), segment.size_, segment.path_));
  } else if (is_last) {
    // The content may have been read from the page cache without ever having
    // been synced.
    BOOST_OUTCOME_TRYV(SyncFile(segment.file_.get(), segment.path_));
  }
  segment.durable_offset_ = segment.size_;
  return segment;
}

Result<void> LogSegment::ReadFrames(absl::string_view content,
                                    std::vector<LogEntry>* entries) {
  while (size_ < content.size()) {
    const std::optional<Frame> frame = DecodeFrame(content, salt_, size_);
    if (!frame) {
      if (WasSyncedBeyond(content, salt_, size_)) {
        return CorruptError(
            path_,
            absl::StrCat("bad checksum at byte ", size_,
                         ", within the part of the log that was durable"));
      }
      break;
    }
    if (!frame->payload_.empty()) {
      std::optional<LogEntry> entry = DecodeEntry(frame->payload_);
      if (!entry || entry->index_ != next_index()) {
        return CorruptError(
            path_, absl::StrCat("the record at byte ", size_, " is not entry ",
                                next_index()));
      }
      entries->push_back(*std::move(entry));
      frame_offsets_.push_back(size_);
    }
    size_ += kFrameHeaderBytes + frame->payload_.size();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogSegment::Append(absl::Span<const LogEntry> entries) {
  std::string bytes;
  for (const LogEntry& entry : entries) {
    const uint64_t offset = size_ + bytes.size();
    frame_offsets_.push_back(offset);
    bytes += EncodeFrame(salt_, offset, durable_offset_, EncodeEntry(entry));
  }
  size_ += bytes.size();
  has_unsynced_entries_ = true;
  return WriteAll(file_.get(), bytes, path_);
}

Result<void> LogSegment::Sync() {
  if (!has_unsynced_entries_) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  BOOST_OUTCOME_TRYV(SyncFile(file_.get(), path_));
  durable_offset_ = size_;
  has_unsynced_entries_ = false;
  // The marker itself need not be durable: without it, corruption of the last
  // entries is treated as a write that a crash interrupted.
  const std::string sync_marker =
      EncodeFrame(salt_, size_, durable_offset_, "");
  size_ += sync_marker.size();
  return WriteAll(file_.get(), sync_marker, path_);
}

Result<void> LogSegment::TruncateFrom(uint64_t index) {
  if (index >= next_index()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  size_ = frame_offsets_[index - first_index_];
  frame_offsets_.resize(index - first_index_);
  durable_offset_ = std::min(durable_offset_, size_);
  BOOST_OUTCOME_TRYV(TruncateFile(file_.get(), size_, path_));
  durable_offset_ = size_;
  has_unsynced_entries_ = false;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogSegment::DiscardUnsynced() {
  while (!frame_offsets_.empty() && frame_offsets_.back() >= durable_offset_) {
    frame_offsets_.pop_back();
  }
  size_ = durable_offset_;
  has_unsynced_entries_ = false;
  return TruncateFile(file_.get(), size_, path_);
}

}  // namespace gooseberrygap::state
