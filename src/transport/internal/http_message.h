#ifndef TRANSPORT_INTERNAL_HTTP_MESSAGE_H_
#define TRANSPORT_INTERNAL_HTTP_MESSAGE_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/state.h"

namespace gooseberrygap::transport {

// Conversions between the message heads of Boost.Beast, whose parser the
// event-driven duties use, and those of the project. All functions are
// thread-safe.

// Returns all headers, also those of the connection and of the framing.
std::vector<state::HttpHeader> HeadersOf(
    const boost::beast::http::fields& fields);

// Returns whether the message has no transfer coding but a single "chunked".
// Beast reads a body with any other coding up to the end of the connection or
// leaves the coding in the body.
bool HasOnlyChunkedCoding(const boost::beast::http::fields& fields);

// Returns the text of a request up to its body, which is not copied. A body
// length is stated when there is a body or the method usually has one. Headers
// of the connection and of the framing are left out; a Host header is added
// when there is none.
std::string PrintRequestHead(const state::HttpRequest& request,
                             absl::string_view address);

// Returns whether answers with this status have no body and state no length.
bool IsBodiless(int status);

enum class AfterAnswer { kKeepOpen, kClose };

// Returns the text of an answer. `has_body` is false for an answer to HEAD.
std::string PrintAnswer(const state::HttpAnswer& answer,
                        bool has_body,
                        AfterAnswer after);

// Without this check a line end in a value would start another header.
bool IsSendable(const state::HttpRequest& request);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_HTTP_MESSAGE_H_
