#include "transport/internal/socket_address.h"

#include <netdb.h>

#include <cstring>
#include <memory>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace gooseberrygap::transport {

state::Result<SocketAddress> ParseSocketAddress(const std::string& text) {
  const state::Error invalid = state::MakeError(
      state::ErrorKind::kInvalidSettings,
      absl::StrCat("'", text, "' is not a numeric address with a port."));
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return invalid;
  }
  absl::string_view host = absl::string_view(text).substr(0, colon);
  if (absl::ConsumePrefix(&host, "[") && !absl::ConsumeSuffix(&host, "]")) {
    return invalid;
  }
  int port = 0;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port)) {
    return invalid;
  }
  addrinfo hints = {};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* list = nullptr;
  if (getaddrinfo(std::string(host).c_str(), text.c_str() + colon + 1, &hints,
                  &list) != 0) {
    return invalid;
  }
  const std::unique_ptr<addrinfo, void (*)(addrinfo*)> owner(list,
                                                             freeaddrinfo);
  sockaddr_storage storage = {};
  memcpy(&storage, list->ai_addr, list->ai_addrlen);
  return SocketAddress{.host_ = std::string(host),
                       .port_ = port,
                       .storage_ = storage,
                       .size_ = list->ai_addrlen};
}

}  // namespace gooseberrygap::transport
