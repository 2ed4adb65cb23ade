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

// A record of a file, protected by a checksum.
struct Frame {
  // Offset up to which the file was durable when the frame was written.
  const uint64_t synced_offset_ = 0;
  const absl::string_view payload_ = {};
};

// Returns the CRC-32C of `bytes`. Thread-safe.
uint32_t Crc32c(absl::string_view bytes);

// Returns a frame for the position `offset` of the file with the random number
// `salt`. The header checksum covers both, so that neither a frame inside a
// payload nor leftover bytes of another file are accepted as a frame.
// Thread-safe.
std::string EncodeFrame(uint64_t salt,
                        uint64_t offset,
                        uint64_t synced,
                        absl::string_view payload);

// Returns the frame at `offset` of `file`, or nullopt if it is incomplete or a
// checksum does not match. Thread-safe.
std::optional<Frame> DecodeFrame(absl::string_view file,
                                 uint64_t salt,
                                 uint64_t offset);

// Returns whether a frame after `offset` shows that the file was durable beyond
// `offset`. An invalid frame at `offset` is then corruption, not a write that a
// crash interrupted. Thread-safe.
bool WasSyncedBeyond(absl::string_view file, uint64_t salt, uint64_t offset);

// Encode and decode payloads. Decoding returns nullopt for malformed bytes.
// Thread-safe.
std::string EncodeEntry(const LogEntry& entry);
std::optional<LogEntry> DecodeEntry(absl::string_view payload);
std::string EncodeVote(const VoteRecord& vote);
std::optional<VoteRecord> DecodeVote(absl::string_view payload);
std::string EncodeSnapshot(const LogSnapshot& snapshot);
std::optional<LogSnapshot> DecodeSnapshot(absl::string_view payload);

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_LOG_FRAME_H_
