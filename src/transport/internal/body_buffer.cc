#include "transport/internal/body_buffer.h"

#include <algorithm>

namespace gooseberrygap::transport {

namespace {

constexpr size_t kMinCapacity = 4096;

}  // namespace

std::optional<size_t> NeededCapacity(const std::string& body,
                                     size_t next_bytes,
                                     size_t max_bytes) {
  const size_t needed = std::min(body.size() + next_bytes, max_bytes);
  if (needed <= body.capacity()) {
    return std::nullopt;
  }
  const size_t doubled = std::max(kMinCapacity, 2 * body.capacity());
  return std::max(needed, std::min(doubled, max_bytes));
}

void Enlarge(std::string* body, size_t capacity) {
  std::string larger;
  larger.reserve(capacity);
  larger.append(*body);
  body->swap(larger);
}

}  // namespace gooseberrygap::transport
