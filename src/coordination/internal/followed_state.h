#ifndef COORDINATION_INTERNAL_FOLLOWED_STATE_H_
#define COORDINATION_INTERNAL_FOLLOWED_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/control_service.h"

namespace gooseberrygap::coordination {

// A daemon's copy of the state that it receives with its lease replies: the
// configuration, the membership table, the refused fingerprints and the
// evacuations. Never replaces a configuration, a record or the evacuations by
// an older version. Not thread-safe.
class FollowedState {
 public:
  // `counters` must outlive this object.
  explicit FollowedState(state::Counters* counters);

  // Parts of the state that a reply has changed.
  struct Changes {
    bool configuration_ = false;
    bool membership_ = false;
    bool refused_fingerprints_ = false;
    // The control instance has a newer configuration than the one in force
    // after the reply: a delta had another base, or an earlier reply was lost.
    bool misses_configuration_ = false;
    // The same for the membership table.
    bool misses_membership_ = false;
  };

  // Applies the content of a reply. Precondition: `reply.granted_`.
  Changes Apply(const LeaseReply& reply, state::Millis now);
  // Applies the evacuations of a reply. Returns whether they have changed. The
  // reply need not be granted: the index says which orders are newer.
  bool ApplyEvacuations(const LeaseReply& reply);
  // Removes refused fingerprints whose hold has expired. Returns whether there
  // were any.
  bool RemoveExpired(state::Millis now);

  const state::IndexedConfiguration& configuration() const;
  uint64_t membership_epoch() const { return membership_epoch_; }
  uint64_t membership_version() const { return membership_version_; }
  // Returns all targets that have not left.
  std::vector<state::TargetRecord> Targets() const;
  const std::vector<RefusedFingerprint>& refused_fingerprints() const {
    return refused_;
  }
  const state::Evacuations& evacuations() const { return *evacuations_; }

 private:
  bool ApplyConfiguration(const LeaseReply& reply);
  // Returns the refused fingerprints after a reply. A conviction that is known
  // here lasts until the end of its hold, whatever the reply lists: an instance
  // that does not know it has not lifted it.
  std::vector<RefusedFingerprint> MergeRefused(const LeaseReply& reply,
                                               state::Millis elapsed) const;
  bool ApplyMembership(const LeaseReply& reply);
  bool ReplaceMembership(const LeaseReply& reply);
  bool ApplyRecord(const state::TargetRecord& record);
  bool ApplyRecords(const std::vector<state::TargetRecord>& records);
  bool ApplyRefusedFingerprints(const LeaseReply& reply, state::Millis now);

  state::Counters* counters_;
  std::optional<state::IndexedConfiguration> configuration_;
  uint64_t membership_epoch_ = 0;
  uint64_t membership_version_ = 0;
  std::map<std::string, state::TargetRecord> records_;  // By instance.
  std::vector<RefusedFingerprint> refused_;
  std::optional<state::Evacuations> evacuations_ = state::Evacuations();
  state::Millis refused_at_;  // Time at which `refused_` was received.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_FOLLOWED_STATE_H_
