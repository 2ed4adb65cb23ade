#ifndef COORDINATION_API_DIGEST_H_
#define COORDINATION_API_DIGEST_H_

#include <string>

#include "absl/strings/string_view.h"
#include "state/state.h"

namespace gooseberrygap::coordination {

// Returns the SHA-256 of service, method, path and body. It tells requests
// under one idempotency key apart, and is the fingerprint of a request that
// crashes its targets. The same on every daemon. Thread-safe.
std::string DigestOf(absl::string_view service,
                     const state::HttpRequest& request);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_DIGEST_H_
