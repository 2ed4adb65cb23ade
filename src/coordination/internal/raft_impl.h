#ifndef COORDINATION_INTERNAL_RAFT_IMPL_H_
#define COORDINATION_INTERNAL_RAFT_IMPL_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/random/distributions.h"
#include "coordination/api/raft.h"
#include "coordination/internal/raft_durability.h"
#include "coordination/internal/raft_log.h"
#include "coordination/internal/raft_progress.h"
#include "coordination/internal/raft_reads.h"
#include "coordination/internal/sent_times.h"

namespace gooseberrygap::coordination {

// Returns a uniformly distributed random time from [from, to).
inline state::Millis RandomMillis(absl::BitGenRef random,
                                  state::Millis from,
                                  state::Millis to) {
  return state::Millis(absl::uniform_real_distribution<double>(
      from.value(), to.value())(random));
}

// Implements a member of the group. raft.cc dispatches events and assembles
// steps, raft_election.cc implements terms and votes, raft_follower.cc and
// raft_leader.cc replication, raft_proposals.cc proposals, membership changes
// and reads. Not thread-safe.
class Raft::Impl {
 public:
  Impl(RaftOptions options,
       const state::LoadedLog& log,
       absl::BitGenRef random,
       state::Millis now);

  Step Handle(absl::Span<const RaftEvent> events, state::Millis now);

  const std::string& identity() const { return identity_; }
  RaftRole role() const { return role_; }
  uint64_t term() const { return term_; }
  const std::string& leader() const { return leader_; }
  std::string AddressOf(const std::string& identity) const;
  uint64_t commit_index() const { return commit_index_; }
  const RaftLog& log() const { return log_; }
  bool members_committed() const {
    return log_.members_index() <= commit_index_;
  }
  std::vector<MemberStatus> Status(state::Millis now) const;
  state::Millis ContactAge(state::Millis now) const;
  state::Millis Staleness(state::Millis now) const;

 private:
  using EventHandler = void (Impl::*)(const RaftEvent&);
  using MessageHandler = void (Impl::*)(const RaftMessageReceived&);
  using RoleHandler = void (Impl::*)();

  struct PendingProposal {
    const uint64_t term_ = 0;
    const uint64_t tag_ = 0;
  };
  // A commit index of the leader of this term, and a time at which it was the
  // newest.
  struct ReportedCommit {
    const uint64_t index_ = 0;
    const state::Millis known_at_;
  };

  // Events (raft.cc). The tables have one handler for each alternative of the
  // variant.
  template <size_t kIndex>
  void HandleEventAs(const RaftEvent& event) {
    On(std::get<kIndex>(event));
  }
  template <size_t kIndex>
  void HandleMessageAs(const RaftMessageReceived& received);
  template <size_t... kIndexes>
  static constexpr std::array<EventHandler, sizeof...(kIndexes)> EventTable(
      std::index_sequence<kIndexes...>);
  template <size_t... kIndexes>
  static constexpr std::array<MessageHandler, sizeof...(kIndexes)> MessageTable(
      std::index_sequence<kIndexes...>);
  void On(const RaftMessageReceived& event);
  void On(const RaftPersisted& event);
  void On(const RaftPropose& event);
  void On(const RaftForm& event);
  void On(const RaftAddMember& event);
  void On(const RaftRemoveMember& event);
  void On(const RaftSetLeaving& event);
  void On(const RaftReadIndex& event);
  void On(const RaftSnapshotMade& event);
  void On(const RaftTick& event);
  // Completes the step after its events have been handled.
  void Flush();
  void FlushCommitted();
  void FlushRoleChange();
  void Send(const std::string& identity, PeerMessage message);
  // Sends the reply once the current term and vote are durable.
  void ReplyWhenDurable(const std::string& connection, PeerMessage message);

  // Elections.
  bool IsVoter() const;
  void BecomeFollower(uint64_t term, const std::string& leader);
  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void RequestVotes(bool pre_vote);
  void CountVotes();
  void ResetElectionTimer();
  bool HasLeaderContact() const;
  bool IsUpToDate(const VoteRequest& request) const;
  void OnPeer(const VoteRequest& request, const std::string& connection);
  void OnPeer(const VoteReply& reply, const std::string& connection);
  void TickFollower();
  void TickPreCandidate();
  void TickCandidate();

  // Follower.
  void OnPeer(const AppendRequest& request, const std::string& connection);
  void OnPeer(const InstallSnapshot& request, const std::string& connection);
  // Returns whether the sender is a leader of the current or a newer term, and
  // if so, becomes its follower.
  bool FollowSender(uint64_t term,
                    const std::string& from,
                    const std::string& connection,
                    uint64_t round);
  bool MatchesLog(const AppendRequest& request) const;
  void AppendFromLeader(const AppendRequest& request);
  uint64_t RefusalHint(uint64_t previous_index) const;
  // Updates `last_up_to_date_`. Call it after the request has been handled.
  void OnCommitReported(const AppendRequest& request);
  void FinishAwaitedCommit();
  void AcknowledgeAppend();
  // Returns the number of a reply that is about to be sent.
  uint64_t NumberReply();
  void RefuseAppend(uint64_t hint);

