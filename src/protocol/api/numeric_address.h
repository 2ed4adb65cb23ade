#ifndef PROTOCOL_API_NUMERIC_ADDRESS_H_
#define PROTOCOL_API_NUMERIC_ADDRESS_H_

#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace gooseberrygap::protocol {

// A numeric IPv4 address with its port.
struct NumericAddress {
  const std::string host_ = {};
  const int port_ = 0;

  friend bool operator==(const NumericAddress&,
                         const NumericAddress&) = default;
};

// Returns the parts of an address such as "127.0.0.1:8101", or nothing when it
// has another form. The port is from 1 to 65535. Thread-safe.
std::optional<NumericAddress> ParseNumericAddress(absl::string_view text);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_NUMERIC_ADDRESS_H_
