#ifndef PROTOCOL_API_HEADER_NAMES_H_
#define PROTOCOL_API_HEADER_NAMES_H_

#include "absl/strings/string_view.h"

namespace gooseberrygap::protocol {

inline constexpr absl::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr absl::string_view kDeadlineHeader =
    "Gooseberrygap-Deadline-Ms";
inline constexpr absl::string_view kDepthHeader = "Gooseberrygap-Depth";
inline constexpr absl::string_view kOutcomeHeader = "Gooseberrygap-Outcome";
inline constexpr absl::string_view kReasonHeader = "Gooseberrygap-Reason";
inline constexpr absl::string_view kRequestIdHeader =
    "Gooseberrygap-Request-Id";
inline constexpr absl::string_view kAttemptHeader = "Gooseberrygap-Attempt";
inline constexpr absl::string_view kTargetHeader = "Gooseberrygap-Target";

// A target may name the request that it answers, as "ID/ATTEMPT" from the two
// headers above. An answer that names another request is dropped.
inline constexpr absl::string_view kAnswerToHeader = "Gooseberrygap-Answer-To";

// A target that has not run a request answers with this header.
inline constexpr absl::string_view kShedHeader = "Gooseberrygap-Shed";

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_HEADER_NAMES_H_
