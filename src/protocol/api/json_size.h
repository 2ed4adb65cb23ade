#ifndef PROTOCOL_API_JSON_SIZE_H_
#define PROTOCOL_API_JSON_SIZE_H_

#include <cstddef>

#include "absl/strings/string_view.h"
#include "state/state.h"

namespace gooseberrygap::protocol {

// Checks, before the values of a JSON text are built, that they take at most
// `max_value_bytes`, which can be 40 times the bytes of the text. Counts up to
// the first fault of the text, where a parser stops, too. Takes memory for one
// string and one bit for each level. Thread-safe.
state::Result<void> CheckJsonSize(absl::string_view text,
                                  size_t max_value_bytes);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_JSON_SIZE_H_
