#include "transport/internal/http_head.h"

#include <algorithm>
#include <array>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

namespace gooseberrygap::transport {

namespace {

constexpr absl::string_view kLineEnd = "\r\n";
constexpr absl::string_view kHeadEnd = "\r\n\r\n";
constexpr absl::string_view kContentLength = "Content-Length";
constexpr absl::string_view kTransferEncoding = "Transfer-Encoding";
constexpr absl::string_view kConnection = "Connection";

// Headers of one connection, of the framing of one message, and those by which
// httplib tells its handlers the addresses of the socket.
constexpr std::array<absl::string_view, 16> kNotEndToEnd = {
    kConnection,
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Upgrade",
    kTransferEncoding,
    kContentLength,
    "Expect",
    "REMOTE_ADDR",
    "REMOTE_PORT",
    "LOCAL_ADDR",
    "LOCAL_PORT",
    "Proxy-Authorization",
    "HTTP2-Settings"};

bool IsTokenCharacter(char c) {
  return absl::ascii_isalnum(c) || absl::StrContains("!#$%&'*+-.^_`|~", c);
}

bool IsWellFormedLine(absl::string_view line) {
  const size_t colon = line.find(':');
  if (colon == absl::string_view::npos || colon == 0) {
    return false;
  }
  const absl::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
    return false;
  }
  // httplib drops headers without a value; the framing must not get lost.
  const bool framing = absl::EqualsIgnoreCase(name, kContentLength) ||
                       absl::EqualsIgnoreCase(name, kTransferEncoding);
  return !framing ||
         !absl::StripAsciiWhitespace(line.substr(colon + 1)).empty();
}

std::vector<absl::string_view> LinesOf(absl::string_view head) {
  std::vector<absl::string_view> lines = absl::StrSplit(head, kLineEnd);
  // The line end of the last header and the blank line leave two empty pieces.
  lines.resize(lines.size() - std::min<size_t>(lines.size(), 2));
  return lines;
}

std::optional<size_t> ParseLength(absl::string_view text) {
  size_t length = 0;
  if (!std::all_of(text.begin(), text.end(), absl::ascii_isdigit) ||
      !absl::SimpleAtoi(text, &length)) {
    return std::nullopt;
  }
  return length;
}

bool IsNamed(const std::vector<absl::string_view>& tokens,
             absl::string_view name) {
  return std::any_of(tokens.begin(), tokens.end(), [&](absl::string_view t) {
    return absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(t), name);
  });
}

// Works on pairs of name and value, which both kinds of lists convert to.
std::vector<state::HttpHeader> Filter(std::vector<state::HttpHeader> headers) {
  std::vector<absl::string_view> tokens;
  for (const state::HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name_, kConnection)) {
      for (const absl::string_view token : absl::StrSplit(header.value_, ',')) {
        tokens.push_back(token);
      }
    }
  }
  std::vector<state::HttpHeader> kept;
  for (const state::HttpHeader& header : headers) {
    const bool excluded =
        IsNamed(tokens, header.name_) ||
        std::any_of(kNotEndToEnd.begin(), kNotEndToEnd.end(),
                    [&](absl::string_view name) {
                      return absl::EqualsIgnoreCase(name, header.name_);
                    });
    if (!excluded) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace

size_t HeadSize(absl::string_view bytes) {
  const size_t end = bytes.find(kHeadEnd);
  return end == absl::string_view::npos ? 0 : end + kHeadEnd.size();
}

bool IsWellFormedHead(absl::string_view head) {
  const std::vector<absl::string_view> lines = LinesOf(head);
  for (size_t i = 0; i < lines.size(); ++i) {
    if (!IsHeadText(lines[i]) || (i > 0 && !IsWellFormedLine(lines[i]))) {
      return false;
    }
  }
  return !lines.empty();
}

bool HasFoldedLine(absl::string_view head) {
  return absl::StrContains(head, "\r\n ") || absl::StrContains(head, "\r\n\t");
}

bool FitsLineLimit(absl::string_view escaped_head) {
  const std::vector<absl::string_view> lines = LinesOf(escaped_head);
  return std::all_of(lines.begin(), lines.end(), [](absl::string_view line) {
    return line.size() + kLineEnd.size() <= CPPHTTPLIB_HEADER_MAX_LENGTH;
  });
}

std::string EscapeHead(absl::string_view head) {
  const size_t first_line = head.find(kLineEnd);
  std::string escaped(head.substr(0, first_line));
  escaped += absl::StrReplaceAll(head.substr(first_line), {{"%", "%25"}});
  return escaped;
}

Framing FramingOf(const httplib::Headers& headers, size_t* length) {
  const auto encodings = headers.equal_range(std::string(kTransferEncoding));
  const auto lengths = headers.equal_range(std::string(kContentLength));
  const bool has_length = lengths.first != lengths.second;
  if (encodings.first != encodings.second) {
    const bool chunked =
        std::next(encodings.first) == encodings.second &&
        absl::EqualsIgnoreCase(encodings.first->second, "chunked");
    return chunked && !has_length ? Framing::kChunked : Framing::kInvalid;
  }
  if (!has_length) {
    return Framing::kNone;
  }
  const std::optional<size_t> parsed = ParseLength(lengths.first->second);
  for (auto it = lengths.first; it != lengths.second; ++it) {
    if (!parsed || it->second != lengths.first->second) {
      return Framing::kInvalid;
    }
  }
  *length = *parsed;
  return Framing::kLength;
}

std::vector<state::HttpHeader> EndToEndHeaders(
    const httplib::Headers& headers) {
  std::vector<state::HttpHeader> list;
  for (const auto& [name, value] : headers) {
    list.push_back({.name_ = name, .value_ = value});
  }
  return Filter(std::move(list));
}

std::vector<state::HttpHeader> EndToEndHeaders(
    const std::vector<state::HttpHeader>& headers) {
  return Filter(headers);
}

bool HasConnectionToken(const httplib::Headers& headers,
                        absl::string_view token) {
  const auto range = headers.equal_range(std::string(kConnection));
  return std::any_of(range.first, range.second, [&](const auto& header) {
    return IsNamed(absl::StrSplit(header.second, ','), token);
  });
}

bool IsHeadText(absl::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return c != '\t' && absl::ascii_iscntrl(c);
  });
}

}  // namespace gooseberrygap::transport
