#ifndef COORDINATION_API_RAFT_H_
#define COORDINATION_API_RAFT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>
#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"

#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

struct RaftOptions {
  const uint32_t group_ = 0;
  const state::Millis heartbeat_interval_ = state::Millis(100);
  // Range of the random election timeout. The lower bound is also the time
  // after which a leader without contact to a quorum steps down, and the time
  // for which a voter refuses votes after its last contact with the leader.
  const state::Millis election_timeout_min_ = state::Millis(500);
  const state::Millis election_timeout_max_ = state::Millis(1000);
  // Range of the random delay of the first election after a start.
  const state::Millis first_election_delay_min_ = state::Millis(150);
  const state::Millis first_election_delay_max_ = state::Millis(450);
  // Range of the random time after which a candidate without a majority
  // abandons its election. Must cover a round trip between regions and a sync
  // of the log; short, so that a new leader is elected within 2 s even after a
  // split vote.
  const state::Millis candidate_timeout_min_ = state::Millis(150);
  const state::Millis candidate_timeout_max_ = state::Millis(400);
  // Limits on the entries in one AppendRequest. A single entry may exceed
  // max_append_bytes_.
  const uint64_t max_append_entries_ = 256;
  const uint64_t max_append_bytes_ = uint64_t{256} * 1024;
  // No further entries are sent to a follower that has this many entries or
  // bytes to acknowledge.
  const uint64_t max_in_flight_entries_ = 4096;
  const uint64_t max_in_flight_bytes_ = uint64_t{2} * 1024 * 1024;
  // Limits on the entries kept in memory although the snapshot covers them, so
  // that a follower that lags slightly needs no snapshot.
  const uint64_t retained_entries_ = 1024;
  const uint64_t retained_bytes_ = uint64_t{4} * 1024 * 1024;
  // New proposals are refused while this many entries are uncommitted.
  const uint64_t max_uncommitted_entries_ = 8192;
  // A learner is promoted to voter when it lacks at most this many entries.
  const uint64_t max_promotion_lag_ = 64;
  // Learners are not promoted while the group has this many voters, without
  // those that are leaving; 0 for no limit.
  const uint64_t max_voters_ = 0;

  friend bool operator==(const RaftOptions&, const RaftOptions&) = default;
};

// Events.

// A message from a peer. Replies are sent on `connection_`. Messages that do
// not belong to the replicated log, to this group or to this identity are
// dropped.
struct RaftMessageReceived {
  const std::string connection_ = {};
  const PeerMessage message_ = {};
};

// All batches up to and including `sequence_` are durable.
struct RaftPersisted {
  const uint64_t sequence_ = 0;
};

// Proposes `payload_` as a command entry. The result is reported under `tag_`
// when the proposal finishes, as for the membership changes below.
struct RaftPropose {
  const uint64_t tag_ = 0;
  const state::Bytes payload_ = {};
};

// Forms the group. Every member must be formed with the identical list. Refused
// when the log is not empty or this member's identity is not a voter in the
// list.
struct RaftForm {
  const uint64_t tag_ = 0;
  const std::vector<state::ControlMember> members_ = {};
};

// Adds a learner. The leader promotes it to voter by a further entry as soon as
// it has caught up. The proposal finishes when the entry that adds the learner
// is committed.
struct RaftAddMember {
  const uint64_t tag_ = 0;
  const state::ControlMember member_ = {};
};

// Removes a member. Refused when it is unknown or the last voter.
struct RaftRemoveMember {
  const uint64_t tag_ = 0;
  const std::string identity_ = {};
};

// Records in the member list whether a voter is leaving. The place of a leaving
// voter is given to a learner that has caught up.
struct RaftSetLeaving {
  const uint64_t tag_ = 0;
  const std::string identity_ = {};
  const bool leaving_ = true;
};

// Requests a read index: an index at or above that of every entry acknowledged
// as committed before this event. `read_id_` is unique among the pending reads
// of this member.
struct RaftReadIndex {
  const uint64_t read_id_ = 0;
};

// The owner took a snapshot: `content_` is the state machine's content after
// the committed entry at `index_`.
struct RaftSnapshotMade {
  const uint64_t index_ = 0;
  const state::Bytes content_ = {};
};

// Drives the timers. Sent about every 10 ms.
struct RaftTick {};

using RaftEvent = std::variant<RaftMessageReceived,
                               RaftPersisted,
                               RaftPropose,
                               RaftForm,
                               RaftAddMember,
                               RaftRemoveMember,
                               RaftSetLeaving,
                               RaftReadIndex,
                               RaftSnapshotMade,
                               RaftTick>;

// Results of events.

// Changes that the disk duty makes durable, in this order: truncate, snapshot,
// vote, entries, sync. Batches are written in the order of their sequence.
struct RaftBatch {
  const uint64_t sequence_ = 0;
  const uint64_t truncate_from_ = 0;  // Index; 0: no truncation.
  const std::optional<state::LogSnapshot> snapshot_ = {};
  const std::optional<state::VoteRecord> vote_ = {};
  const std::vector<state::LogEntry> entries_ = {};

