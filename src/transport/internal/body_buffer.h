#ifndef TRANSPORT_INTERNAL_BODY_BUFFER_H_
#define TRANSPORT_INTERNAL_BODY_BUFFER_H_

#include <cstddef>
#include <optional>
#include <string>

namespace gooseberrygap::transport {

// The buffer of a body whose length is not known beforehand. It grows by
// explicit steps, so that each can be charged before it is allocated. Both
// functions are thread-safe.

// Returns the capacity that the body needs to take `next_bytes` more, or
// nothing when it has room. A body never grows beyond `max_bytes`.
std::optional<size_t> NeededCapacity(const std::string& body,
                                     size_t next_bytes,
                                     size_t max_bytes);

// Moves the body to a buffer of that capacity.
void Enlarge(std::string* body, size_t capacity);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_BODY_BUFFER_H_
