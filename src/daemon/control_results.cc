#include "daemon/control_results.h"

#include <array>

namespace gooseberrygap::daemon {

namespace {

using coordination::ProposalStatus;

constexpr std::array<absl::string_view, 4> kRoleNames = {
    "follower", "pre_candidate", "candidate", "leader"};

struct ChangeErrorRow {
  const ProposalStatus status_;
  const state::ErrorKind kind_;
  const absl::string_view what_;
};

constexpr std::array<ChangeErrorRow, 7> kChangeErrors = {{
    {ProposalStatus::kNotLeader, state::ErrorKind::kNoQuorum,
     "This control instance does not lead the group; ask the leader that "
     "'gooseberrygapctl control status' names"},
    {ProposalStatus::kLost, state::ErrorKind::kNoQuorum,
     "The change was not made: another leader was elected before it was "
     "committed; submit it again"},
    {ProposalStatus::kUnknown, state::ErrorKind::kNoQuorum,
     "It is unknown whether the change was committed; check the members with "
     "'gooseberrygapctl control status'"},
    {ProposalStatus::kOverloaded, state::ErrorKind::kNoQuorum,
     "The change was not made: too many log entries wait for a majority; try "
     "again later"},
    {ProposalStatus::kChangePending, state::ErrorKind::kNoQuorum,
     "The change was not made: another membership change is in progress; try "
     "again when it has ended"},
    {ProposalStatus::kInvalidChange, state::ErrorKind::kInvalidRequest,
     "The change does not fit the current members of the group; compare it "
     "with 'gooseberrygapctl control status'"},
    {ProposalStatus::kAlreadyFormed, state::ErrorKind::kAlreadyFormed,
     "The data folder already belongs to a control group; expected an empty "
     "one"},
}};

}  // namespace

absl::string_view NameOf(coordination::RaftRole role) {
  return kRoleNames.at(static_cast<size_t>(role));
}

state::Result<void> ResultOf(const coordination::ProposalResult& end) {
  for (const ChangeErrorRow& row : kChangeErrors) {
    if (row.status_ == end.status_) {
      return state::MakeError(row.kind_, row.what_);
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

coordination::ProposalOutcome OutcomeOf(ProposalStatus status) {
  switch (status) {
    case ProposalStatus::kCommitted:
      return coordination::ProposalOutcome::kCommitted;
    case ProposalStatus::kUnknown:
      return coordination::ProposalOutcome::kLost;
    default:
      return coordination::ProposalOutcome::kRefused;
  }
}

}  // namespace gooseberrygap::daemon
