#include "transport/internal/memory_relief.h"

#include <algorithm>
#include <utility>

namespace gooseberrygap::transport {

namespace {

// Fewer bytes in the stall time are no progress: a caller that sends single
// bytes would keep what it holds. A link of 6 Mbit/s carries more than a
// hundred times as much in 2 s.
constexpr uint64_t kMinProgressBytes = 8192;

}  // namespace

std::vector<uint64_t> MemoryRelief::Choose(const std::vector<Load>& loads,
                                           size_t wanted,
                                           state::Millis now) {
  std::map<uint64_t, Progress> progress;
  std::vector<const Load*> stalled;
  for (const Load& load : loads) {
    const auto known = progress_.find(load.connection_);
    const bool has_moved =
        known == progress_.end() || !load.waits_for_caller_ ||
        load.moved_bytes_ - known->second.moved_bytes_ >= kMinProgressBytes;
    const Progress latest =
        has_moved ? Progress{.moved_bytes_ = load.moved_bytes_, .at_ = now}
                  : known->second;
    progress.emplace(load.connection_, latest);
    if (load.held_bytes_ > 0 && now - latest.at_ >= stall_) {
      stalled.push_back(&load);
    }
  }
  progress_ = std::move(progress);
  std::sort(stalled.begin(), stalled.end(),
            [](const Load* left, const Load* right) {
              return left->held_bytes_ > right->held_bytes_;
            });
  std::vector<uint64_t> chosen;
  size_t freed = 0;
  for (const Load* load : stalled) {
    if (freed >= wanted) {
      break;
    }
    freed += load->held_bytes_;
    chosen.push_back(load->connection_);
  }
  return chosen;
}

}  // namespace gooseberrygap::transport
