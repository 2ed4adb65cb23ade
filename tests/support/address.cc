#include "support/address.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace gooseberrygap::test_support {

state::Result<Address> ParseAddress(absl::string_view text) {
  const size_t colon = text.rfind(':');
  const std::string host(text.substr(0, colon));
  in_addr parsed = {};
  int port = 0;
  if (colon == absl::string_view::npos ||
      inet_pton(AF_INET, host.c_str(), &parsed) != 1 ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 1 ||
      port > 65535) {
    return state::MakeError(
        state::ErrorKind::kInvalidSettings,
        absl::StrCat("'", text, "' is not an address such as 127.0.0.1:8101"));
  }
  return Address{.host_ = host, .port_ = port};
}

std::string ToString(const Address& address) {
  return absl::StrCat(address.host_, ":", address.port_);
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port_));
  inet_pton(AF_INET, address.host_.c_str(), &result.sin_addr);
  return result;
}

}  // namespace gooseberrygap::test_support
