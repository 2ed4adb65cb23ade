#include <algorithm>
#include <memory>

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

bool Raft::Impl::FollowSender(uint64_t term,
                              const std::string& from,
                              const std::string& connection,
                              uint64_t round) {
  if (term < term_) {
    // The higher term in the reply makes the sender step down.
    ReplyWhenDurable(connection, AppendReply{.group_ = options_.group_,
                                             .from_ = identity_,
                                             .to_ = from,
                                             .term_ = term_});
    return false;
  }
  if (term > term_ || role_ != RaftRole::kFollower || leader_ != from) {
    BecomeFollower(term, from);
  }
  leader_connection_ = connection;
  leader_round_ = std::max(leader_round_, round);
  last_contact_ = now_;
  had_contact_ = true;
  ResetElectionTimer();
  return true;
}

void Raft::Impl::OnPeer(const AppendRequest& request,
                        const std::string& connection) {
  if (!FollowSender(request.term_, request.from_, connection, request.round_)) {
    return;
  }
  if (MatchesLog(request)) {
    AppendFromLeader(request);
    AcknowledgeAppend();
  } else {
    RefuseAppend(RefusalHint(request.previous_index_));
  }
  OnCommitReported(request);
}

bool Raft::Impl::MatchesLog(const AppendRequest& request) const {
  // Committed entries are identical in the log of every later leader.
  return request.previous_index_ <= commit_index_ ||
         log_.TermAt(request.previous_index_) == request.previous_term_;
}

uint64_t Raft::Impl::RefusalHint(uint64_t previous_index) const {
  if (previous_index > log_.last_index()) {
    return log_.last_index() + 1;
  }
  return std::max(log_.FirstIndexOfTermAt(previous_index), commit_index_ + 1);
}

void Raft::Impl::AppendFromLeader(const AppendRequest& request) {
  uint64_t index = request.previous_index_;
  for (const state::LogEntry& entry : request.entries_) {
    if (entry.index_ != index + 1) {
      return;  // Malformed: a leader sends consecutive entries.
    }
    ++index;
    if (index <= commit_index_ || log_.TermAt(index) == entry.term_) {
      continue;
    }
    if (index <= log_.last_index()) {
      log_.TruncateFrom(index);
      durability_.OnTruncated(index);
    }
    log_.Append(entry);
  }
  verified_index_ = std::max(verified_index_, index);
  commit_index_ =
      std::max(commit_index_, std::min(request.commit_index_, verified_index_));
}

// Only the earliest commit index that is not reached yet is remembered: under
// constant changes a member may never have reached the latest one.
void Raft::Impl::OnCommitReported(const AppendRequest& request) {
  FinishAwaitedCommit();
  // Not the time of receipt: the request may have waited for any time.
  const std::optional<state::Millis> replied_at =
      replies_.SentAt(request.echoed_reply_);
  if (replied_at.has_value() && !awaited_commit_.has_value()) {
    awaited_commit_.emplace(ReportedCommit{
        .index_ = request.commit_index_,
        .known_at_ = std::min(now_, *replied_at + request.echo_age_)});
    FinishAwaitedCommit();
  }
}

void Raft::Impl::FinishAwaitedCommit() {
  if (!awaited_commit_.has_value() || awaited_commit_->index_ > commit_index_) {
    return;
  }
  // A leader that has not committed an entry of its own term may not know yet
  // that earlier entries are committed.
  if (log_.TermAt(awaited_commit_->index_) == term_) {
    last_up_to_date_ =
        std::max(last_up_to_date_.value_or(awaited_commit_->known_at_),
                 awaited_commit_->known_at_);
  }
  awaited_commit_.reset();
}

void Raft::Impl::AcknowledgeAppend() {
  acknowledged_index_ = std::min(verified_index_, durability_.durable_index());
  ReplyWhenDurable(leader_connection_,
                   AppendReply{.group_ = options_.group_,
                               .from_ = identity_,
                               .to_ = leader_,
                               .term_ = term_,
                               .success_ = true,
                               .index_ = acknowledged_index_,
                               .round_ = leader_round_,
                               .reply_ = NumberReply()});
}

uint64_t Raft::Impl::NumberReply() {
  replies_.Record(next_reply_, now_);
  return next_reply_++;
}

void Raft::Impl::RefuseAppend(uint64_t hint) {
  ReplyWhenDurable(leader_connection_, AppendReply{.group_ = options_.group_,
                                                   .from_ = identity_,
                                                   .to_ = leader_,
                                                   .term_ = term_,
                                                   .index_ = hint,
                                                   .round_ = leader_round_,
                                                   .reply_ = NumberReply()});
}

void Raft::Impl::OnPeer(const InstallSnapshot& request,
                        const std::string& connection) {
  if (!FollowSender(request.term_, request.from_, connection, request.round_)) {
    return;
  }
  const state::LogSnapshot& snapshot = request.snapshot_;
  if (snapshot.index_ > commit_index_) {
    if (log_.TermAt(snapshot.index_) == snapshot.term_) {
      // The log already contains the entries; only the commit index is new.
      commit_index_ = snapshot.index_;
    } else {
      const auto shared = std::make_shared<const state::LogSnapshot>(snapshot);
      durability_.OnRestored(shared, commit_index_);
      log_.Restore(shared);
      commit_index_ = snapshot.index_;
      restore_pending_ = true;
    }
    verified_index_ = std::max(verified_index_, commit_index_);
  }
  AcknowledgeAppend();
}

}  // namespace gooseberrygap::coordination
