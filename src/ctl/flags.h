#ifndef CTL_FLAGS_H_
#define CTL_FLAGS_H_

#include <string>
#include <vector>
#include "absl/flags/declare.h"

#include "state/state.h"

ABSL_DECLARE_FLAG(std::string, daemon);
ABSL_DECLARE_FLAG(int, timeout_ms);
ABSL_DECLARE_FLAG(std::string, submission);
ABSL_DECLARE_FLAG(bool, help);

namespace gooseberrygap::ctl {

// Sets the flags that the arguments name and the others to their defaults.
// Returns the other arguments, or
// kUsage. Not thread-safe.
state::Result<std::vector<std::string>> ReadFlags(
    const std::vector<std::string>& arguments);

// Returns the flags' names, defaults and descriptions for the help.
std::string DescribeFlags();

}  // namespace gooseberrygap::ctl

#endif  // CTL_FLAGS_H_
