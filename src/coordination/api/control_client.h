#ifndef COORDINATION_API_CONTROL_CLIENT_H_
#define COORDINATION_API_CONTROL_CLIENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

struct ControlClientOptions {
  // Services whose targets the daemon needs; "*" stands for all.
  const std::vector<std::string> services_ = {"*"};

  friend bool operator==(const ControlClientOptions&,
                         const ControlClientOptions&) = default;
};

// Keeps a daemon's lease with one control instance, and follows configuration
// and membership through it. Never takes a configuration with a lower index
// than the one in force, and takes the first one only when it is vouched for.
// Not thread-safe.
class ControlClient {
 public:
  // `self` is the daemon without a target; its incarnation is the wall time of
  // the start. Instances of the own region are preferred. `counters` must
  // outlive the client.
  ControlClient(state::TargetRecord self,
                std::vector<ControlAddress> control_instances,
                state::Counters* counters,
                ControlClientOptions options = {});
  ~ControlClient();

  // What an event leads to. `configuration_changed_` and `membership_changed_`
  // tell that configuration() and Targets() return something new.
  struct Step {
    Commands commands_;
    bool configuration_changed_ = false;
    bool membership_changed_ = false;
    bool refused_fingerprints_changed_ = false;
  };

  // Control instances to ask when none of the known ones replies.
  void SetSeeds(const std::vector<std::string>& addresses);

  // Announces the own target in a new state, at once. An empty service
  // withdraws it.
  Step Announce(const std::string& target,
                const std::string& service,
                int slots,
                state::TargetState target_state,
                state::Millis now);
  // Reports a crash of the own target, at once.
  Step ReportCrash(const std::vector<CrashReport>& crashes, state::Millis now);
  // Handles a reply that came on the connection to `address`.
  Step OnReply(const std::string& address,
               const LeaseReply& reply,
               state::Millis now);
  // Renews and moves the lease as time passes. Call it about every 10 ms.
  Step Tick(state::Millis now);

  // Returns the configuration in force; index 0 when none is known.
  const state::IndexedConfiguration& configuration() const;
  // Returns whether a control instance has told the membership.
  bool knows_membership() const;
  // Returns all known targets, of every service, that have not left.
  std::vector<state::TargetRecord> Targets() const;
  const std::vector<RefusedFingerprint>& refused_fingerprints() const;
  // Returns the leader's address as last heard, or an empty string.
  const std::string& leader_address() const;
  // Returns how long ago a control instance that knew a quorum's leader was
  // heard from; infinity if never.
  state::Millis Staleness(state::Millis now) const;
  // Returns the record that this daemon last announced.
  const state::TargetRecord& record() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_CONTROL_CLIENT_H_
