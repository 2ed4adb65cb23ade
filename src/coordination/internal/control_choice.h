#ifndef COORDINATION_INTERNAL_CONTROL_CHOICE_H_
#define COORDINATION_INTERNAL_CONTROL_CHOICE_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/api/control_client.h"
#include "coordination/internal/decision_log.h"

namespace gooseberrygap::coordination {

// A daemon moves its lease only to an instance whose staleness is at most this.
inline constexpr state::Millis kMaxFreshStaleness(3000);

// Chooses the control instance that a daemon holds its lease with. Not
// thread-safe.
class ControlChoice {
 public:
  // The first choice is a hash of the daemon's name, which distributes the
  // daemons of a region over its control instances.
  ControlChoice(const state::TargetRecord& self,
                std::vector<ControlAddress> instances);

  // Replaces the instances to choose from; an empty list changes nothing. The
  // state of an instance whose address is listed again is kept, and the current
  // instance stays current if its address is listed.
  void SetInstances(const std::vector<ControlAddress>& instances);

  // Appends instances of which only the address is known. They are kept until
  // SetInstances is called with a different list.
  void AddSeeds(const std::vector<std::string>& addresses);

  bool empty() const { return instances_.empty(); }
  // Returns the address of the current instance. Precondition of this and all
  // following methods: empty() is false.
  const std::string& address() const;
  // Returns whether a reply came from the current instance. Compares the name
  // in the reply and, for a name that is not in the settings, the address from
  // which it was received.
  bool IsCurrent(const std::string& instance, const std::string& address) const;

  // Records the staleness that an instance reported. Returns why the lease
  // should move to it, if so: it is fresh, and either the current instance is
  // stale and this one clearly fresher, or only this one is in the daemon's
  // region.
  std::optional<ControlMoveReason> OnStalenessReport(
      const std::string& instance,
      state::Millis staleness,
      state::Millis now);
  // Makes that instance the current one. Ignores an unknown name.
  void MoveTo(const std::string& instance);
  // Call it when the current instance does not reply. Chooses another one:
  // first one that is known to be fresh and not stale, then the one that was
  // tried least recently, then one in the daemon's region.
  void MoveToNext(state::Millis now);
  // Returns the address of an instance to query for its staleness while the
  // current instance is stale, silent or in another region; otherwise an empty
  // string. The lease moves only after a reply from a fresh instance, so that
  // it does not move back and forth among stale ones.
  std::string AddressToQuery(bool current_is_silent, state::Millis now);

 private:
  struct Instance {
    ControlAddress address_;
    bool in_own_region_ = false;
    bool has_replied_ = false;  // The next two members are valid.
    state::Millis replied_at_;  // Time of the last reply.
    state::Millis staleness_;   // Staleness that the last reply reported.
    // Time at which it was last queried or found unresponsive.
    state::Millis tried_at_;
  };

  bool IsFresh(const Instance& instance, state::Millis now) const;
  // Without a recent reply an instance is neither fresh nor stale.
  bool IsStale(const Instance& instance, state::Millis now) const;
  bool HasValidStaleness(const Instance& instance, state::Millis now) const;
  Instance* Find(const std::string& instance);

  // Stores the instances, those in the daemon's region first, and chooses one
  // by a hash of the daemon's name.
  void OrderAndChoose(std::vector<Instance> instances);

  const std::string self_;
  const std::string region_;
  std::vector<Instance> instances_;  // Those in the daemon's region first.
  size_t current_ = 0;
  std::optional<state::Millis> queried_at_;  // Time of the last query.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CONTROL_CHOICE_H_
