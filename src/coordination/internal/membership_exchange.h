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

// Exchanges membership with the other control instances: sends the changes of
// the records that this instance holds until they are acknowledged, takes
// theirs, and suspends the records of a holder that is silent. A message
// without changes, once a second, tells the others that this instance lives.
// Not thread-safe.
class MembershipExchange {
 public:
  // `table` and `counters` must outlive the exchange.
  MembershipExchange(std::string self,
                     uint64_t epoch,
                     const std::vector<ControlAddress>& instances,
                     state::MembershipTable* table,
                     state::Counters* counters,
                     state::Millis now);

  // Exchanges with these instances from now on, and no longer with others.
  void SetInstances(const std::vector<ControlAddress>& instances,
                    state::Millis now);

  // What every message carries besides the changes.
  struct Extras {
    std::vector<RefusedFingerprint> refused_fingerprints_;
    std::vector<CrashReport> crashes_;
  };

  // Takes the changes of another instance. Returns the acknowledgement, or
  // nothing when the sender is not in the settings.
  Commands OnSync(const std::string& connection,
                  const MembershipSync& sync,
                  state::Millis now);
  void OnAck(const MembershipSyncAck& ack);
  // Whether SendDue would send something. Call it about every 10 ms.
  bool IsDue(state::Millis now);
  Commands SendDue(const Extras& extras, state::Millis now);
  // Sends to every other instance at the next SendDue.
  void SendSoon();
  // Suspends and restores the records of other holders.
  void JudgeHolders(state::Millis now);
  // This process was paused: it could not hear anybody for that time.
  void OnPause(state::Millis pause);

  // Whether every other instance has told its whole table, so that this one's
  // table can be given to daemons.
  bool HasHeardAll() const;

 private:
  struct Peer {
    std::string address_;
    uint64_t epoch_ = 0;      // 0 until heard from.
    uint64_t received_ = 0;   // Version of its table taken up to here.
    bool has_table_ = false;  // It has told its whole table.
    uint64_t acked_ = 0;      // Version of the own table that it has.
    uint64_t examined_ = 0;   // Version of the own table looked at for changes.
    state::Millis heard_at_;
    state::Millis epoch_since_;
    state::Millis send_at_;
  };

  void TakeChanges(Peer* peer, const MembershipSync& sync, state::Millis now);
  Commands Send(Peer* peer, const Extras& extras, state::Millis now);
  std::vector<LeasedRecord> OwnChangesSince(uint64_t version) const;
  bool IsSilent(const state::MembershipRecord& record, state::Millis now) const;

  const std::string self_;
  const uint64_t epoch_;
  state::MembershipTable* table_;
  state::Counters* counters_;
  const state::Millis started_;
  std::map<std::string, Peer> peers_;
  bool knows_instances_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_MEMBERSHIP_EXCHANGE_H_
