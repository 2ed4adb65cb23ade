#include <algorithm>
#include <utility>

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Term of the first entry; fixed, since every member creates that entry itself
// and it must be identical on all of them.
constexpr uint64_t kFormationTerm = 1;

}  // namespace

void Raft::Impl::AppendNewEntry(state::LogEntryKind kind,
                                state::Bytes payload,
                                std::vector<state::ControlMember> members) {
  log_.Append(state::LogEntry{.index_ = log_.last_index() + 1,
                              .term_ = term_,
                              .kind_ = kind,
                              .payload_ = std::move(payload),
                              .members_ = std::move(members)});
  if (role_ == RaftRole::kLeader && kind == state::LogEntryKind::kMembers) {
    SyncProgressWithMembers();
    AdvanceCommit();
  }
}

void Raft::Impl::Propose(uint64_t tag,
                         state::LogEntryKind kind,
                         state::Bytes payload,
                         std::vector<state::ControlMember> members) {
  AppendNewEntry(kind, std::move(payload), std::move(members));
  proposals_.emplace(log_.last_index(),
                     PendingProposal{.term_ = term_, .tag_ = tag});
}

void Raft::Impl::FinishProposal(uint64_t tag, ProposalStatus status) {
  step_->proposal_results_.push_back(
      ProposalResult{.tag_ = tag, .status_ = status});
}

// A proposal whose entry was replaced in this log finishes only when its index
// is committed: until then another leader may restore the entry.
void Raft::Impl::FinishCommittedProposals() {
  while (!proposals_.empty() && proposals_.begin()->first <= commit_index_) {
    const auto [index, proposal] = *proposals_.begin();
    const std::optional<uint64_t> term = log_.TermAt(index);
    if (!term) {
      FinishProposal(proposal.tag_, ProposalStatus::kUnknown);
    } else if (*term != proposal.term_) {
      FinishProposal(proposal.tag_, ProposalStatus::kLost);
    } else {
      step_->proposal_results_.push_back(
          ProposalResult{.tag_ = proposal.tag_, .index_ = index});
    }
    proposals_.erase(proposals_.begin());
  }
}

void Raft::Impl::On(const RaftPropose& event) {
  if (role_ != RaftRole::kLeader) {
    FinishProposal(event.tag_, ProposalStatus::kNotLeader);
  } else if (log_.last_index() - commit_index_ >=
             options_.max_uncommitted_entries_) {
    FinishProposal(event.tag_, ProposalStatus::kOverloaded);
  } else {
    Propose(event.tag_, state::LogEntryKind::kCommand, event.payload_, {});
  }
}

void Raft::Impl::On(const RaftForm& event) {
  const state::ControlMember* self = FindMember(event.members_, identity_);
  if (!log_.empty()) {
    FinishProposal(event.tag_, ProposalStatus::kAlreadyFormed);
    return;
  }
  if (self == nullptr || !self->voter_) {
    FinishProposal(event.tag_, ProposalStatus::kInvalidChange);
    return;
  }
  if (term_ < kFormationTerm) {
    BecomeFollower(kFormationTerm, "");
  }
  log_.Append(state::LogEntry{.index_ = 1,
                              .term_ = kFormationTerm,
                              .kind_ = state::LogEntryKind::kMembers,
                              .members_ = event.members_});
  proposals_.emplace(
      1, PendingProposal{.term_ = kFormationTerm, .tag_ = event.tag_});
  ResetElectionTimer();
}

// Returns why a membership change cannot start now, if so. The previous change
// and an entry of the leader's term must be committed first; otherwise two
// majorities could have no member in common.
std::optional<ProposalStatus> Raft::Impl::MembershipChangeRefusal() const {
  if (role_ != RaftRole::kLeader) {
    return ProposalStatus::kNotLeader;
  }
  if (log_.members_index() > commit_index_ || !HasCommittedInCurrentTerm()) {
    return ProposalStatus::kChangePending;
  }
  return std::nullopt;
}

void Raft::Impl::On(const RaftAddMember& event) {
  if (const std::optional<ProposalStatus> refusal = MembershipChangeRefusal()) {
    FinishProposal(event.tag_, *refusal);
    return;
  }
  const state::ControlMember& added = event.member_;
  if (added.identity_.empty() || added.address_.empty() ||
      FindMember(log_.members(), added.identity_) != nullptr) {
    FinishProposal(event.tag_, ProposalStatus::kInvalidChange);
    return;
  }
  std::vector<state::ControlMember> members = log_.members();
  members.push_back(state::ControlMember{.identity_ = added.identity_,
                                         .instance_ = added.instance_,
                                         .address_ = added.address_,
                                         .voter_ = false});
  Propose(event.tag_, state::LogEntryKind::kMembers, {}, std::move(members));
}

void Raft::Impl::On(const RaftRemoveMember& event) {
  if (const std::optional<ProposalStatus> refusal = MembershipChangeRefusal()) {
    FinishProposal(event.tag_, *refusal);
    return;
  }
  std::vector<state::ControlMember> members;
  for (const state::ControlMember& member : log_.members()) {
    if (member.identity_ != event.identity_) {
      members.push_back(member);
    }
  }
  if (members.size() == log_.members().size() || CountVoters(members) == 0) {
    FinishProposal(event.tag_, ProposalStatus::kInvalidChange);
    return;
  }
  Propose(event.tag_, state::LogEntryKind::kMembers, {}, std::move(members));
}

