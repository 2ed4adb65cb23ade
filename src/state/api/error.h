#ifndef STATE_API_ERROR_H_
#define STATE_API_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include "absl/strings/string_view.h"

namespace gooseberrygap::state {

enum class ErrorKind {
  kNone,
  kInvalidSettings,
  kInvalidConfiguration,
  kInvalidRequest,
  kMalformedMessage,
  kAddressInUse,
  kAddressUnavailable,
  kNoResources,
  kUnreachable,
  kTimeout,
  kCorruptLog,
  kDiskFailed,
  kDiskFull,
  kFolderInUse,
  kNotFormed,
  kAlreadyFormed,
  kVersionConflict,
  kNoQuorum,
  kNotFound,
  kMalformedAnswer,
  kRefused,
  kFileUnreadable,
  kFileIncomplete,
  kUsage,
  kNoConfiguration,
  kCount,
};

// An error with its kind. Create it with MakeError, so that the message ends
// with the remedy for the kind.
struct Error {
  const ErrorKind kind_ = ErrorKind::kNone;
  const std::string message_ = {};

  friend bool operator==(const Error&, const Error&) = default;
};

// A value or an Error. Accessing the alternative that is not present terminates
// the process.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Returns the name of the kind, in snake_case. Thread-safe.
absl::string_view NameOf(ErrorKind kind);

// Returns what the operator can do about an error of this kind. Thread-safe.
absl::string_view RemedyOf(ErrorKind kind);

// Returns whether the cause of an error of this kind may pass by itself, so
// that it is worth trying again. Thread-safe.
bool MayPass(ErrorKind kind);

// Returns an error whose message is `what` followed by the remedy.
// Thread-safe.
Error MakeError(ErrorKind kind, absl::string_view what);

}  // namespace gooseberrygap::state

#endif  // STATE_API_ERROR_H_
