#ifndef SUPPORT_BODY_DIGEST_H_
#define SUPPORT_BODY_DIGEST_H_

#include <string>

#include "absl/strings/string_view.h"

namespace gooseberrygap::test_support {

// Returns the CRC-64 of the body in hexadecimal, which execution logs carry in
// place of the body. Thread-safe.
std::string BodyDigest(absl::string_view body);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_BODY_DIGEST_H_
