#ifndef COORDINATION_API_DIGEST_H_
#define COORDINATION_API_DIGEST_H_

#include <string>

#include "absl/strings/string_view.h"
#include "state/state.h"

namespace gooseberrygap::coordination {

// Returns the SHA-256 of service, method, path and body. It detects different
// requests under the same idempotency key, and is the fingerprint by which a
// request that crashes its targets is recognized. All daemons compute the same
// value. Thread-safe.
std::string DigestOf(absl::string_view service,
                     const state::HttpRequest& request);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_DIGEST_H_