void Raft::Impl::On(const RaftSetLeaving& event) {
  if (const std::optional<ProposalStatus> refusal = MembershipChangeRefusal()) {
    FinishProposal(event.tag_, *refusal);
    return;
  }
  const state::ControlMember* member =
      FindMember(log_.members(), event.identity_);
  if (member == nullptr || !member->voter_ ||
      member->leaving_ == event.leaving_) {
    FinishProposal(event.tag_, ProposalStatus::kInvalidChange);
    return;
  }
  std::vector<state::ControlMember> members;
  for (const state::ControlMember& old : log_.members()) {
    members.push_back(state::ControlMember{
        .identity_ = old.identity_,
        .instance_ = old.instance_,
        .address_ = old.address_,
        .voter_ = old.voter_,
        .leaving_ =
            old.identity_ == event.identity_ ? event.leaving_ : old.leaving_});
  }
  Propose(event.tag_, state::LogEntryKind::kMembers, {}, std::move(members));
}

bool Raft::Impl::IsInContact(const std::string& identity) const {
  const auto progress = progress_.find(identity);
  return identity == identity_ || (progress != progress_.end() &&
                                   now_ - progress->second.last_contact() <=
                                       options_.election_timeout_min_);
}

bool Raft::Impl::HasEnoughVoters() const {
  const std::vector<state::ControlMember>& members = log_.members();
  const auto stays = [this](const state::ControlMember& member) {
    return member.voter_ && !(member.leaving_ && IsInContact(member.identity_));
  };
  const auto staying = std::count_if(members.begin(), members.end(), stays);
  return options_.max_voters_ > 0 &&
         static_cast<uint64_t>(staying) >= options_.max_voters_;
}

void Raft::Impl::PromoteLearner() {
  if (HasEnoughVoters() || MembershipChangeRefusal()) {
    return;
  }
  const auto is_caught_up = [&](const state::ControlMember& member) {
    const auto progress = progress_.find(member.identity_);
    return !member.voter_ && progress != progress_.end() &&
           progress->second.match_index() > 0 &&
           progress->second.match_index() + options_.max_promotion_lag_ >=
               log_.last_index() &&
           IsInContact(member.identity_);
  };
  const auto learner =
      std::find_if(log_.members().begin(), log_.members().end(), is_caught_up);
  if (learner == log_.members().end()) {
    return;
  }
  std::vector<state::ControlMember> members;
  for (const state::ControlMember& member : log_.members()) {
    members.push_back(state::ControlMember{
        .identity_ = member.identity_,
        .instance_ = member.instance_,
        .address_ = member.address_,
        .voter_ = member.voter_ || member.identity_ == learner->identity_,
        .leaving_ = member.leaving_});
  }
  AppendNewEntry(state::LogEntryKind::kMembers, {}, std::move(members));
}

void Raft::Impl::On(const RaftReadIndex& event) {
  const state::Millis expires = now_ + options_.election_timeout_max_;
  if (role_ == RaftRole::kLeader) {
    reads_.Add(LeaderRead{.read_id_ = event.read_id_, .expires_ = expires});
    return;
  }
  if (AddressOf(leader_).empty()) {
    reads_.Finish(event.read_id_, false, 0);
    return;
  }
  Send(leader_,
       ReadIndexRequest{.group_ = options_.group_,
                        .from_ = identity_,
                        .to_ = leader_,
                        .read_id_ = reads_.Forward(event.read_id_, expires)});
}

void Raft::Impl::OnPeer(const ReadIndexRequest& request,
                        const std::string& connection) {
  LeaderRead read{.read_id_ = request.read_id_,
                  .from_ = request.from_,
                  .connection_ = connection,
                  .expires_ = now_ + options_.election_timeout_max_};
  if (role_ == RaftRole::kLeader) {
    reads_.Add(std::move(read));
  } else {
    AnswerLeaderReads({read}, false);
  }
}

void Raft::Impl::AnswerLeaderReads(const std::vector<LeaderRead>& reads,
                                   bool confirmed) {
  for (const LeaderRead& read : reads) {
    if (read.from_.empty()) {
      reads_.Finish(read.read_id_, confirmed, read.index_);
      continue;
    }
    step_->commands_.push_back(
        ReplyToPeer{.connection_ = read.connection_,
                    .message_ = ReadIndexReply{.group_ = options_.group_,
                                               .from_ = identity_,
                                               .to_ = read.from_,
                                               .read_id_ = read.read_id_,
                                               .confirmed_ = confirmed,
                                               .index_ = read.index_}});
    // The reading member waits until these entries are committed; without this
    // message it would receive the commit index only with the next heartbeat.
    const auto progress = progress_.find(read.from_);
    if (confirmed && progress != progress_.end() &&
        progress->second.sent_commit_index() < read.index_) {
      SendAppend(read.from_, &progress->second, 0);
    }
  }
}

void Raft::Impl::OnPeer(const ReadIndexReply& reply,
                        const std::string& /*connection*/) {
  reads_.OnLeaderReply(reply.read_id_, reply.confirmed_, reply.index_);
}

}  // namespace gooseberrygap::coordination
