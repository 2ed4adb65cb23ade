#ifndef SUPPORT_FAULT_PROXY_SPLITTER_H_
#define SUPPORT_FAULT_PROXY_SPLITTER_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "state/state.h"

namespace gooseberrygap::test_support {

// A part of a byte stream that is passed on as a whole.
struct Piece {
  // Only whole messages are duplicated, reordered and dropped.
  const bool is_message_ = false;
  // Field number of the message inside the protobuf Envelope; 0 when unknown.
  const int kind_ = 0;
  const state::Bytes bytes_ = {};

  friend bool operator==(const Piece&, const Piece&) = default;
};

// Cuts the bytes of one direction of a connection into pieces. Not thread-safe.
class Splitter {
 public:
  virtual ~Splitter() = default;
  // Appends the pieces that `bytes` completes.
  virtual void Push(absl::string_view bytes, std::vector<Piece>* pieces) = 0;
};

// Returns the splitter for "tcp" or "peer", or null for another kind.
// Thread-safe.
std::unique_ptr<Splitter> MakeSplitter(absl::string_view kind);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_SPLITTER_H_
