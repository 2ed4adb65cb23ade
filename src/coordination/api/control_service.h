#ifndef COORDINATION_API_CONTROL_SERVICE_H_
#define COORDINATION_API_CONTROL_SERVICE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/control_client.h"

namespace gooseberrygap::coordination {

// Events of the control service.

// A message from a daemon or from another control instance. Kinds that the
// service does not handle are ignored.
struct ControlMessage {
  // Connection that the peer opened, or the address of an own connection.
  const std::string connection_ = {};
  const PeerMessage message_ = {};
};

// A committed log entry, in order of the index. Entries that are no commands
// are given too, with no command, since a read index may be theirs.
struct EntryCommitted {
  const uint64_t index_ = 0;
  const std::optional<state::LogCommand> command_ = {};
};

enum class ProposalOutcome {
  kCommitted,  // The entry is given as EntryCommitted, before or after.
  kRefused,    // Not committed, and never will be.
  kLost,       // May be committed already, later or never.
};

struct ProposalEnded {
  const uint64_t tag_ = 0;
  const ProposalOutcome outcome_ = ProposalOutcome::kCommitted;
};

struct ReadIndexAnswered {
  const uint64_t read_id_ = 0;
  const bool confirmed_ = false;
  const uint64_t index_ = 0;
};

// Age of the knowledge of an instance that has never heard from a leader;
// finite, so that it can be sent.
inline constexpr state::Millis kNeverContacted(1e9);

// What the replicated log knows of its leader. Give it on every change and
// before every tick.
struct LogStatus {
  const bool formed_ = false;
  const bool leads_ = false;
  const bool has_quorum_ = false;          // Of the leader itself.
  const std::string leader_address_ = {};  // Empty when unknown.
  // Members of the group; empty while this instance knows none.
  const std::vector<ControlAddress> members_ = {};
  // When a leader with a quorum was last heard from; nothing if never.
  const std::optional<state::Millis> last_leader_contact_ = {};
};

// The replicated state was replaced by a snapshot.
struct SnapshotRestored {
  const uint64_t index_ = 0;
  const state::ReplicatedState state_ = {};
};

// Time has passed. Give it about every 10 ms.
struct ControlTick {
  const uint64_t wall_millis_ = 0;
};

using ControlEvent = std::variant<ControlMessage,
                                  EntryCommitted,
                                  ProposalEnded,
                                  ReadIndexAnswered,
                                  LogStatus,
                                  SnapshotRestored,
                                  ControlTick>;

// A command to append to the log; its end is given as ProposalEnded.
struct Proposal {
  const uint64_t tag_ = 0;
  const state::LogCommand command_ = {};

  friend bool operator==(const Proposal&, const Proposal&) = default;
};

// What an event leads to.
struct ControlStep {
  Commands commands_;
  std::vector<Proposal> proposals_;
  // Ids of read indexes to request; each ends with ReadIndexAnswered.
  std::vector<uint64_t> read_ids_;
};

// The decisions of one control instance: grants leases, keeps membership and
// exchanges its changes with the other control instances, distributes
// configurations, applies the replicated log, convicts requests that crash
// their targets, and on the leader proposes commands. Not thread-safe.
class ControlService {
 public:
  // `self` is this instance as the settings name it; `control_instances` are
  // all of them, with or without itself. `epoch` differs at every start, as
  // wall time in milliseconds does. `counters` must outlive the service.
  ControlService(ControlAddress self,
                 std::vector<ControlAddress> control_instances,
                 uint64_t epoch,
                 state::Counters* counters,
                 state::Millis now);
  ~ControlService();

  ControlStep Handle(const ControlEvent& event, state::Millis now);

  // Returns the replicated state after the last committed entry, for a
  // snapshot.
  state::ReplicatedState Snapshot() const;
  // Returns the index of the last committed entry.
  uint64_t applied_index() const;
  // Returns the newest committed configuration; index 0 when there is none.
  state::IndexedConfiguration configuration() const;
  // Returns all known records, for the status page.
  std::vector<state::MembershipRecord> Members() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_CONTROL_SERVICE_H_