  friend bool operator==(const RaftBatch&, const RaftBatch&) = default;
};

// Returns one batch with the effect of writing `batches` in order. Batches that
// follow each other can be merged whether or not the disk holds a part of them.
// Precondition: `batches` is not empty. Thread-safe.
RaftBatch MergeBatches(absl::Span<const RaftBatch> batches);

enum class ProposalStatus {
  kCommitted,      // Committed at `index_`.
  kNotLeader,      // Not appended: this member is not the leader.
  kLost,           // Another leader's entry was committed at its index.
  kUnknown,        // A snapshot covers its index; it may be committed or not.
  kOverloaded,     // Not appended: too many uncommitted entries.
  kChangePending,  // Not appended: an earlier change is not yet committed.
  kInvalidChange,  // Not appended: the change does not fit the member list.
  kAlreadyFormed,  // Not appended: the log is not empty.
};

struct ProposalResult {
  const uint64_t tag_ = 0;
  const ProposalStatus status_ = ProposalStatus::kCommitted;
  const uint64_t index_ = 0;  // Index of the entry; 0 unless kCommitted.

  friend bool operator==(const ProposalResult&,
                         const ProposalResult&) = default;
};

// Result of a RaftReadIndex event. When confirmed, this step or an earlier one
// contains the committed entries up to `index_`. A read that is not confirmed
// may be retried.
struct ReadIndexResult {
  const uint64_t read_id_ = 0;
  const bool confirmed_ = false;
  const uint64_t index_ = 0;

  friend bool operator==(const ReadIndexResult&,
                         const ReadIndexResult&) = default;
};

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

struct RoleChange {
  const RaftRole role_ = RaftRole::kFollower;
  const uint64_t term_ = 0;
  const std::string leader_ = {};          // Identity; empty when unknown.
  const std::string leader_address_ = {};  // Empty when unknown.

  friend bool operator==(const RoleChange&, const RoleChange&) = default;
};

// Replication status of a member, which only the leader tracks.
struct MemberStatus {
  const state::ControlMember member_ = {};
  // Highest index known to be durable on the member; 0 when read from a
  // follower.
  const uint64_t match_index_ = 0;
  // Time since the beginning of the last round that the member acknowledged, or
  // since the leader began to track it; 0 for the leader itself and when read
  // from a follower.
  const state::Millis last_contact_age_ = {};

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

// The replicated log of one control group (Raft): decides what to send, to
// store and to apply. A member whose identity is not in its member list neither
// votes nor campaigns. Messages that depend on durable state are returned only
// after the RaftPersisted event of the batch with that state. Not thread-safe.
class Raft {
 public:
  // Actions for the owner, to be executed in the order of their declaration:
  // replace the state machine's content by `restore_`, apply `committed_`, then
  // report the results of proposals and reads. The batch may be written while
  // the commands are sent.
  struct Step {
    std::optional<RaftBatch> batch_;
    Commands commands_;  // SendToPeer and ReplyToPeer.
    std::optional<state::LogSnapshot> restore_;
    std::vector<state::LogEntry> committed_;
    std::vector<ProposalResult> proposal_results_;
    std::vector<ReadIndexResult> reads_;
    std::optional<RoleChange> role_change_;
  };

  // Starts from the stored `log`; the first step restores its snapshot, if any.
  // `random` must outlive this object.
  Raft(RaftOptions options,
       const state::LoadedLog& log,
       absl::BitGenRef random,
       state::Millis now);
  ~Raft();

  // Handles one event.
  Step Handle(const RaftEvent& event, state::Millis now);
  // Handles all pending events in order, with one batch for the disk and
  // combined messages.
  Step Handle(absl::Span<const RaftEvent> events, state::Millis now);

  const std::string& identity() const;
  RaftRole role() const;
  uint64_t term() const;
  // Identity of the leader, empty when unknown.
  const std::string& leader() const;
  // Peer address of the leader, empty when unknown.
  std::string leader_address() const;
  uint64_t commit_index() const;
  uint64_t last_index() const;
  // The latest member list in the log, committed or not.
  const std::vector<state::ControlMember>& members() const;
  // Returns whether that list is committed.
  bool members_committed() const;
  // Returns the replication status of every member in the latest list.
  std::vector<MemberStatus> Status(state::Millis now) const;
  // Returns the time since this member's last contact with a leader or, on the
  // leader, with a quorum; 1e15 ms when it had none since its start.
  state::Millis ContactAge(state::Millis now) const;
  // Returns the time since this member had last applied every entry that was
  // committed; 1e15 ms when that was not so since its start. A member that
  // receives messages of its leader but lacks entries grows stale, and so does
  // a leader that has not committed an entry of its own term.
  state::Millis Staleness(state::Millis now) const;
  // Size of the log after the snapshot, by which the owner decides when to take
  // the next one.
  uint64_t EntriesSinceSnapshot() const;
  uint64_t BytesSinceSnapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_RAFT_H_
