#ifndef SUPPORT_ADDRESS_H_
#define SUPPORT_ADDRESS_H_

#include <netinet/in.h>

#include <string>

#include "absl/strings/string_view.h"
#include "state/state.h"

namespace gooseberrygap::test_support {

// A numeric IPv4 address with a port.
struct Address {
  const std::string host_ = {};
  const int port_ = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

// Parses "127.0.0.1:8101". Thread-safe.
state::Result<Address> ParseAddress(absl::string_view text);

// Returns "host:port". Thread-safe.
std::string ToString(const Address& address);

// Returns the form that the socket calls take. Precondition: the host is a
// numeric IPv4 address. Thread-safe.
sockaddr_in ToSocketAddress(const Address& address);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_ADDRESS_H_
