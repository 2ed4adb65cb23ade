#include <arpa/inet.h>

#include <algorithm>
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

constexpr int kMaxPort = 65535;

// The name resolver and sign characters are kept out: only digits, no leading
// zero.
std::optional<int> ParsePort(absl::string_view text) {
  int port = 0;
  const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(static_cast<uint8_t>(c));
  });
  if (!digits || text.empty() || text.front() == '0' ||
      !absl::SimpleAtoi(text, &port) || port > kMaxPort) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::optional<NumericAddress> ParseNumericAddress(absl::string_view text) {
  const size_t colon = text.find(':');
  if (colon == absl::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  const std::optional<int> port = ParsePort(text.substr(colon + 1));
  in_addr parsed = {};
  if (!port.has_value() || host.find('\0') != std::string::npos ||
      inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return NumericAddress{.host_ = host, .port_ = *port};
}

}  // namespace gooseberrygap::protocol
