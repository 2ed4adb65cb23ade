#include "ctl/flags.h"

#include <array>
#include "absl/flags/flag.h"
#include "absl/flags/reflection.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

ABSL_FLAG(std::string,
          daemon,
          "127.0.0.1:8101",
          "HTTP address of the daemon to talk to.");
ABSL_FLAG(int,
          timeout_ms,
          10000,
          "Time to wait for a connection and for an answer, 1 to 600000.");
ABSL_FLAG(std::string,
          submission,
          "",
          "Name of a submission, for 'config apply'; random when not given.");
ABSL_FLAG(bool, help, false, "Show the help of the tool or of the command.");

namespace gooseberrygap::ctl {

namespace {

constexpr std::array<absl::string_view, 4> kFlags = {"daemon", "timeout_ms",
                                                     "submission", "help"};

state::Error UsageError(absl::string_view what) {
  return state::MakeError(state::ErrorKind::kUsage, what);
}

}  // namespace

// absl::ParseCommandLine ends the process with status 1 for a wrong flag and
// for --help; the tool promises 2 and 0. Definition, conversion and checking
// of values are still Abseil's.
state::Result<std::vector<std::string>> ReadFlags(
    const std::vector<std::string>& arguments) {
  std::string error;
  for (const absl::string_view name : kFlags) {
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    flag->ParseFrom(flag->DefaultValue(), &error);
  }
  std::vector<std::string> others;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (!absl::StartsWith(argument, "--")) {
      others.push_back(argument);
      continue;
    }
    const size_t equals = argument.find('=');
    const std::string name = argument.substr(2, equals - 2);
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) {
      return UsageError(absl::StrCat("There is no flag --", name));
    }
    std::string value = "true";
    if (equals != std::string::npos) {
      value = argument.substr(equals + 1);
    } else if (!flag->IsOfType<bool>()) {
      if (++i == arguments.size()) {
        return UsageError(absl::StrCat("The flag --", name, " needs a value"));
      }
      value = arguments[i];
    }
    if (!flag->ParseFrom(value, &error)) {
      return UsageError(
          absl::StrCat("The flag --", name, " cannot be '", value, "'"));
    }
  }
  return others;
}

std::string DescribeFlags() {
  std::string text;
  for (const absl::string_view name : kFlags) {
    const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    absl::StrAppend(&text, "    --", name, " (default \"", flag->DefaultValue(),
                    "\")\n        ", flag->Help(), "\n");
  }
  return text;
}

}  // namespace gooseberrygap::ctl
