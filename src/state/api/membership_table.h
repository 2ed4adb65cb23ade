#ifndef STATE_API_MEMBERSHIP_TABLE_H_
#define STATE_API_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include "absl/functional/function_ref.h"
#include "absl/strings/string_view.h"

#include "state/api/clock.h"
#include "state/api/target.h"

namespace gooseberrygap::state {

// A control instance's copy of a daemon's record.
struct MembershipRecord {
  const TargetRecord record_ = {};
  // Control instance that holds the daemon's lease, and the incarnation of that
  // control instance.
  const std::string holder_ = {};
  const uint64_t holder_epoch_ = 0;
  // The lease holder is unresponsive, so the target counts as left until
  // contact resumes. Local only: not replicated to other control instances.
  const bool suspended_ = false;
  // Service before the last change of service, whose subscribers need the
  // change too.
  const std::string former_service_ = {};
  const uint64_t change_version_ = 0;
  const Millis changed_at_ = {};

  friend bool operator==(const MembershipRecord&,
                         const MembershipRecord&) = default;
};

enum class MergeResult {
  kNewer,  // The record was stored; the table has changed.
  kSame,   // The record was already stored.
  kOlder,  // A newer record is stored; nothing has changed.
};

// The records of all daemons, one per instance, with a version that every
// change increments. Not thread-safe.
class MembershipTable {
 public:
  // Stores the record if it is newer, with the stored withdrawal if it names
  // none: a daemon that has restarted does not know of it. A record is newer if
  // it has a higher LeaseVersion, or the same
  // one and is kLeft while the stored one is not, which is how an expiry is
  // replicated.
  MergeResult Merge(const TargetRecord& record,
                    absl::string_view holder,
                    uint64_t holder_epoch,
                    Millis now);
  // Marks the record as left and keeps the version of the expired lease, so
  // that any newer renewal takes precedence. Returns whether the table has
  // changed.
  bool Expire(absl::string_view instance, Millis now);
  // Returns whether the table has changed.
  bool SetSuspended(absl::string_view instance, bool suspended, Millis now);
  // Removes records that have been left or suspended for several minutes.
  void Purge(Millis now);

  // Returns the record, or null. Valid until the next change.
  const MembershipRecord* Find(absl::string_view instance) const;
  uint64_t version() const { return version_; }
  // Returns the version of the last change that matters to routing. A move of a
  // lease alone does not.
  uint64_t routing_version() const { return routing_version_; }
  // Returns whether ChangesSince(version) is complete: `version` is not above
  // the current one and no record that changed after it has been purged.
  bool HasChangesSince(uint64_t version) const;
  // Returns the records that changed after `version`, in order of their
  // changes.
  std::vector<MembershipRecord> ChangesSince(uint64_t version) const;
  // Returns the first record that changed after `version` and that `matches`
  // accepts, or null. Copies no record. Valid until the next change.
  const MembershipRecord* FindChange(
      uint64_t version,
      absl::FunctionRef<bool(const MembershipRecord&)> matches) const;

 private:
  // Records that a restarted holder still holds the lease. This is not
  // visible to subscribers, so the version does not change.
  void UpdateHolderEpoch(const MembershipRecord& known,
                         absl::string_view holder,
                         uint64_t holder_epoch);
  void Put(const MembershipRecord& record);

  uint64_t version_ = 0;
  uint64_t routing_version_ = 0;
  uint64_t purged_version_ = 0;  // Highest version of a purged record.
  std::map<std::string, MembershipRecord, std::less<>> records_;
  std::map<uint64_t, std::string> by_version_;
};

// Returns the record for use in routing: kLeft while it is suspended.
// Thread-safe.
TargetRecord EffectiveRecord(const MembershipRecord& record);

}  // namespace gooseberrygap::state

#endif  // STATE_API_MEMBERSHIP_TABLE_H_
