#ifndef TRANSPORT_INTERNAL_MEMORY_RELIEF_H_
#define TRANSPORT_INTERNAL_MEMORY_RELIEF_H_

#include <cstdint>
#include <map>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::transport {

// Decides which connections are closed while a server lacks room: of those that
// have made hardly any progress, the ones that hold most. Not thread-safe.
class MemoryRelief {
 public:
  struct Load {
    const uint64_t connection_ = 0;
    const size_t held_bytes_ = 0;
    const uint64_t moved_bytes_ = 0;  // Received and sent so far.
    // The next step is the caller's: to send on, or to read its answer.
    const bool waits_for_caller_ = false;

    friend bool operator==(const Load&, const Load&) = default;
  };

  // `stall` is the time without progress after which a connection may be
  // closed.
  explicit MemoryRelief(state::Millis stall) : stall_(stall) {}

  // Returns the connections to close so that `wanted` bytes become free, as far
  // as that is possible. Call it with all connections, at least twice in the
  // stall time, also when nothing is wanted.
  std::vector<uint64_t> Choose(const std::vector<Load>& loads,
                               size_t wanted,
                               state::Millis now);

 private:
  struct Progress {
    uint64_t moved_bytes_ = 0;
    state::Millis at_;
  };

  const state::Millis stall_;
  std::map<uint64_t, Progress> progress_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_MEMORY_RELIEF_H_
