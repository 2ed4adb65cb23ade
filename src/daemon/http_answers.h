#ifndef DAEMON_HTTP_ANSWERS_H_
#define DAEMON_HTTP_ANSWERS_H_

#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "protocol/protocol.h"

namespace gooseberrygap::daemon {

// Answers of the administration endpoints. Thread-safe.

inline state::HttpAnswer Json(int status, std::string body) {
  return state::HttpAnswer{
      .status_ = status,
      .headers_ = {state::HttpHeader{.name_ = "Content-Type",
                                     .value_ = "application/json"}},
      .body_ = state::Bytes(std::move(body))};
}

inline state::HttpAnswer ErrorAnswer(int status, const state::Error& error) {
  return Json(status, protocol::PrintError(error));
}

inline state::HttpAnswer ErrorAnswer(int status,
                                     state::ErrorKind kind,
                                     absl::string_view what) {
  return ErrorAnswer(status, state::MakeError(kind, what));
}

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_HTTP_ANSWERS_H_