  // Leader.
  void OnPeer(const AppendReply& reply, const std::string& connection);
  void TickLeader();
  void StartRound();
  void Replicate(const std::string& identity, RaftProgress* progress);
  void ReplicateToAll();
  void SendAppend(const std::string& identity,
                  RaftProgress* progress,
                  uint64_t last_index);
  void SendSnapshot(const std::string& identity, RaftProgress* progress);
  bool MaySendEntries(const RaftProgress& progress) const;
  void SyncProgressWithMembers();
  void AdvanceCommit();
  void StepDownIfRemoved();
  bool HasCommittedInCurrentTerm() const;
  state::Millis CommitKnownAt() const;
  // Returns the last time at which a majority of the voters followed this
  // leader for certain.
  state::Millis LastQuorumContact(state::Millis now) const {
    return QuorumValue(now, &RaftProgress::last_contact);
  }
  // Returns the highest value that a majority of the voters has reached. `own`
  // is the value of this member, `value_of` returns that of another member.
  template <class Value>
  Value QuorumValue(Value own, Value (RaftProgress::*value_of)() const) const {
    std::vector<Value> values;
    for (const state::ControlMember& member : log_.members()) {
      const auto progress = progress_.find(member.identity_);
      if (member.voter_ && member.identity_ == identity_) {
        values.push_back(own);
      } else if (member.voter_ && progress != progress_.end()) {
        values.push_back((progress->second.*value_of)());
      }
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values.empty() ? Value() : values[values.size() / 2];
  }

  // Proposals, members and reads.
  void AppendNewEntry(state::LogEntryKind kind,
                      state::Bytes payload,
                      std::vector<state::ControlMember> members);
  void Propose(uint64_t tag,
               state::LogEntryKind kind,
               state::Bytes payload,
               std::vector<state::ControlMember> members);
  void FinishProposal(uint64_t tag, ProposalStatus status);
  void FinishCommittedProposals();
  std::optional<ProposalStatus> MembershipChangeRefusal() const;
  void PromoteLearner();
  // Returns whether the group has enough voters that stay. A voter that is
  // leaving counts once it is out of contact: it is removed before its place is
  // taken, since a dead voter would raise the majority.
  bool HasEnoughVoters() const;
  bool IsInContact(const std::string& identity) const;
  void AnswerLeaderReads(const std::vector<LeaderRead>& reads, bool confirmed);
  void OnPeer(const ReadIndexRequest& request, const std::string& connection);
  void OnPeer(const ReadIndexReply& reply, const std::string& connection);

  const RaftOptions options_;
  const std::string identity_;
  absl::BitGenRef random_;
  RaftLog log_;
  RaftDurability durability_;
  RaftReads reads_;

  state::Millis now_;
  RaftRole role_ = RaftRole::kFollower;
  uint64_t term_ = 0;
  std::string voted_for_;
  uint64_t commit_index_ = 0;
  uint64_t delivered_index_ = 0;  // Last entry passed to the owner.

  // Follower.
  std::string leader_;
  std::string leader_connection_;
  state::Millis last_contact_;  // Last contact with a leader or a quorum.
  bool had_contact_ = false;
  // Last time at which every committed entry was applied; absent if never.
  std::optional<state::Millis> last_up_to_date_;
  // The earliest commit index reported since then that was not reached yet.
  std::optional<ReportedCommit> awaited_commit_;
  uint64_t leader_round_ = 0;  // Last round of the leader of this term.
  // Replies to leaders, by number. The numbers begin at random, so that an echo
  // of a reply that was sent before a restart is unknown.
  SentTimes replies_;
  uint64_t next_reply_;
  // The log equals the leader's up to this index.
  uint64_t verified_index_ = 0;
  uint64_t acknowledged_index_ = 0;  // Last index acknowledged in this term.

  // Candidate.
  state::Millis election_due_;
  state::Millis pre_vote_retry_due_;
  std::set<std::string> votes_;

  // Leader.
  std::map<std::string, RaftProgress> progress_;
  uint64_t round_ = 0;  // Number of the last heartbeat round started.
  SentTimes rounds_;
  state::Millis heartbeat_due_;
  std::multimap<uint64_t, PendingProposal> proposals_;

  bool restore_pending_ = false;
  std::optional<RoleChange> reported_role_;
  std::optional<Step> step_;  // Result of the events handled so far.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_IMPL_H_
