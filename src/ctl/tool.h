#ifndef CTL_TOOL_H_
#define CTL_TOOL_H_

#include <ostream>
#include <string>
#include <vector>

namespace gooseberrygap::ctl {

// Exit codes of the tool.
enum class ExitCode {
  kSuccess = 0,
  kFailed = 1,
  kUsage = 2,
  kUnreachable = 3,
  kConflict = 4,
};

// Runs the tool with the arguments that follow its name. Not thread-safe: the
// flags are global while it runs.
ExitCode RunTool(const std::vector<std::string>& arguments,
                 std::ostream* output,
                 std::ostream* errors);

}  // namespace gooseberrygap::ctl

#endif  // CTL_TOOL_H_
