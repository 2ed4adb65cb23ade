#ifndef CTL_TESTS_TOOL_RUN_H_
#define CTL_TESTS_TOOL_RUN_H_

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/tool.h"

namespace gooseberrygap::ctl {

// What one run of the tool gave.
struct ToolRun {
  const ExitCode code_ = ExitCode::kSuccess;
  const std::string output_ = {};
  const std::string errors_ = {};
};

inline ToolRun RunWith(const std::vector<std::string>& arguments) {
  std::ostringstream output;
  std::ostringstream errors;
  const ExitCode code = RunTool(arguments, &output, &errors);
  return ToolRun{
      .code_ = code, .output_ = output.str(), .errors_ = errors.str()};
}

// Checks the exit code and that the errors mention the text.
inline void CheckFails(const ToolRun& run,
                       ExitCode code,
                       const std::string& mentioned) {
  CHECK(run.code_ == code);
  CHECK(run.output_.empty());
  CHECK_THAT(run.errors_, Catch::Matchers::Contains(mentioned));
}

// Checks that the run succeeded and that its output mentions the text.
inline void CheckSucceeds(const ToolRun& run, const std::string& mentioned) {
  CAPTURE(run.errors_);
  CHECK(run.code_ == ExitCode::kSuccess);
  CHECK_THAT(run.output_, Catch::Matchers::Contains(mentioned));
}

}  // namespace gooseberrygap::ctl

#endif  // CTL_TESTS_TOOL_RUN_H_
