#include "absl/strings/str_cat.h"

#include <array>

#include "state/state.h"

namespace gooseberrygap::state {

namespace {

struct ErrorRow {
  const ErrorKind kind_;
  const absl::string_view name_;
  const absl::string_view remedy_;
  const bool may_pass_ = false;
};

constexpr std::array<ErrorRow, static_cast<size_t>(ErrorKind::kCount)> kRows = {
    {
        {ErrorKind::kNone, "none", ""},
        {ErrorKind::kInvalidSettings, "invalid_settings",
         "Correct the settings file and start again."},
        {ErrorKind::kInvalidConfiguration, "invalid_configuration",
         "Correct the document and check it with 'gooseberrygapctl config "
         "check'."},
        {ErrorKind::kInvalidRequest, "invalid_request",
         "Correct the request; docs/INTERFACE.md lists what is allowed."},
        {ErrorKind::kMalformedMessage, "malformed_message",
         "Check that only gooseberrygapd instances of compatible versions "
         "connect "
         "to the peer port."},
        {ErrorKind::kAddressInUse, "address_in_use",
         "Stop the process that listens there or choose another address.",
         true},
        {ErrorKind::kAddressUnavailable, "address_unavailable",
         "Give the instance this address or choose another one.", true},
        {ErrorKind::kNoResources, "no_resources",
         "Raise the limits of open files, threads and memory.", true},
        {ErrorKind::kUnreachable, "unreachable",
         "Check that the instance runs and that its address is right."},
        {ErrorKind::kTimeout, "timeout",
         "Repeat the request; if it fails again, check the instance's load and "
         "links."},
        {ErrorKind::kCorruptLog, "corrupt_log",
         "Move the data folder away, start the instance with an empty one and "
         "add "
         "it with 'gooseberrygapctl control add'."},
        {ErrorKind::kDiskFailed, "disk_failed",
         "Replace the disk, start the instance with an empty data folder and "
         "add "
         "it with 'gooseberrygapctl control add'.",
         true},
        {ErrorKind::kDiskFull, "disk_full",
         "Free space on the disk of the data folder and start the instance "
         "again.",
         true},
        {ErrorKind::kFolderInUse, "folder_in_use",
         "Stop the other process that uses the data folder or choose another "
         "folder.",
         true},
        {ErrorKind::kNotFormed, "not_formed",
         "Form the control group with 'gooseberrygapctl control form'."},
        {ErrorKind::kAlreadyFormed, "already_formed",
         "Use 'gooseberrygapctl control add' to add an instance to the group."},
        {ErrorKind::kVersionConflict, "version_conflict",
         "Read the configuration in force with 'gooseberrygapctl config show', "
         "merge the change and submit it with the next version."},
        {ErrorKind::kNoQuorum, "no_quorum",
         "Restore a majority of the control instances and repeat the request."},
        {ErrorKind::kNotFound, "not_found",
         "Check the name; 'gooseberrygapctl targets' lists what is known."},
        {ErrorKind::kMalformedAnswer, "malformed_answer",
         "Check that the address is the HTTP address of a gooseberrygapd of a "
         "compatible version."},
        {ErrorKind::kRefused, "refused",
         "Check the instance's log and 'gooseberrygapctl counters'."},
        {ErrorKind::kFileUnreadable, "file_unreadable",
         "Check the path and the permissions of the file.", true},
        {ErrorKind::kFileIncomplete, "file_incomplete",
         "Correct the syntax of the file.", true},
        {ErrorKind::kUsage, "usage",
         "'gooseberrygapctl COMMAND --help' describes each command."},
        {ErrorKind::kNoConfiguration, "no_configuration",
         "Submit one with 'gooseberrygapctl config apply', or wait until the "
         "instance has reached the control group."},
    }};

const ErrorRow& RowOf(ErrorKind kind) {
  return kRows.at(static_cast<size_t>(kind));
}

}  // namespace

absl::string_view NameOf(ErrorKind kind) {
  return RowOf(kind).name_;
}

absl::string_view RemedyOf(ErrorKind kind) {
  return RowOf(kind).remedy_;
}

bool MayPass(ErrorKind kind) {
  return RowOf(kind).may_pass_;
}

Error MakeError(ErrorKind kind, absl::string_view what) {
  return Error{.kind_ = kind,
               .message_ = absl::StrCat(what, ". ", RemedyOf(kind))};
}

}  // namespace gooseberrygap::state
