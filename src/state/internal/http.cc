#include "state/api/http.h"

#include "absl/strings/match.h"

namespace gooseberrygap::state {

std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      absl::string_view name) {
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name_, name)) {
      return header.value_;
    }
  }
  return std::nullopt;
}

}  // namespace gooseberrygap::state
