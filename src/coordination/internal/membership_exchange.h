#ifndef COORDINATION_INTERNAL_MEMBERSHIP_EXCHANGE_H_
#define COORDINATION_INTERNAL_MEMBERSHIP_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/control_client.h"

namespace gooseberrygap::coordination {

// A daemon renews its lease every second and loses it after this time.
inline constexpr state::Millis kLeaseTime(3000);

// Synchronises membership tables with the other control instances: sends the
// changes of records whose lease this instance holds until they are
// acknowledged, applies the changes of the others, and suspends the records of
// an unresponsive holder. A message without changes, sent once a second, is the
// heartbeat of this instance. Not thread-safe.
class MembershipExchange {
 public:
  // `table` and `counters` must outlive the exchange.
  MembershipExchange(std::string self,
                     uint64_t epoch,
                     const std::vector<ControlAddress>& instances,
                     state::MembershipTable* table,
                     state::Counters* counters,
                     state::Millis now);

  // Replaces the instances to exchange with. The state of an instance that is
  // listed again with the same address is kept.
  void SetInstances(const std::vector<ControlAddress>& instances,
                    state::Millis now);

  // Refused requests and crash reports, sent with every message.
  struct PoisonUpdate {
    std::vector<RefusedFingerprint> refused_fingerprints_;
    std::vector<CrashReport> crashes_;
  };

  // Applies the changes from another instance. Returns the acknowledgement, or
  // nothing when the sender is not one of the instances.
  Commands OnSync(const std::string& connection,
                  const MembershipSync& sync,
                  state::Millis now);
  void OnAck(const MembershipSyncAck& ack);
  // Returns whether SendDue would send a message. Also schedules the sending of
  // new changes: call it about every 10 ms.
  bool IsDue(state::Millis now);
  Commands SendDue(const PoisonUpdate& poison, state::Millis now);
  // Makes a message to every other instance due immediately.
  void ScheduleSend();
  // Suspends the records whose lease no live holder keeps, and restores those
  // whose holder is back.
  void UpdateSuspensions(state::Millis now);
  // Extends the timeouts of all holders by the time for which this process was
  // paused and could not receive messages.
  void OnPause(state::Millis pause);

  // Returns whether every other instance has sent its whole table, so that the
  // table of this one is complete and can be sent to daemons.
  bool HasAllTables() const;

 private:
  struct Peer {
    std::string address_;
    uint64_t epoch_ = 0;  // 0 until the first message is received.
    // Version of the peer's table up to which its changes are applied.
    uint64_t received_version_ = 0;
    bool has_table_ = false;  // The peer's whole table was received.
    // Versions of this instance's table: acknowledged by the peer, and checked
    // for changes to send.
    uint64_t acked_version_ = 0;
    uint64_t examined_version_ = 0;
    state::Millis last_contact_at_;  // Time of the last message.
    state::Millis epoch_seen_at_;    // Time of the first message with `epoch_`.
    state::Millis send_at_;          // Time at which the next message is due.
  };

  void ApplyChanges(Peer* peer, const MembershipSync& sync, state::Millis now);
  Commands Send(Peer* peer, const PoisonUpdate& poison, state::Millis now);
  std::vector<LeasedRecord> OwnChangesSince(uint64_t version) const;
  // Returns whether no live holder keeps the lease of the record: its holder is
  // unresponsive, or has restarted and received no renewal.
  bool IsOrphaned(const state::MembershipRecord& record,
                  state::Millis now) const;

  const std::string self_;
  const uint64_t epoch_;
  state::MembershipTable* table_;
  state::Counters* counters_;
  const state::Millis started_at_;
  std::map<std::string, Peer> peers_;
  bool has_instances_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_MEMBERSHIP_EXCHANGE_H_
