#include "daemon/control_duty.h"

#include "daemon/control_results.h"
#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::RaftEvent;

// A leader may answer for the group if its last contact with a quorum is at
// most this many milliseconds old.
constexpr state::Millis kMaxQuorumContactAge(500);

}  // namespace

void ControlDuty::ProcessControlEvent(const coordination::ControlEvent& event,
                                      RaftEvents* raft_events) {
  Apply(service_.Handle(event, clock_.Now()), raft_events);
}

void ControlDuty::ProcessRaftEvents(RaftEvents events) {
  while (!events.empty() && works()) {
    RaftEvents next;
    Apply(raft_->Handle(absl::MakeConstSpan(events), clock_.Now()), &next);
    events.swap(next);
  }
}

void ControlDuty::Apply(coordination::Raft::Step step,
                        RaftEvents* raft_events) {
  if (step.batch_.has_value()) {
    disk_->Write(*step.batch_);
  }
  CarryOut(step.commands_);
  if (step.restore_.has_value()) {
    const auto restored =
        protocol::DecodeReplicatedState(step.restore_->content_.view());
    if (!restored) {
      Fail(restored.error());
      return;
    }
    ProcessControlEvent(
        coordination::SnapshotRestored{.index_ = step.restore_->index_,
                                       .state_ = restored.value()},
        raft_events);
  }
  for (const state::LogEntry& entry : step.committed_) {
    if (entry.kind_ != state::LogEntryKind::kCommand) {
      ProcessControlEvent(coordination::EntryCommitted{.index_ = entry.index_},
                          raft_events);
      continue;
    }
    const auto command = protocol::DecodeLogCommand(entry.payload_.view());
    if (!command) {
      Fail(command.error());
      return;
    }
    ProcessControlEvent(
        coordination::EntryCommitted{.index_ = entry.index_,
                                     .command_ = command.value()},
        raft_events);
  }
  LogConfiguration();
  for (const coordination::ProposalResult& end : step.proposal_results_) {
    CompleteProposal(end, raft_events);
  }
  for (const coordination::ReadIndexResult& read : step.reads_) {
    CompleteRead(read, raft_events);
  }
  if (step.role_change_.has_value()) {
    Log({.event_ = "control_role",
         .fields_ = {{"role", std::string(NameOf(step.role_change_->role_))},
                     {"term", static_cast<int64_t>(step.role_change_->term_)},
                     {"leader", step.role_change_->leader_address_}}});
    ProcessControlEvent(CurrentLogStatus(clock_.Now()), raft_events);
  }
}

void ControlDuty::Apply(const coordination::ControlStep& step,
                        RaftEvents* raft_events) {
  CarryOut(step.commands_);
  for (const coordination::Proposal& proposal : step.proposals_) {
    raft_events->emplace_back(coordination::RaftPropose{
        .tag_ = proposal.tag_,
        .payload_ =
            state::Bytes(protocol::EncodeLogCommand(proposal.command_))});
  }
  for (const uint64_t read_id : step.read_ids_) {
    raft_events->emplace_back(coordination::RaftReadIndex{.read_id_ = read_id});
  }
}

void ControlDuty::Apply(const coordination::GroupMembership::Step& step,
                        RaftEvents* raft_events) {
  CarryOut(step.commands_);
  for (const RaftEvent& event : step.events_) {
    raft_events->push_back(event);
  }
}

void ControlDuty::CarryOut(const coordination::Commands& commands) {
  for (const coordination::Command& command : commands) {
    // A message that does not fit into the peer ring is lost, like one on a
    // broken link; the log and the lease protocol resend theirs.
    if (const auto* send = std::get_if<coordination::SendToPeer>(&command)) {
      peers_->Send(*send);
    } else if (const auto* reply =
                   std::get_if<coordination::ReplyToPeer>(&command)) {
      peers_->Reply(*reply);
    } else if (const auto* reset =
                   std::get_if<coordination::ResetLink>(&command)) {
      peers_->Reset(*reset);
    }
  }
}

coordination::LogStatus ControlDuty::CurrentLogStatus(state::Millis now) const {
  const bool leads = raft_->role() == coordination::RaftRole::kLeader;
  std::vector<coordination::ControlAddress> members;
  for (const state::ControlMember& member : raft_->members()) {
    members.push_back(coordination::ControlAddress{
        .instance_ = member.instance_, .address_ = member.address_});
  }
  return coordination::LogStatus{
      .formed_ = !raft_->members().empty(),
      .leads_ = leads,
      .has_quorum_ = leads && raft_->ContactAge(now) <= kMaxQuorumContactAge,
      .leader_address_ = raft_->leader_address(),
      .members_ = std::move(members),
      .last_up_to_date_ = now - raft_->Staleness(now),
      .term_ = raft_->term(),
      .authority_until_ = now - raft_->ContactAge(now) + kMaxQuorumContactAge};
}

}  // namespace gooseberrygap::daemon
