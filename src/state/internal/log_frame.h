#ifndef STATE_INTERNAL_LOG_FRAME_H_
#define STATE_INTERNAL_LOG_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include "absl/strings/string_view.h"

#include "state/api/log.h"

namespace gooseberrygap::state {

// Bytes of a frame before its payload: length, synced offset, checksum of the
// payload, checksum of the header.
inline constexpr size_t kFrameHeaderBytes = 4 + 8 + 4 + 4;

// A checksummed record of a file.
struct Frame {
  // The file was durable up to this offset when the frame was written.
  const uint64_t synced_ = 0;
  const absl::string_view payload_ = {};
};

// Returns the CRC-32C of `bytes`. Thread-safe.
uint32_t Crc32c(absl::string_view bytes);

// Returns a frame for the position `offset` of the file whose random number is
// `salt`. The checksum covers both, so that a payload that contains a frame, or
// bytes left over from another file, never pass for a frame. Thread-safe.
std::string EncodeFrame(uint64_t salt,
                        uint64_t offset,
                        uint64_t synced,
                        absl::string_view payload);

// Returns the frame at `offset` of `file`, or nothing if it is incomplete or a
// checksum fails. Thread-safe.
std::optional<Frame> DecodeFrame(absl::string_view file,
                                 uint64_t salt,
                                 uint64_t offset);

// Returns whether a frame behind `offset` proves that the file was durable
// beyond `offset`. A bad frame at `offset` is then damage and not a write that
// a crash cut short. Thread-safe.
bool WasSyncedBeyond(absl::string_view file, uint64_t salt, uint64_t offset);

// Payloads. Decoding returns nothing for bytes that the encoding cannot give.
// Thread-safe.
std::string EncodeEntry(const LogEntry& entry);
std::optional<LogEntry> DecodeEntry(absl::string_view payload);
std::string EncodeVote(const VoteRecord& vote);
std::optional<VoteRecord> DecodeVote(absl::string_view payload);
std::string EncodeSnapshot(const LogSnapshot& snapshot);
std::optional<LogSnapshot> DecodeSnapshot(absl::string_view payload);

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_LOG_FRAME_H_
