#include <algorithm>
#include <memory>

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

bool Raft::Impl::FollowSender(uint64_t term,
                              const std::string& from,
                              const std::string& connection,
                              uint64_t round) {
  if (term < term_) {
    // The reply's term tells the sender that it no longer leads.
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
  contact_ = now_;
  had_contact_ = true;
  ResetElectionTimer();
  return true;
}

void Raft::Impl::OnPeer(const AppendRequest& request,
                        const std::string& connection) {
  if (!FollowSender(request.term_, request.from_, connection, request.round_)) {
    return;
  }
  if (!FitsLog(request)) {
    RefuseAppend(RefusalHint(request.previous_index_));
    return;
  }
  AppendFromLeader(request);
  AcknowledgeAppend();
}

bool Raft::Impl::FitsLog(const AppendRequest& request) const {
  // What is committed is the same in the log of every later leader.
  return request.previous_index_ <= commit_ ||
         log_.TermAt(request.previous_index_) == request.previous_term_;
}

uint64_t Raft::Impl::RefusalHint(uint64_t previous_index) const {
  if (previous_index > log_.last_index()) {
    return log_.last_index() + 1;
  }
  return std::max(log_.FirstOfTermAt(previous_index), commit_ + 1);
}

void Raft::Impl::AppendFromLeader(const AppendRequest& request) {
  uint64_t index = request.previous_index_;
  for (const state::LogEntry& entry : request.entries_) {
    if (entry.index_ != index + 1) {
      return;  // Not a message that a leader sends.
    }
    ++index;
    if (index <= commit_ || log_.TermAt(index) == entry.term_) {
      continue;
    }
    if (index <= log_.last_index()) {
      log_.TruncateFrom(index);
      durability_.Truncated(index);
    }
    log_.Append(entry);
  }
  verified_ = std::max(verified_, index);
  commit_ = std::max(commit_, std::min(request.commit_index_, verified_));
}

void Raft::Impl::AcknowledgeAppend() {
  acknowledged_ = std::min(verified_, durability_.durable_index());
  ReplyWhenDurable(leader_connection_, AppendReply{.group_ = options_.group_,
                                                   .from_ = identity_,
                                                   .to_ = leader_,
                                                   .term_ = term_,
                                                   .success_ = true,
                                                   .index_ = acknowledged_,
                                                   .round_ = leader_round_});
}

void Raft::Impl::RefuseAppend(uint64_t hint) {
  ReplyWhenDurable(leader_connection_, AppendReply{.group_ = options_.group_,
                                                   .from_ = identity_,
                                                   .to_ = leader_,
                                                   .term_ = term_,
                                                   .index_ = hint,
                                                   .round_ = leader_round_});
}

void Raft::Impl::OnPeer(const InstallSnapshot& request,
                        const std::string& connection) {
  if (!FollowSender(request.term_, request.from_, connection, request.round_)) {
    return;
  }
  const state::LogSnapshot& snapshot = request.snapshot_;
  if (snapshot.index_ > commit_) {
    if (log_.TermAt(snapshot.index_) == snapshot.term_) {
      // The entries are all here; only the commit index is new.
      commit_ = snapshot.index_;
    } else {
      const auto shared = std::make_shared<const state::LogSnapshot>(snapshot);
      durability_.Restored(shared, commit_);
      log_.Restore(shared);
      commit_ = snapshot.index_;
      restore_pending_ = true;
    }
    verified_ = std::max(verified_, commit_);
  }
  AcknowledgeAppend();
}

}  // namespace gooseberrygap::coordination
