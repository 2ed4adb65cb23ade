#include "state/internal/log_frame.h"

#include <boost/crc.hpp>
#include <utility>
#include <vector>
#include "absl/strings/str_cat.h"

#include "state/internal/binary.h"

namespace gooseberrygap::state {

namespace {

using Crc =
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

// Number of frame header bytes covered by the header checksum.
constexpr size_t kCheckedHeaderBytes = kFrameHeaderBytes - 4;

uint32_t HeaderCrc(uint64_t salt, uint64_t offset, absl::string_view header) {
  BinaryWriter position;
  position.U64(salt);
  position.U64(offset);
  Crc crc;
  crc.process_bytes(position.bytes().data(), position.bytes().size());
  crc.process_bytes(header.data(), kCheckedHeaderBytes);
  return crc.checksum();
}

struct FrameHeader {
  const uint32_t length_ = 0;
  const uint64_t synced_offset_ = 0;
  const uint32_t payload_crc_ = 0;
};

std::optional<FrameHeader> DecodeHeader(absl::string_view file,
                                        uint64_t salt,
                                        uint64_t offset) {
  if (offset > file.size() || file.size() - offset < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const absl::string_view bytes = file.substr(offset, kFrameHeaderBytes);
  BinaryReader reader(bytes);
  const uint32_t length = reader.U32();
  const uint64_t synced = reader.U64();
  const uint32_t payload_crc = reader.U32();
  // Compare first, since it is cheap: WasSyncedBeyond calls this for every
  // remaining byte of the file.
  if (synced > offset || reader.U32() != HeaderCrc(salt, offset, bytes)) {
    return std::nullopt;
  }
  return FrameHeader{
      .length_ = length, .synced_offset_ = synced, .payload_crc_ = payload_crc};
}

// Bits of a member's flags. Folders written before kLeavingFlag existed hold 0
// or 1.
constexpr uint8_t kVoterFlag = 1;
constexpr uint8_t kLeavingFlag = 2;

void PutMembers(BinaryWriter* writer,
                const std::vector<ControlMember>& members) {
  writer->U32(static_cast<uint32_t>(members.size()));
  for (const ControlMember& member : members) {
    writer->String(member.identity_);
    writer->String(member.instance_);
    writer->String(member.address_);
    writer->U8(static_cast<uint8_t>((member.voter_ ? kVoterFlag : 0) |
                                    (member.leaving_ ? kLeavingFlag : 0)));
  }
}

std::vector<ControlMember> GetMembers(BinaryReader* reader) {
  std::vector<ControlMember> members;
  const uint32_t count = reader->U32();
  for (uint32_t i = 0; i < count && reader->valid(); ++i) {
    std::string identity = reader->String();
    std::string instance = reader->String();
    std::string address = reader->String();
    const uint8_t flags = reader->U8();
    members.push_back(ControlMember{.identity_ = std::move(identity),
                                    .instance_ = std::move(instance),
                                    .address_ = std::move(address),
                                    .voter_ = (flags & kVoterFlag) != 0,
                                    .leaving_ = (flags & kLeavingFlag) != 0});
  }
  return members;
}

}  // namespace

uint32_t Crc32c(absl::string_view bytes) {
  Crc crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string EncodeFrame(uint64_t salt,
                        uint64_t offset,
                        uint64_t synced,
                        absl::string_view payload) {
  BinaryWriter header;
  header.U32(static_cast<uint32_t>(payload.size()));
  header.U64(synced);
  header.U32(Crc32c(payload));
  header.U32(HeaderCrc(salt, offset, header.bytes()));
  return absl::StrCat(header.bytes(), payload);
}

std::optional<Frame> DecodeFrame(absl::string_view file,
                                 uint64_t salt,
                                 uint64_t offset) {
  const std::optional<FrameHeader> header = DecodeHeader(file, salt, offset);
  if (!header) {
    return std::nullopt;
  }
  const absl::string_view remaining = file.substr(offset + kFrameHeaderBytes);
  if (remaining.size() < header->length_) {
    return std::nullopt;
  }
  const absl::string_view payload = remaining.substr(0, header->length_);
  if (Crc32c(payload) != header->payload_crc_) {
    return std::nullopt;
  }
  return Frame{.synced_offset_ = header->synced_offset_, .payload_ = payload};
}

bool WasSyncedBeyond(absl::string_view file, uint64_t salt, uint64_t offset) {
  for (uint64_t at = offset + 1; at + kFrameHeaderBytes <= file.size(); ++at) {
    const std::optional<FrameHeader> header = DecodeHeader(file, salt, at);
    if (header && header->synced_offset_ > offset) {
      return true;
    }
  }
  return false;
}

std::string EncodeEntry(const LogEntry& entry) {
  BinaryWriter writer;
  writer.U64(entry.index_);
  writer.U64(entry.term_);
  writer.U8(static_cast<uint8_t>(entry.kind_));
  writer.String(entry.payload_.view());
  PutMembers(&writer, entry.members_);
  return writer.bytes();
}

std::optional<LogEntry> DecodeEntry(absl::string_view payload) {
  BinaryReader reader(payload);
  const uint64_t index = reader.U64();
  const uint64_t term = reader.U64();
  const uint8_t kind = reader.U8();
  std::string content = reader.String();
  std::vector<ControlMember> members = GetMembers(&reader);
  if (!reader.Complete() ||
      kind > static_cast<uint8_t>(LogEntryKind::kMembers)) {
    return std::nullopt;
  }
  return LogEntry{
      .index_ = index,
      .term_ = term,
      .kind_ = static_cast<LogEntryKind>(kind),
      .payload_ = content.empty() ? Bytes() : Bytes(std::move(content)),
      .members_ = std::move(members)};
}

std::string EncodeVote(const VoteRecord& vote) {
  BinaryWriter writer;
  writer.U64(vote.term_);
  writer.String(vote.voted_for_);
  return writer.bytes();
}

std::optional<VoteRecord> DecodeVote(absl::string_view payload) {
  BinaryReader reader(payload);
  const uint64_t term = reader.U64();
  std::string voted_for = reader.String();
  if (!reader.Complete()) {
    return std::nullopt;
  }
  return VoteRecord{.term_ = term, .voted_for_ = std::move(voted_for)};
}

std::string EncodeSnapshot(const LogSnapshot& snapshot) {
  BinaryWriter writer;
  writer.U64(snapshot.index_);
  writer.U64(snapshot.term_);
  PutMembers(&writer, snapshot.members_);
  writer.String(snapshot.content_.view());
  return writer.bytes();
}

std::optional<LogSnapshot> DecodeSnapshot(absl::string_view payload) {
  BinaryReader reader(payload);
  const uint64_t index = reader.U64();
  const uint64_t term = reader.U64();
  std::vector<ControlMember> members = GetMembers(&reader);
  std::string content = reader.String();
  if (!reader.Complete()) {
    return std::nullopt;
  }
  return LogSnapshot{.index_ = index,
                     .term_ = term,
                     .members_ = std::move(members),
                     .content_ = Bytes(std::move(content))};
}

}  // namespace gooseberrygap::state
