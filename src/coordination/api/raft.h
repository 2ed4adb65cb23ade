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
  const state::Millis heartbeat_ = state::Millis(100);
  // An election timeout is drawn from this range. The lower bound is also how
  // long a leader may miss its quorum, and how long voters that hear from a
  // leader refuse to elect another one.
  const state::Millis election_min_ = state::Millis(500);
  const state::Millis election_max_ = state::Millis(1000);
  // The first election after a start is due after a time from this range.
  const state::Millis start_min_ = state::Millis(150);
  const state::Millis start_max_ = state::Millis(450);
  // A candidate without a majority gives up after a time from this range. It
  // must cover a round trip between regions and a sync of the log; it is short
  // so that a split vote still leaves a new leader within 2 s.
  const state::Millis candidate_min_ = state::Millis(150);
  const state::Millis candidate_max_ = state::Millis(400);
  // Limits of one append message and of what a follower has not acknowledged.
  const uint64_t batch_entries_ = 256;
  const uint64_t batch_bytes_ = uint64_t{256} * 1024;
  const uint64_t window_entries_ = 4096;
  const uint64_t window_bytes_ = uint64_t{2} * 1024 * 1024;
  // Entries kept in memory behind a snapshot, so that a follower that is a
  // little behind needs no snapshot.
  const uint64_t tail_entries_ = 1024;
  const uint64_t tail_bytes_ = uint64_t{4} * 1024 * 1024;
  // Proposals beyond this many uncommitted entries are refused.
  const uint64_t max_uncommitted_ = 8192;
  // A learner becomes a voter when it lacks at most this many entries.
  const uint64_t promotion_lag_ = 64;
  // Learners stay learners while the group has this many voters; 0 for no
  // limit.
  const uint64_t max_voters_ = 0;

  friend bool operator==(const RaftOptions&, const RaftOptions&) = default;
};

// Events.

// `connection_` is where replies go. Messages that are not of the replicated
// log, of another group or for another identity are dropped.
struct RaftMessageReceived {
  const std::string connection_ = {};
  const PeerMessage message_ = {};
};

// All batches up to and with `sequence_` are durable.
struct RaftPersisted {
  const uint64_t sequence_ = 0;
};

struct RaftPropose {
  const uint64_t tag_ = 0;
  const state::Bytes payload_ = {};
};

// Forms the group. Every member is formed with the identical list. Refused
// when the log is not empty or the own identity is not a voter in the list.
struct RaftForm {
  const uint64_t tag_ = 0;
  const std::vector<state::ControlMember> members_ = {};
};

// Adds a learner. The leader makes it a voter by a further entry as soon as it
// has caught up. The proposal ends when the learner's entry is committed.
struct RaftAddMember {
  const uint64_t tag_ = 0;
  const state::ControlMember member_ = {};
};

struct RaftRemoveMember {
  const uint64_t tag_ = 0;
  const std::string identity_ = {};
};

// Asks for an index that every entry accepted before this event is at or below.
// `read_id_` is unique among the reads of this member that have no answer yet.
struct RaftReadIndex {
  const uint64_t read_id_ = 0;
};

// The state machine's content after the committed entry at `index_`.
struct RaftSnapshotMade {
  const uint64_t index_ = 0;
  const state::Bytes content_ = {};
};

// Time passes. Sent about every 10 ms.
struct RaftTick {};

using RaftEvent = std::variant<RaftMessageReceived,
                               RaftPersisted,
                               RaftPropose,
                               RaftForm,
                               RaftAddMember,
                               RaftRemoveMember,
                               RaftReadIndex,
                               RaftSnapshotMade,
                               RaftTick>;

// What an event leads to.

// Changes that the disk duty makes durable, in this order: truncate, snapshot,
// vote, entries, sync. Batches are applied in the order of their sequence.
struct RaftBatch {
  const uint64_t sequence_ = 0;
  const uint64_t truncate_from_ = 0;  // Index; 0 for no truncation.
  const std::optional<state::LogSnapshot> snapshot_ = {};
  const std::optional<state::VoteRecord> vote_ = {};
  const std::vector<state::LogEntry> entries_ = {};

  friend bool operator==(const RaftBatch&, const RaftBatch&) = default;
};

enum class ProposalStatus {
  kCommitted,      // At `index_`.
  kNotLeader,      // Not appended; another member may lead.
  kLost,           // Another leader's entry was committed in its place.
  kUnknown,        // A snapshot skipped its place; it may be in or not.
  kOverloaded,     // Not appended: too many uncommitted entries.
  kChangePending,  // Not appended: another membership change is under way.
  kInvalidChange,  // Not appended: the change makes no sense, see the members.
  kAlreadyFormed,  // Not appended: the log is not empty.
};

struct ProposalResult {
  const uint64_t tag_ = 0;
  const ProposalStatus status_ = ProposalStatus::kCommitted;
  const uint64_t index_ = 0;  // Of kCommitted.

  friend bool operator==(const ProposalResult&,
                         const ProposalResult&) = default;
};

// When confirmed, the entries up to `index_` were handed out by this step or by
// an earlier one. A read that is not confirmed may be tried again.
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

// A member as the leader sees it.
struct MemberStatus {
  const state::ControlMember member_ = {};
  const uint64_t match_index_ = 0;             // 0 unless this member leads.
  const state::Millis last_contact_age_ = {};  // 0 unless this member leads.

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

// The replicated log of one control group: decides what to send, to store and
// to apply. A member that lacks its own identity in the member list neither
// votes nor campaigns. Messages that promise something durable are handed out
// only after the RaftPersisted event of the batch that they depend on. Not
// thread-safe.
class Raft {
 public:
  // The owner carries out the parts in the order of their declaration: it
  // replaces the state machine's content by `restore_`, applies `committed_`,
  // and then answers. The batch may be written at the same time as the commands
  // are sent.
  struct Step {
    std::optional<RaftBatch> batch_;
    Commands commands_;  // SendToPeer and ReplyToPeer.
    std::optional<state::LogSnapshot> restore_;
    std::vector<state::LogEntry> committed_;
    std::vector<ProposalResult> proposal_results_;
    std::vector<ReadIndexResult> reads_;
    std::optional<RoleChange> role_change_;
  };

  // Starts from what `log` holds; the first step restores its snapshot.
  // `random` must outlive this object.
  Raft(RaftOptions options,
       const state::LoadedLog& log,
       absl::BitGenRef random,
       state::Millis now);
  ~Raft();

  // Handles one event.
  Step Handle(const RaftEvent& event, state::Millis now);
  // Handles all events that wait, with one batch for the disk and merged
  // messages.
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
  // Members of the latest list in the log, committed or not.
  const std::vector<state::ControlMember>& members() const;
  std::vector<MemberStatus> Status(state::Millis now) const;
  // Returns how long ago this member was last in contact with a leader, or as
  // the leader with a quorum.
  state::Millis KnowledgeAge(state::Millis now) const;
  // Size of the log since the snapshot; tells when to make the next one.
  uint64_t EntriesSinceSnapshot() const;
  uint64_t BytesSinceSnapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_RAFT_H_
