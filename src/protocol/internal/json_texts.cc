#include "protocol/internal/json_texts.h"

#include <algorithm>
#include "absl/strings/ascii.h"

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

constexpr size_t kMaxServiceName = 63;
constexpr size_t kMaxName = 128;
constexpr size_t kMaxMethod = 16;
constexpr size_t kMaxPathPrefix = 1024;
constexpr size_t kMaxFolder = 4096;

template <class Predicate>
bool All(absl::string_view text, Predicate predicate) {
  return std::all_of(text.begin(), text.end(), predicate);
}

}  // namespace

bool IsServiceName(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxServiceName &&
         absl::ascii_islower(text.front()) && All(text, [](uint8_t c) {
           return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-';
         });
}

bool IsName(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxName &&
         absl::ascii_isalnum(text.front()) && All(text, [](uint8_t c) {
           return absl::ascii_isalnum(c) || c == '.' || c == ':' || c == '_' ||
                  c == '-';
         });
}

bool IsMethod(absl::string_view text) {
  return text.size() <= kMaxMethod && All(text, absl::ascii_isupper);
}

bool IsPathPrefix(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxPathPrefix &&
         text.front() == '/' && All(text, absl::ascii_isgraph);
}

bool IsFolder(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxFolder &&
         text.find('\0') == absl::string_view::npos;
}

bool IsAddress(absl::string_view text) {
  return ParseNumericAddress(text).has_value();
}

bool IsAddressOrEmpty(absl::string_view text) {
  return text.empty() || IsAddress(text);
}

bool IsAnything(absl::string_view) {
  return true;
}

}  // namespace gooseberrygap::protocol
