#include <algorithm>
#include <utility>

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

void Raft::Impl::BecomeLeader() {
  role_ = RaftRole::kLeader;
  leader_ = identity_;
  progress_.clear();
  heartbeat_due_ = now_ + options_.heartbeat_;
  // Entries of earlier terms are committed only along with one of this term.
  AppendOwn(state::LogEntryKind::kNoop, {}, {});
  UpdateProgressMembers();
}

bool Raft::Impl::HasCommittedOwnTerm() const {
  return log_.TermAt(commit_) == term_;
}

// Follows the member list: the leader sends to its members only.
void Raft::Impl::UpdateProgressMembers() {
  for (const state::ControlMember& member : log_.members()) {
    if (member.identity_ != identity_) {
      progress_.try_emplace(member.identity_, log_.last_index(), now_);
    }
  }
  std::erase_if(progress_, [&](const auto& entry) {
    return FindMember(log_.members(), entry.first) == nullptr;
  });
}

void Raft::Impl::TickLeader() {
  // A leader that is cut off would go on to take proposals that never end.
  if (Staleness(now_) > options_.election_min_) {
    BecomeFollower(term_, "");
    return;
  }
  if (now_ >= heartbeat_due_) {
    StartRound();
  }
}

void Raft::Impl::StartRound() {
  ++round_;
  heartbeat_due_ = now_ + options_.heartbeat_;
  if (HasCommittedOwnTerm()) {
    reads_.OnRoundStarted(round_, commit_);
  }
  for (auto& [identity, progress] : progress_) {
    progress.OnRoundStarted();
  }
}

void Raft::Impl::OnPeer(const AppendReply& reply,
                        const std::string& /*connection*/) {
  if (reply.term_ > term_) {
    BecomeFollower(reply.term_, "");
    return;
  }
  const auto entry = progress_.find(reply.from_);
  if (role_ != RaftRole::kLeader || reply.term_ < term_ ||
      entry == progress_.end()) {
    return;
  }
  RaftProgress& progress = entry->second;
  progress.OnHeard(reply.round_, now_);
  if (!reply.success_) {
    progress.OnRefusal(reply.index_, reply.round_);
    return;
  }
  progress.OnSuccess(std::min(reply.index_, log_.last_index()));
  AdvanceCommit();
}

void Raft::Impl::AdvanceCommit() {
  const uint64_t index =
      QuorumValue(durability_.durable_index(), &RaftProgress::match);
  // An entry of an earlier term may still be replaced although a majority has
  // it.
  if (index > commit_ && log_.TermAt(index) == term_) {
    commit_ = index;
  }
}

void Raft::Impl::ReplicateToAll() {
  for (auto& [identity, progress] : progress_) {
    Replicate(identity, &progress);
  }
}

bool Raft::Impl::HasRoom(const RaftProgress& progress) const {
  if (progress.mode() == RaftProgress::Mode::kProbe) {
    return progress.MayProbe();
  }
  const uint64_t sent = progress.next() - 1;
  return sent - progress.match() < options_.window_entries_ &&
         log_.BytesBetween(progress.match(), sent) < options_.window_bytes_;
}

void Raft::Impl::Replicate(const std::string& identity,
                           RaftProgress* progress) {
  const bool is_behind_log = !log_.TermAt(progress->next() - 1);
  const bool is_heard = now_ - progress->last_heard() <= options_.election_min_;
  if (is_behind_log && progress->mode() != RaftProgress::Mode::kSnapshot &&
      is_heard) {
    SendSnapshot(identity, progress);
    return;
  }
  while (!is_behind_log && progress->mode() != RaftProgress::Mode::kSnapshot &&
         progress->next() <= log_.last_index() && HasRoom(*progress)) {
    SendAppend(identity, progress, log_.last_index());
  }
  if (progress->heartbeat_due()) {
    SendAppend(identity, progress, 0);
  }
}

// Sends the entries up to `last_index` that fit into one message; none for 0.
void Raft::Impl::SendAppend(const std::string& identity,
                            RaftProgress* progress,
                            uint64_t last_index) {
  // A member that is too far behind refuses any place that it does not have.
  const uint64_t previous =
      std::max(progress->next() - 1, log_.first_index() - 1);
  std::vector<state::LogEntry> entries;
  if (last_index > previous) {
    entries = log_.Slice(previous + 1, last_index, options_.batch_entries_,
                         options_.batch_bytes_);
  }
  const uint64_t last_sent = previous + entries.size();
  Send(identity, AppendRequest{.group_ = options_.group_,
                               .from_ = identity_,
                               .to_ = identity,
                               .term_ = term_,
                               .previous_index_ = previous,
                               .previous_term_ = *log_.TermAt(previous),
                               .commit_index_ = commit_,
                               .round_ = round_,
                               .entries_ = std::move(entries)});
  progress->OnSent(last_sent, commit_);
}

void Raft::Impl::SendSnapshot(const std::string& identity,
                              RaftProgress* progress) {
  Send(identity, InstallSnapshot{.group_ = options_.group_,
                                 .from_ = identity_,
                                 .to_ = identity,
                                 .term_ = term_,
                                 .round_ = round_,
                                 .snapshot_ = *log_.snapshot()});
  progress->OnSnapshotSent(log_.snapshot_index(), round_);
}

void Raft::Impl::StepDownIfRemoved() {
  if (commit_ < log_.members_index() || IsVoter()) {
    return;
  }
  // The others must learn that the removal is committed.
  for (auto& [identity, progress] : progress_) {
    SendAppend(identity, &progress, 0);
  }
  BecomeFollower(term_, "");
}

}  // namespace gooseberrygap::coordination
