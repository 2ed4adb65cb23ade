#include "protocol/api/credentials.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace gooseberrygap::protocol {

namespace {

constexpr absl::string_view kAuthorization = "Authorization";
constexpr absl::string_view kBearer = "Bearer ";

std::string BearerKey(absl::string_view value) {
  const absl::string_view text = absl::StripAsciiWhitespace(value);
  return absl::StartsWithIgnoreCase(text, kBearer)
             ? std::string(
                   absl::StripAsciiWhitespace(text.substr(kBearer.size())))
             : std::string();
}

}  // namespace

SplitHeaders SplitCredentials(const std::vector<state::HttpHeader>& headers) {
  std::vector<state::HttpHeader> others;
  std::vector<state::HttpHeader> credentials;
  others.reserve(headers.size());
  for (const state::HttpHeader& header : headers) {
    const bool is_credential =
        absl::EqualsIgnoreCase(header.name_, kAuthorization);
    (is_credential ? credentials : others).push_back(header);
  }
  std::optional<std::string> api_key;
  if (!credentials.empty()) {
    api_key = credentials.size() == 1 ? BearerKey(credentials.front().value_)
                                      : std::string();
  }
  return SplitHeaders{.headers_ = std::move(others),
                      .credentials_ = std::move(credentials),
                      .api_key_ = std::move(api_key)};
}

}  // namespace gooseberrygap::protocol
