#ifndef PROTOCOL_API_CREDENTIALS_H_
#define PROTOCOL_API_CREDENTIALS_H_

#include <optional>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::protocol {

// A request's headers, with those that carry credentials set apart: an API key
// must not leave the process.
struct SplitHeaders {
  // All other headers, in their order.
  const std::vector<state::HttpHeader> headers_ = {};
  // The Authorization headers, for calls that need no key.
  const std::vector<state::HttpHeader> credentials_ = {};
  // The key of the only Authorization header, if its scheme is Bearer. An empty
  // text stands for credentials that name no key.
  const std::optional<std::string> api_key_ = {};
};

// Sets the credentials apart. Thread-safe.
SplitHeaders SplitCredentials(const std::vector<state::HttpHeader>& headers);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_CREDENTIALS_H_
