#ifndef CTL_COMMAND_H_
#define CTL_COMMAND_H_

#include <string>
#include <vector>
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "ctl/admin_client.h"

namespace gooseberrygap::ctl {

// A command line that has been checked.
struct Invocation {
  const std::vector<std::string> arguments_ = {};  // After the command's name.
  const protocol::NumericAddress daemon_ = {};
  const state::Millis timeout_ = {};
  const std::string submission_ = {};

  AdminClient Client() const { return AdminClient(daemon_, timeout_); }
};

// What a command that succeeded prints.
struct Report {
  const std::string output_ = {};  // To standard output.
  const std::string notes_ = {};   // To standard error.
};

// A row of the command table.
struct Command {
  const absl::string_view name_;
  const absl::string_view arguments_;
  const absl::string_view summary_;
  const absl::string_view description_;
  const absl::string_view exit_codes_;
  const absl::string_view examples_;
  const size_t min_arguments_;
  const size_t max_arguments_;
  const bool takes_submission_;
  state::Result<Report> (*const run_)(const Invocation&);
};

// Returns the commands in the order of the help. Thread-safe.
absl::Span<const Command> Commands();

state::Result<Report> RunConfigCheck(const Invocation& invocation);
state::Result<Report> RunConfigApply(const Invocation& invocation);
state::Result<Report> RunConfigShow(const Invocation& invocation);
state::Result<Report> RunTargets(const Invocation& invocation);
state::Result<Report> RunDrain(const Invocation& invocation);
state::Result<Report> RunCounters(const Invocation& invocation);
state::Result<Report> RunExplain(const Invocation& invocation);
state::Result<Report> RunQuota(const Invocation& invocation);
state::Result<Report> RunControlForm(const Invocation& invocation);
state::Result<Report> RunControlStatus(const Invocation& invocation);
state::Result<Report> RunControlAdd(const Invocation& invocation);
state::Result<Report> RunControlRemove(const Invocation& invocation);
state::Result<Report> RunEvacuationStart(const Invocation& invocation);
state::Result<Report> RunEvacuationStop(const Invocation& invocation);
state::Result<Report> RunEvacuationList(const Invocation& invocation);

}  // namespace gooseberrygap::ctl

#endif  // CTL_COMMAND_H_
