#include "ctl/tool.h"

#include <algorithm>
#include <array>
#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

#include "ctl/command.h"
#include "ctl/flags.h"

namespace gooseberrygap::ctl {

namespace {

constexpr int kMaxTimeoutMs = 600000;

struct ExitCodeRow {
  const state::ErrorKind kind_;
  const ExitCode code_;
};

// Kinds that are not listed give kFailed.
constexpr std::array<ExitCodeRow, 4> kExitCodes = {{
    {state::ErrorKind::kUsage, ExitCode::kUsage},
    {state::ErrorKind::kUnreachable, ExitCode::kUnreachable},
    {state::ErrorKind::kTimeout, ExitCode::kUnreachable},
    {state::ErrorKind::kVersionConflict, ExitCode::kConflict},
}};

ExitCode ExitCodeOf(state::ErrorKind kind) {
  const auto* row = std::find_if(
      kExitCodes.begin(), kExitCodes.end(),
      [kind](const ExitCodeRow& candidate) { return candidate.kind_ == kind; });
  return row == kExitCodes.end() ? ExitCode::kFailed : row->code_;
}

std::string Indented(absl::string_view text) {
  return absl::StrCat("    ", absl::StrReplaceAll(text, {{"\n", "\n    "}}));
}

std::string Synopsis(const Command& command) {
  return command.arguments_.empty()
             ? std::string(command.name_)
             : absl::StrCat(command.name_, " ", command.arguments_);
}

std::string ToolHelp() {
  std::string text =
      "NAME\n    gooseberrygapctl - administers gooseberrygap daemons\n\n"
      "SYNOPSIS\n    gooseberrygapctl [FLAGS] COMMAND [ARGUMENTS]\n\n"
      "DESCRIPTION\n"
      "    Checks and submits configurations, shows what a daemon knows, and\n"
      "    forms and changes the control group. Results go to standard "
      "output;\n"
      "    notes and errors go to standard error.\n\nCOMMANDS\n";
  for (const Command& command : Commands()) {
    absl::StrAppend(&text, "    ", Synopsis(command), "\n        ",
                    command.summary_, "\n");
  }
  absl::StrAppend(
      &text, "\nFLAGS\n", DescribeFlags(),
      "\nEXIT CODES\n"
      "    0  success\n"
      "    1  the request was refused, or failed\n"
      "    2  wrong use of the tool\n"
      "    3  the daemon could not be reached, or did not answer in time\n"
      "    4  the configuration conflicts with one that was accepted\n\n"
      "EXAMPLES\n"
      "    gooseberrygapctl config check site.json\n"
      "    gooseberrygapctl --daemon=10.0.0.1:8101 targets\n"
      "    gooseberrygapctl config apply --help\n");
  return text;
}

std::string CommandHelp(const Command& command) {
  return absl::StrCat(
      "NAME\n    gooseberrygapctl ", command.name_, " - ", command.summary_,
      "\n\nSYNOPSIS\n    gooseberrygapctl [FLAGS] ", Synopsis(command),
      "\n\nDESCRIPTION\n", Indented(command.description_), "\n\nFLAGS\n",
      DescribeFlags(), "\nEXIT CODES\n", Indented(command.exit_codes_),
      "\n\nEXAMPLES\n", Indented(command.examples_), "\n");
}

// Returns the command whose name the words begin with, or null.
const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const std::vector<std::string> name = absl::StrSplit(command.name_, ' ');
    if (words.size() >= name.size() &&
        std::equal(name.begin(), name.end(), words.begin())) {
      return &command;
    }
  }
  return nullptr;
}

state::Error UsageError(absl::string_view what) {
  return state::MakeError(state::ErrorKind::kUsage, what);
}

// Returns the checked command line of a command.
state::Result<Invocation> Check(const Command& command,
                                const std::vector<std::string>& words) {
  const size_t name_words =
      1 + std::count(command.name_.begin(), command.name_.end(), ' ');
  const std::vector<std::string> arguments(
      words.begin() + static_cast<ptrdiff_t>(name_words), words.end());
  if (arguments.size() < command.min_arguments_ ||
      arguments.size() > command.max_arguments_) {
    return UsageError(absl::StrCat(
        "'", command.name_, "' takes ",
        command.arguments_.empty() ? "no arguments" : command.arguments_,
        ", found ", arguments.size(), " argument(s)"));
  }
  const std::string daemon = absl::GetFlag(FLAGS_daemon);
  const auto address = protocol::ParseNumericAddress(daemon);
  if (!address.has_value()) {
    return UsageError(absl::StrCat(
        "--daemon is '", daemon,
        "'; allowed: a numeric IPv4 address and a port, as 127.0.0.1:8101"));
  }
  const int timeout_ms = absl::GetFlag(FLAGS_timeout_ms);
  if (timeout_ms < 1 || timeout_ms > kMaxTimeoutMs) {
    return UsageError(absl::StrCat("--timeout_ms is ", timeout_ms,
                                   "; allowed: 1 to ", kMaxTimeoutMs));
  }
  const std::string submission = absl::GetFlag(FLAGS_submission);
  if (!submission.empty() && !command.takes_submission_) {
    return UsageError(
        absl::StrCat("'", command.name_, "' does not take --submission"));
  }
  return Invocation{.arguments_ = arguments,
                    .daemon_ = *address,
                    .timeout_ = state::Millis(timeout_ms),
                    .submission_ = submission};
}

state::Result<Report> Run(const std::vector<std::string>& arguments) {
  const auto words = ReadFlags(arguments);
  if (words.has_error()) {
    return words.error();
  }
  const Command* command = FindCommand(words.value());
  if (absl::GetFlag(FLAGS_help)) {
    return Report{.output_ =
                      command == nullptr ? ToolHelp() : CommandHelp(*command)};
  }
  if (command == nullptr) {
    return UsageError(words.value().empty()
                          ? "A command is missing"
                          : absl::StrCat("There is no command '",
                                         absl::StrJoin(words.value(), " "),
                                         "'"));
  }
  const auto invocation = Check(*command, words.value());
  if (invocation.has_error()) {
    return invocation.error();
  }
  return command->run_(invocation.value());
}

}  // namespace

ExitCode RunTool(const std::vector<std::string>& arguments,
                 std::ostream* output,
                 std::ostream* errors) {
  const auto report = Run(arguments);
  if (report.has_error()) {
    *errors << "gooseberrygapctl: " << report.error().message_ << "\n";
    return ExitCodeOf(report.error().kind_);
  }
  *output << report.value().output_;
  *errors << report.value().notes_;
  return ExitCode::kSuccess;
}

}  // namespace gooseberrygap::ctl
