#ifndef STATE_API_MEMBERSHIP_TABLE_H_
#define STATE_API_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/api/clock.h"
#include "state/api/target.h"

namespace gooseberrygap::state {

// A daemon's record as one control instance knows it.
struct MembershipRecord {
  const TargetRecord record_ = {};
  // Control instance that holds the lease, and its incarnation.
  const std::string holder_ = {};
  const uint64_t holder_epoch_ = 0;
  // The holder is not heard from, so the target counts as left until it is.
  // Only a local judgement: it is not passed on to other control instances.
  const bool suspended_ = false;
  // The service before the last change of service, for its subscribers.
  const std::string former_service_ = {};
  const uint64_t change_version_ = 0;
  const Millis changed_at_ = {};

  friend bool operator==(const MembershipRecord&,
                         const MembershipRecord&) = default;
};

enum class MergeResult {
  kNewer,  // Taken; the table has changed.
  kSame,   // Known already.
  kOlder,  // A newer record is known; nothing has changed.
};

// The records of all daemons, one for each instance, with a version that every
// change raises. Not thread-safe.
class MembershipTable {
 public:
  // Takes the record when it is newer: a higher LeaseVersion, or the same one
  // and the record has left while the known one has not, which is how an
  // expiry is told.
  MergeResult Merge(const TargetRecord& record,
                    absl::string_view holder,
                    uint64_t holder_epoch,
                    Millis now);
  // Marks the record as left, with the version of the lease that expired, so
  // that any newer renewal wins. Returns whether the table has changed.
  bool Expire(absl::string_view instance, Millis now);
  // Returns whether the table has changed.
  bool SetSuspended(absl::string_view instance, bool suspended, Millis now);
  // Removes records that left or were suspended several minutes ago.
  void Purge(Millis now);

  // Returns the record, or null. Valid until the next change.
  const MembershipRecord* Find(absl::string_view instance) const;
  uint64_t version() const { return version_; }
  // Whether ChangesSince(version) tells everything: no record that changed
  // after that version has been purged.
  bool HasChangesSince(uint64_t version) const;
  // Returns the records that changed after that version, in that order.
  std::vector<MembershipRecord> ChangesSince(uint64_t version) const;

 private:
  // Notes that a holder which has restarted still holds the lease. Subscribers
  // would see no difference, so the version stays.
  void Confirm(const MembershipRecord& known,
               absl::string_view holder,
               uint64_t holder_epoch);
  void Put(const MembershipRecord& record);

  uint64_t version_ = 0;
  uint64_t purged_version_ = 0;  // Highest version of a purged record.
  std::map<std::string, MembershipRecord, std::less<>> records_;
  std::map<uint64_t, std::string> by_version_;
};

// Returns the record as routing sees it: left while it is suspended.
// Thread-safe.
TargetRecord EffectiveRecord(const MembershipRecord& record);

}  // namespace gooseberrygap::state

#endif  // STATE_API_MEMBERSHIP_TABLE_H_
