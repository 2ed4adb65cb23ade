#ifndef STATE_API_HTTP_H_
#define STATE_API_HTTP_H_

#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/api/bytes.h"

namespace gooseberrygap::state {

struct HttpHeader {
  const std::string name_ = {};
  const std::string value_ = {};

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

struct HttpRequest {
  const std::string method_ = {};
  // Path with the query, without the service name.
  const std::string path_ = {};
  const std::vector<HttpHeader> headers_ = {};
  const Bytes body_ = {};

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

struct HttpAnswer {
  const int status_ = 0;
  const std::vector<HttpHeader> headers_ = {};
  const Bytes body_ = {};

  friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};

// Returns the value of the first header with that name, compared without regard
// to case, or nullopt. Thread-safe.
std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      absl::string_view name);

}  // namespace gooseberrygap::state

#endif  // STATE_API_HTTP_H_
