#ifndef PROTOCOL_INTERNAL_JSON_TEXTS_H_
#define PROTOCOL_INTERNAL_JSON_TEXTS_H_

#include "absl/strings/string_view.h"

#include "protocol/internal/json_kinds.h"

namespace gooseberrygap::protocol {

// Kinds of strings that documents contain. Thread-safe.

bool IsServiceName(absl::string_view text);
bool IsName(absl::string_view text);
bool IsMethod(absl::string_view text);
bool IsPathPrefix(absl::string_view text);
bool IsFolder(absl::string_view text);
bool IsAddress(absl::string_view text);
bool IsAddressOrEmpty(absl::string_view text);
bool IsAnything(absl::string_view text);

// Also the first segment of a call's path, which is why it may not be "-".
inline constexpr Text kServiceNameText{
    IsServiceName,
    "1 to 63 lower-case letters, digits and hyphens, beginning with a letter"};
// Instances, regions, failure domains, targets, identities and submissions.
inline constexpr Text kNameText{
    IsName,
    "1 to 128 letters, digits, dots, colons, underscores and hyphens, "
    "beginning with a letter or digit"};
inline constexpr Text kMethodText{
    IsMethod, "an upper-case HTTP method, or \"\" for every method"};
inline constexpr Text kPathPrefixText{
    IsPathPrefix,
    "a path of at most 1024 printable ASCII characters that begins with / and "
    "has no space"};
inline constexpr Text kFolderText{IsFolder, "the path of a folder"};
inline constexpr Text kAddressText{
    IsAddress, "a numeric IPv4 address and a port, such as 127.0.0.1:8101"};
inline constexpr Text kAddressOrEmptyText{
    IsAddressOrEmpty,
    "a numeric IPv4 address and a port, such as 127.0.0.1:8101, or \"\""};
inline constexpr Text kAnyText{IsAnything, "a string"};

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_JSON_TEXTS_H_
