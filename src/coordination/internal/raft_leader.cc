#include <algorithm>
#include <utility>

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

void Raft::Impl::BecomeLeader() {
  role_ = RaftRole::kLeader;
  leader_ = identity_;
  progress_.clear();
  rounds_.Record(++round_, now_);
  heartbeat_due_ = now_ + options_.heartbeat_interval_;
  // Entries of earlier terms are committed only together with one of this term.
  AppendNewEntry(state::LogEntryKind::kNoop, {}, {});
  SyncProgressWithMembers();
}

bool Raft::Impl::HasCommittedInCurrentTerm() const {
  return log_.TermAt(commit_index_) == term_;
}

// Adapts `progress_` to the member list: the leader sends only to its members.
void Raft::Impl::SyncProgressWithMembers() {
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
  // An isolated leader would continue to accept proposals that never finish.
  if (ContactAge(now_) > options_.election_timeout_min_) {
    BecomeFollower(term_, "");
    return;
  }
  if (now_ >= heartbeat_due_) {
    StartRound();
  }
}

void Raft::Impl::StartRound() {
  rounds_.Record(++round_, now_);
  heartbeat_due_ = now_ + options_.heartbeat_interval_;
  if (HasCommittedInCurrentTerm()) {
    reads_.OnRoundStarted(round_, commit_index_);
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
  if (progress.last_reply() == 0 && HasCommittedInCurrentTerm()) {
    // Until it receives an echo, the member counts as stale.
    progress.RequestHeartbeat();
  }
  progress.OnReply(reply.round_, rounds_.SentAt(reply.round_), reply.reply_,
                   now_);
  if (!reply.success_) {
    progress.OnRefusal(reply.index_, reply.round_);
    return;
  }
  progress.OnSuccess(std::min(reply.index_, log_.last_index()));
  AdvanceCommit();
}

void Raft::Impl::AdvanceCommit() {
  const uint64_t index =
      QuorumValue(durability_.durable_index(), &RaftProgress::match_index);
  // An entry of an earlier term may still be replaced although a majority
  // stores it.
  if (index <= commit_index_ || log_.TermAt(index) != term_) {
    return;
  }
  const bool is_first = !HasCommittedInCurrentTerm();
  commit_index_ = index;
  if (is_first) {
    // Until they learn of this commit, the followers count as stale.
    StartRound();
  }
}

void Raft::Impl::ReplicateToAll() {
  for (auto& [identity, progress] : progress_) {
    Replicate(identity, &progress);
  }
}

bool Raft::Impl::MaySendEntries(const RaftProgress& progress) const {
  if (progress.mode() == RaftProgress::Mode::kProbe) {
    return progress.MayProbe();
  }
  const uint64_t sent = progress.next_index() - 1;
  return sent - progress.match_index() < options_.max_in_flight_entries_ &&
         log_.BytesBetween(progress.match_index(), sent) <
             options_.max_in_flight_bytes_;
}

void Raft::Impl::Replicate(const std::string& identity,
                           RaftProgress* progress) {
  const bool needs_snapshot = !log_.TermAt(progress->next_index() - 1);
  const bool is_responsive =
      now_ - progress->last_contact() <= options_.election_timeout_min_;
  if (needs_snapshot && progress->mode() != RaftProgress::Mode::kSnapshot &&
      is_responsive) {
    SendSnapshot(identity, progress);
    return;
  }
  while (!needs_snapshot && progress->mode() != RaftProgress::Mode::kSnapshot &&
         progress->next_index() <= log_.last_index() &&
         MaySendEntries(*progress)) {
    SendAppend(identity, progress, log_.last_index());
  }
  if (progress->heartbeat_due()) {
    SendAppend(identity, progress, 0);
  }
}

// Returns the time at which the commit index was the newest for certain. While
// the last contact with a quorum is younger than two rounds take, this is now:
// the members in contact with this leader elect no other one.
state::Millis Raft::Impl::CommitKnownAt() const {
  return std::min(now_,
                  LastQuorumContact(now_) + options_.heartbeat_interval_ * 2);
}

// Sends one message with the entries up to `last_index`, within the limits of a
// message. With `last_index` 0 the message has no entries.
void Raft::Impl::SendAppend(const std::string& identity,
                            RaftProgress* progress,
                            uint64_t last_index) {
  // When the next entry is no longer in memory, the message refers to the
  // oldest known entry; a member without that entry refuses it.
  const uint64_t previous =
      std::max(progress->next_index() - 1, log_.first_index() - 1);
  std::vector<state::LogEntry> entries;
  if (last_index > previous) {
    entries = log_.Slice(previous + 1, last_index, options_.max_append_entries_,
                         options_.max_append_bytes_);
  }
  const uint64_t last_sent = previous + entries.size();
  const bool can_vouch = HasCommittedInCurrentTerm();
  Send(identity,
       AppendRequest{.group_ = options_.group_,
                     .from_ = identity_,
                     .to_ = identity,
                     .term_ = term_,
                     .previous_index_ = previous,
                     .previous_term_ = *log_.TermAt(previous),
                     .commit_index_ = commit_index_,
                     .round_ = round_,
                     .entries_ = std::move(entries),
                     .echoed_reply_ = can_vouch ? progress->last_reply() : 0,
                     .echo_age_ = CommitKnownAt() - progress->last_reply_at()});
  progress->OnSent(last_sent, commit_index_);
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
  if (commit_index_ < log_.members_index() || IsVoter()) {
    return;
  }
  // Announces to the other members that the removal is committed.
  for (auto& [identity, progress] : progress_) {
    SendAppend(identity, &progress, 0);
  }
  BecomeFollower(term_, "");
}

}  // namespace gooseberrygap::coordination
