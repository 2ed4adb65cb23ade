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
#include "coordination/api/policies.h"
#include "coordination/api/quota_use.h"

namespace gooseberrygap::coordination {

// Events of the control service.

// A message from a daemon or from another control instance. Kinds that the
// service does not handle are ignored.
struct ControlMessage {
  // Connection that the peer opened, or the address of one that this daemon
  // opened.
  const std::string connection_ = {};
  const PeerMessage message_ = {};
};

// A committed log entry. Pass the entries in the order of their index, also
// those without a command, since a read index may refer to one.
struct EntryCommitted {
  const uint64_t index_ = 0;
  const std::optional<state::LogCommand> command_ = {};
};

enum class ProposalOutcome {
  kCommitted,  // EntryCommitted is passed for the entry, before or after.
  kRefused,    // The entry was not committed and never will be.
  kLost,       // Unknown: committed already, later or never.
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

// Staleness, in ms, of an instance that has never been up to date. Finite, so
// that it can be encoded in a message.
inline constexpr state::Millis kNeverContacted(1e9);

// State of the replicated log at this instance. Pass it on every change and
// before every tick.
struct LogStatus {
  const bool formed_ = false;
  const bool leads_ = false;
  const bool has_quorum_ = false;          // This instance leads a quorum.
  const std::string leader_address_ = {};  // Empty when unknown.
  // Members of the group; empty while this instance knows none.
  const std::vector<ControlAddress> members_ = {};
  // Last time at which this instance had applied every committed entry; absent
  // if never.
  const std::optional<state::Millis> last_up_to_date_ = {};
  const uint64_t term_ = 0;
  // While this instance leads: the time from which another leader may act,
  // unless a quorum acknowledges a further round.
  const state::Millis authority_until_ = {};
};

// The replicated state was replaced by a snapshot.
struct SnapshotRestored {
  const uint64_t index_ = 0;
  const state::ReplicatedState state_ = {};
};

// Reports the current wall time. Pass it about every 10 ms.
struct ControlTick {
  const uint64_t wall_millis_ = 0;  // Wall time since the Unix epoch, in ms.
};

using ControlEvent = std::variant<ControlMessage,
                                  EntryCommitted,
                                  ProposalEnded,
                                  ReadIndexAnswered,
                                  LogStatus,
                                  SnapshotRestored,
                                  ControlTick>;

// A command to append to the log. Its outcome is passed back as ProposalEnded.
struct Proposal {
  const uint64_t tag_ = 0;
  const state::LogCommand command_ = {};

  friend bool operator==(const Proposal&, const Proposal&) = default;
};

// Result of handling an event.
struct ControlStep {
  Commands commands_;
  std::vector<Proposal> proposals_;
  // Ids of the read indexes to request. ReadIndexAnswered is passed for each.
  std::vector<uint64_t> read_ids_;
};

// The decision logic of one control instance: grants leases, keeps the
// membership table and synchronises it with the other control instances,
// distributes configurations, applies the replicated log, convicts requests
// that crash their targets, and on the leader proposes commands and owns the
// quotas of tenants. Not thread-safe.
class ControlService {
 public:
  // `self` is this instance as named in the settings; `control_instances` lists
  // all control instances, with or without this one. `epoch` must differ at
  // every start, for example the wall time in ms. `counters` must outlive the
  // service.
  ControlService(ControlAddress self,
                 std::vector<ControlAddress> control_instances,
                 uint64_t epoch,
                 state::Counters* counters,
                 state::Millis now,
                 const QuotaPolicy& quota = {});
  ~ControlService();

  ControlStep Handle(const ControlEvent& event, state::Millis now);

  // Returns the replicated state after the last committed entry, for a
  // snapshot.
  state::ReplicatedState Snapshot() const;
  // Returns the index of the last committed entry.
  uint64_t applied_index() const;
  // Returns the newest committed configuration; index 0 when there is none.
  state::IndexedConfiguration configuration() const;
  // Returns the last evacuation orders after the last committed entry.
  state::Evacuations evacuations() const;
  // Returns all records of the membership table, for the status page.
  std::vector<state::MembershipRecord> Members() const;
  // Returns the use of the quotas, for operators.
  QuotaOverview Quotas(state::Millis now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_CONTROL_SERVICE_H_
