#include "transport/internal/http_message.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <iterator>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "transport/internal/http_head.h"

namespace gooseberrygap::transport {

namespace {

constexpr absl::string_view kHost = "Host";
constexpr absl::string_view kChunked = "chunked";

bool HasHost(const std::vector<state::HttpHeader>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const auto& header) {
    return absl::EqualsIgnoreCase(header.name_, kHost);
  });
}

bool UsuallyHasBody(absl::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

void AppendHeaders(const std::vector<state::HttpHeader>& headers,
                   std::string* text) {
  for (const state::HttpHeader& header : headers) {
    absl::StrAppend(text, header.name_, ": ", header.value_, "\r\n");
  }
}

}  // namespace

std::vector<state::HttpHeader> HeadersOf(
    const boost::beast::http::fields& fields) {
  std::vector<state::HttpHeader> headers;
  for (const auto& field : fields) {
    headers.push_back({.name_ = std::string(field.name_string()),
                       .value_ = std::string(field.value())});
  }
  return headers;
}

bool HasOnlyChunkedCoding(const boost::beast::http::fields& fields) {
  const auto [first, last] =
      fields.equal_range(boost::beast::http::field::transfer_encoding);
  if (first == last) {
    return true;
  }
  const auto value = first->value();
  return std::next(first) == last &&
         absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()),
                                kChunked);
}

std::string PrintRequestHead(const state::HttpRequest& request,
                             absl::string_view address) {
  const std::vector<state::HttpHeader> headers =
      EndToEndHeaders(request.headers_);
  std::string text =
      absl::StrCat(request.method_, " ", request.path_, " HTTP/1.1\r\n");
  if (!HasHost(headers)) {
    absl::StrAppend(&text, kHost, ": ", address, "\r\n");
  }
  AppendHeaders(headers, &text);
  if (!request.body_.empty() || UsuallyHasBody(request.method_)) {
    absl::StrAppend(&text, "Content-Length: ", request.body_.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n");
  return text;
}

bool IsBodiless(int status) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

std::string PrintAnswer(const state::HttpAnswer& answer,
                        bool has_body,
                        AfterAnswer after) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(answer.status_));
  std::string text = absl::StrCat("HTTP/1.1 ", answer.status_, " ",
                                  std::string(reason), "\r\n");
  AppendHeaders(EndToEndHeaders(answer.headers_), &text);
  if (after == AfterAnswer::kClose) {
    absl::StrAppend(&text, "Connection: close\r\n");
  }
  if (!IsBodiless(answer.status_)) {
    absl::StrAppend(&text, "Content-Length: ", answer.body_.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n");
  if (has_body && !IsBodiless(answer.status_)) {
    absl::StrAppend(&text, answer.body_.view());
  }
  return text;
}

bool IsSendable(const state::HttpRequest& request) {
  const auto& headers = request.headers_;
  return !request.method_.empty() && !request.path_.empty() &&
         IsHeadText(request.method_) && IsHeadText(request.path_) &&
         !absl::StrContains(request.path_, ' ') &&
         std::all_of(headers.begin(), headers.end(), [](const auto& header) {
           return IsHeadText(header.name_) && IsHeadText(header.value_);
         });
}

}  // namespace gooseberrygap::transport
