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

// What a daemon follows through its lease: the configuration, the membership
// table and the refused fingerprints. Takes nothing older than what it has.
// Not thread-safe.
class FollowedState {
 public:
  // `counters` must outlive this object.
  explicit FollowedState(state::Counters* counters);

  struct Changes {
    bool configuration_ = false;
    bool membership_ = false;
    bool refused_fingerprints_ = false;
    // A delta did not fit: the next renewal asks for the whole document.
    bool needs_whole_ = false;
  };

  // Takes what a granted reply carries.
  Changes Take(const LeaseReply& reply, state::Millis now);
  // Drops refused fingerprints whose time has passed. Returns whether there
  // were any.
  bool DropExpired(state::Millis now);

  const state::IndexedConfiguration& configuration() const;
  // Index to report with a renewal; 0 asks for the whole document.
  uint64_t index_to_report() const;
  uint64_t membership_epoch() const { return membership_epoch_; }
  uint64_t membership_version() const { return membership_version_; }
  // Returns all targets that have not left.
  std::vector<state::TargetRecord> Targets() const;
  const std::vector<RefusedFingerprint>& refused_fingerprints() const {
    return refused_;
  }

 private:
  bool TakeConfiguration(const LeaseReply& reply);
  bool TakeMembership(const LeaseReply& reply);
  bool TakeWholeMembership(const LeaseReply& reply);
  bool TakeRecord(const state::TargetRecord& record);
  bool TakeRecords(const std::vector<state::TargetRecord>& records);
  bool TakeRefused(const LeaseReply& reply, state::Millis now);

  state::Counters* counters_;
  std::optional<state::IndexedConfiguration> configuration_;
  bool wants_whole_ = false;
  uint64_t membership_epoch_ = 0;
  uint64_t membership_version_ = 0;
  std::map<std::string, state::TargetRecord> records_;  // By instance.
  std::vector<RefusedFingerprint> refused_;
  state::Millis refused_at_;  // When `refused_` was received.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_FOLLOWED_STATE_H_
