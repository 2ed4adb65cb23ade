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
  // The daemon serves calls under API keys only while they are confirmed.
  const bool requires_confirmed_keys_ = false;

  friend bool operator==(const ControlClientOptions&,
                         const ControlClientOptions&) = default;
};

// Keeps a daemon's lease with one control instance, and receives configuration
// and membership with the replies. Never applies a configuration with a lower
// index than the one in force. Applies the first one only when a quorum has
// confirmed that it is current. Not thread-safe.
class ControlClient {
 public:
  // `self` is the daemon's record without a target; its incarnation is the wall
  // time at which the daemon started. Control instances in the same region are
  // preferred. `counters` must outlive the client.
  ControlClient(state::TargetRecord self,
                std::vector<ControlAddress> control_instances,
                state::Counters* counters,
                ControlClientOptions options = {});
  ~ControlClient();

  // Result of handling an event. A flag is set when configuration(), Targets(),
  // refused_fingerprints() or evacuations() may return a different value than
  // before.
  struct Step {
    Commands commands_;
    bool configuration_changed_ = false;
    bool membership_changed_ = false;
    bool refused_fingerprints_changed_ = false;
    bool evacuations_changed_ = false;
  };

  // Adds peer addresses of control instances to contact when no known instance
  // replies.
  void SetSeeds(const std::vector<std::string>& addresses);

  // Announces a change of this daemon's target with an immediate renewal. Sends
  // nothing when nothing has changed. An empty service withdraws the target.
  // The target is sent only after the first granted reply of an instance that
  // has been up to date, which carries the withdrawal that a daemon has
  // forgotten by its restart.
  Step Announce(const std::string& target,
                const std::string& service,
                int slots,
                state::TargetState target_state,
                state::Millis now,
                const state::TargetWithdrawal& withdrawal = {});
  // Reports a crash of this daemon's target with an immediate renewal.
  Step ReportCrash(const std::vector<CrashReport>& crashes, state::Millis now);
  // Handles a reply received on the connection to `address`.
  Step OnReply(const std::string& address,
               const LeaseReply& reply,
               state::Millis now);
  // Renews the lease when it is due, and moves it when the control instance is
  // unresponsive or stale. Call it about every 10 ms.
  Step Tick(state::Millis now);
  // Makes the next renewal due sooner than usual. Call it while the daemon's
  // authorization lease runs low.
  void RenewSoon();
  // Renews at once, unless the last renewal is only some milliseconds old. Call
  // it, again at each tick, while a call waits for recent knowledge.
  Step RenewNow(state::Millis now);

  // Returns the configuration in force; index 0 when none has been applied.
  const state::IndexedConfiguration& configuration() const;
  // Returns whether a control instance has sent its whole membership table.
  bool has_membership() const;
  // Returns all known targets, of every service, that have not left.
  std::vector<state::TargetRecord> Targets() const;
  const std::vector<RefusedFingerprint>& refused_fingerprints() const;
  // Returns the newest evacuations that any reply has carried. They stay in
  // force while the daemon has no contact with the control group.
  const state::Evacuations& evacuations() const;
  // Returns the leader's address from the last granted reply that named one, or
  // an empty string.
  const std::string& leader_address() const;
  // Returns an upper bound of the time since the configuration in force here
  // was the newest one, as far as the instances that this daemon has followed
  // could tell; infinity if never.
  state::Millis Staleness(state::Millis now) const;
  // Returns the withdrawal that the last granted reply carried; one without a
  // name when there is none.
  const state::TargetWithdrawal& kept_withdrawal() const;
  // Returns the last withdrawal of this daemon's targets that is in the log of
  // the control group; one without a name when there is none.
  const state::TargetWithdrawal& stored_withdrawal() const;
  // Returns this daemon's record, which its renewals announce after the first
  // granted reply.
  const state::TargetRecord& record() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_CONTROL_CLIENT_H_
