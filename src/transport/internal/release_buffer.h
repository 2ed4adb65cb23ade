#ifndef TRANSPORT_INTERNAL_RELEASE_BUFFER_H_
#define TRANSPORT_INTERNAL_RELEASE_BUFFER_H_

#include <string>

namespace gooseberrygap::transport {

// Empties the string and frees its buffer. Assigning an empty string, or
// `clear`, keeps the buffer. Thread-safe.
inline void ReleaseBuffer(std::string* buffer) {
  std::string().swap(*buffer);
}

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_RELEASE_BUFFER_H_
