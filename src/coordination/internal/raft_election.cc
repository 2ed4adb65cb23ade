#include <utility>
#include "absl/random/uniform_real_distribution.h"

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

bool Raft::Impl::IsVoter() const {
  const state::ControlMember* self = FindMember(log_.members(), identity_);
  return self != nullptr && self->voter_;
}

void Raft::Impl::ResetElectionTimer() {
  election_due_ = now_ + RandomMillis(random_, options_.election_timeout_min_,
                                      options_.election_timeout_max_);
}

bool Raft::Impl::HasLeaderContact() const {
  return role_ == RaftRole::kLeader ||
         (!leader_.empty() &&
          now_ - last_contact_ < options_.election_timeout_min_);
}

void Raft::Impl::BecomeFollower(uint64_t term, const std::string& leader) {
  if (role_ == RaftRole::kLeader) {
    last_contact_ = now_ - ContactAge(now_);
    had_contact_ = true;
    if (HasCommittedInCurrentTerm()) {
      last_up_to_date_ = last_contact_;
    }
    AnswerLeaderReads(reads_.TakeAll(), false);
    progress_.clear();
  }
  if (role_ != RaftRole::kFollower) {
    ResetElectionTimer();
  }
  if (term > term_) {
    term_ = term;
    voted_for_.clear();
    durability_.OnVoteChanged();
    durability_.DropDeferred();
    reads_.FailForwarded();
    leader_round_ = 0;
    verified_index_ = commit_index_;
    acknowledged_index_ = 0;
    awaited_commit_.reset();
  }
  role_ = RaftRole::kFollower;
  leader_ = leader;
  votes_.clear();
}

void Raft::Impl::StartPreVote() {
  role_ = RaftRole::kPreCandidate;
  leader_.clear();
  votes_ = {identity_};
  RequestVotes(true);
  pre_vote_retry_due_ = now_ + options_.heartbeat_interval_;
  CountVotes();
}

void Raft::Impl::StartElection() {
  role_ = RaftRole::kCandidate;
  ++term_;
  voted_for_ = identity_;
  durability_.OnVoteChanged();
  durability_.DropDeferred();
  leader_round_ = 0;
  verified_index_ = commit_index_;
  acknowledged_index_ = 0;
  awaited_commit_.reset();
  votes_ = {identity_};
  election_due_ = now_ + RandomMillis(random_, options_.candidate_timeout_min_,
                                      options_.candidate_timeout_max_);
  RequestVotes(false);
}

void Raft::Impl::RequestVotes(bool pre_vote) {
  for (const state::ControlMember& member : log_.members()) {
    if (!member.voter_ || member.identity_ == identity_) {
      continue;
    }
    SendToPeer command{
        .address_ = member.address_,
        .message_ = VoteRequest{.group_ = options_.group_,
                                .from_ = identity_,
                                .to_ = member.identity_,
                                .term_ = pre_vote ? term_ + 1 : term_,
                                .pre_vote_ = pre_vote,
                                .last_index_ = log_.last_index(),
                                .last_term_ = log_.last_term()}};
    // A pre-vote request does not depend on durable state.
    if (pre_vote) {
      step_->commands_.emplace_back(std::move(command));
    } else {
      durability_.DeferUntilVoteDurable(std::move(command));
    }
  }
}

void Raft::Impl::CountVotes() {
  size_t granted = 0;
  for (const state::ControlMember& member : log_.members()) {
    granted += member.voter_ && votes_.contains(member.identity_) ? 1 : 0;
  }
  if (granted <= CountVoters(log_.members()) / 2) {
    return;
  }
  if (role_ == RaftRole::kPreCandidate) {
    StartElection();
  } else if (durability_.IsVoteDurable()) {
    // This member's own vote counts only once it is durable.
    BecomeLeader();
  }
}

bool Raft::Impl::IsUpToDate(const VoteRequest& request) const {
  return std::pair(request.last_term_, request.last_index_) >=
         std::pair(log_.last_term(), log_.last_index());
}

void Raft::Impl::OnPeer(const VoteRequest& request,
                        const std::string& connection) {
  // Learners reply to requests too: the candidate's log may already contain
  // their promotion, and the candidate counts only the voters in its own list.
  if (FindMember(log_.members(), identity_) == nullptr) {
    return;
  }
  const bool is_stale =
      request.term_ < term_ || (request.pre_vote_ && request.term_ == term_);
  if (!is_stale && HasLeaderContact()) {
    // A member that was isolated or removed must not depose a working leader.
    return;
  }
  bool granted = false;
  if (request.pre_vote_) {
    granted = !is_stale && IsUpToDate(request);
  } else if (!is_stale) {
    if (request.term_ > term_) {
      BecomeFollower(request.term_, "");
    }
    granted = (voted_for_.empty() || voted_for_ == request.from_) &&
              IsUpToDate(request);
    if (granted) {
      voted_for_ = request.from_;
      durability_.OnVoteChanged();
      ResetElectionTimer();
    }
  }
  const bool echo_term = request.pre_vote_ && granted;
  ReplyWhenDurable(connection,
                   VoteReply{.group_ = options_.group_,
                             .from_ = identity_,
                             .to_ = request.from_,
                             .term_ = echo_term ? request.term_ : term_,
                             .pre_vote_ = request.pre_vote_,
                             .granted_ = granted});
}

void Raft::Impl::OnPeer(const VoteReply& reply,
                        const std::string& /*connection*/) {
  if (!reply.granted_) {
    if (reply.term_ > term_) {
      BecomeFollower(reply.term_, "");
    }
    return;
  }
  const bool answers_pre_vote = role_ == RaftRole::kPreCandidate &&
                                reply.pre_vote_ && reply.term_ == term_ + 1;
  const bool answers_vote =
      role_ == RaftRole::kCandidate && !reply.pre_vote_ && reply.term_ == term_;
  if (answers_pre_vote || answers_vote) {
    votes_.insert(reply.from_);
    CountVotes();
  }
}

void Raft::Impl::TickFollower() {
  if (now_ < election_due_) {
    return;
  }
  if (IsVoter()) {
    StartPreVote();
  } else {
    leader_.clear();
  }
}

// Repeats the request at short intervals, since the others may have refused
// only because their last contact with the lost leader was slightly later.
void Raft::Impl::TickPreCandidate() {
  if (now_ >= pre_vote_retry_due_) {
    RequestVotes(true);
    pre_vote_retry_due_ = now_ + options_.heartbeat_interval_;
  }
}

void Raft::Impl::TickCandidate() {
  if (now_ >= election_due_) {
    StartPreVote();
  }
}

}  // namespace gooseberrygap::coordination
