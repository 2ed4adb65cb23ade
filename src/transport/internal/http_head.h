#ifndef TRANSPORT_INTERNAL_HTTP_HEAD_H_
#define TRANSPORT_INTERNAL_HTTP_HEAD_H_

#include <httplib.h>

#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/state.h"

namespace gooseberrygap::transport {

// Checks and conversions around the message heads that cpp-httplib parses. All
// functions are thread-safe.

// Returns the size of the head at the start of `bytes` with its blank line, or
// 0 when the head is not complete.
size_t HeadSize(absl::string_view bytes);

// Returns whether the lines of a complete head follow the grammar. httplib
// skips lines that do not, which would let a request pass with another framing
// than the one its sender meant.
bool IsWellFormedHead(absl::string_view head);

// Returns whether a line of the head continues the one before it. A length or a
// transfer coding in such a line belongs to the other header's value.
bool HasFoldedLine(absl::string_view head);

// Returns whether httplib takes each line of the escaped head.
bool FitsLineLimit(absl::string_view escaped_head);

// Returns the head with '%' in header values escaped, since httplib decodes
// percent-encoding there and would change the values.
std::string EscapeHead(absl::string_view head);

enum class Framing {
  kNone,    // Neither a length nor an encoding is stated.
  kLength,  // Content-Length.
  kChunked,
  kInvalid,  // Contradictory, malformed or not supported.
};

// Returns how the end of the body is marked; for kLength sets `length`.
Framing FramingOf(const httplib::Headers& headers, size_t* length);

// Returns the headers that are meant for the other end: without those of the
// connection, of the framing and those that httplib adds itself.
std::vector<state::HttpHeader> EndToEndHeaders(const httplib::Headers& headers);
std::vector<state::HttpHeader> EndToEndHeaders(
    const std::vector<state::HttpHeader>& headers);

// Returns whether a Connection header of the message holds `token`.
bool HasConnectionToken(const httplib::Headers& headers,
                        absl::string_view token);

// Returns whether the text can stand in a head: without control characters.
bool IsHeadText(absl::string_view text);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_HTTP_HEAD_H_
