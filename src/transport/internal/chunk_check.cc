#include "transport/internal/chunk_check.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"

namespace gooseberrygap::transport {

namespace {

// Bounds the size of a chunk to 2^60 bytes, so that it cannot overflow.
constexpr size_t kMaxSizeDigits = 15;
// Longest extension of a chunk's size line. httplib keeps the line in memory.
constexpr size_t kMaxExtensionBytes = 4096;

size_t HexValue(char c) {
  return absl::ascii_isdigit(c) ? c - '0' : absl::ascii_tolower(c) - 'a' + 10;
}

}  // namespace

void ChunkCheck::Take(absl::string_view bytes) {
  while (!bytes.empty()) {
    const size_t data =
        state_ == State::kData ? std::min(left_ - 1, bytes.size()) : 0;
    left_ -= data;
    bytes.remove_prefix(data);
    if (!bytes.empty()) {
      TakeOne(bytes.front());
      bytes.remove_prefix(1);
    }
  }
}

void ChunkCheck::TakeOne(char c) {
  static constexpr std::array<Step, static_cast<size_t>(State::kCount)> kSteps =
      {&ChunkCheck::InSize,    &ChunkCheck::InExtension,
       &ChunkCheck::AtSizeEnd, &ChunkCheck::InData,
       &ChunkCheck::AtDataEnd, &ChunkCheck::AtDataLineEnd,
       &ChunkCheck::AtLastEnd, &ChunkCheck::AtLastLineEnd,
       &ChunkCheck::Fail,      &ChunkCheck::Fail};
  state_ = (this->*kSteps[static_cast<size_t>(state_)])(c);
}

ChunkCheck::State ChunkCheck::InSize(char c) {
  if (absl::ascii_isxdigit(c) && digits_ < kMaxSizeDigits) {
    left_ = left_ * 16 + HexValue(c);
    ++digits_;
    return State::kSize;
  }
  return digits_ == 0 ? State::kFailed : InExtension(c);
}

ChunkCheck::State ChunkCheck::InExtension(char c) {
  if (c == '\r') {
    extension_bytes_ = 0;
    return State::kSizeEnd;
  }
  ++extension_bytes_;
  const bool starts = c == ';' || c == ' ';
  return c != '\n' && (starts || state_ == State::kExtension) &&
                 extension_bytes_ <= kMaxExtensionBytes
             ? State::kExtension
             : State::kFailed;
}

ChunkCheck::State ChunkCheck::AtSizeEnd(char c) {
  digits_ = 0;
  if (c != '\n') {
    return State::kFailed;
  }
  return left_ == 0 ? State::kLastEnd : State::kData;
}

ChunkCheck::State ChunkCheck::InData(char) {
  --left_;
  return left_ == 0 ? State::kDataEnd : State::kData;
}

ChunkCheck::State ChunkCheck::AtDataEnd(char c) {
  return c == '\r' ? State::kDataLineEnd : State::kFailed;
}

ChunkCheck::State ChunkCheck::AtDataLineEnd(char c) {
  return c == '\n' ? State::kSize : State::kFailed;
}

ChunkCheck::State ChunkCheck::AtLastEnd(char c) {
  return c == '\r' ? State::kLastLineEnd : State::kFailed;
}

ChunkCheck::State ChunkCheck::AtLastLineEnd(char c) {
  return c == '\n' ? State::kComplete : State::kFailed;
}

ChunkCheck::State ChunkCheck::Fail(char) {
  return State::kFailed;
}

}  // namespace gooseberrygap::transport
