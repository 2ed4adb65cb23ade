#ifndef TRANSPORT_INTERNAL_CHUNK_CHECK_H_
#define TRANSPORT_INTERNAL_CHUNK_CHECK_H_

#include <cstddef>
#include "absl/strings/string_view.h"

namespace gooseberrygap::transport {

// Follows a chunked body while httplib reads it. httplib 0.11.4 takes a body
// with a broken chunk end for one that has ended there; this check finds out
// whether the last chunk was reached in order. Trailer fields are refused, as
// httplib does. Not thread-safe.
class ChunkCheck {
 public:
  // Takes the next bytes of the body.
  void Take(absl::string_view bytes);
  // Returns whether the body was well-formed and has ended.
  bool complete() const { return state_ == State::kComplete; }
  // Returns whether the body is malformed, whatever follows.
  bool failed() const { return state_ == State::kFailed; }

 private:
  enum class State {
    kSize,
    kExtension,
    kSizeEnd,  // After its CR.
    kData,
    kDataEnd,
    kDataLineEnd,  // After its CR.
    kLastEnd,
    kLastLineEnd,  // After its CR.
    kComplete,
    kFailed,
    kCount,
  };
  using Step = State (ChunkCheck::*)(char);

  void TakeOne(char c);
  State InSize(char c);
  State InExtension(char c);
  State AtSizeEnd(char c);
  State InData(char c);
  State AtDataEnd(char c);
  State AtDataLineEnd(char c);
  State AtLastEnd(char c);
  State AtLastLineEnd(char c);
  State Fail(char c);

  State state_ = State::kSize;
  size_t digits_ = 0;           // Of the size so far.
  size_t left_ = 0;             // Of the chunk.
  size_t extension_bytes_ = 0;  // Of the chunk's size line so far.
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_CHUNK_CHECK_H_
