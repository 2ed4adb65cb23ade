#ifndef COORDINATION_INTERNAL_CONTROL_SERVICE_IMPL_H_
#define COORDINATION_INTERNAL_CONTROL_SERVICE_IMPL_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/api/control_service.h"
#include "coordination/internal/crash_history.h"
#include "coordination/internal/membership_exchange.h"

namespace gooseberrygap::coordination {

// One part for each duty of the service: control_service.cc dispatches events
// and time, control_service_leases.cc talks to daemons, and
// control_service_log.cc proposes and applies commands.
class ControlService::Impl {
 public:
  Impl(ControlAddress self,
       const std::vector<ControlAddress>& control_instances,
       uint64_t epoch,
       state::Counters* counters,
       state::Millis now);

  ControlStep Handle(const ControlEvent& event, state::Millis now);

  state::ReplicatedState Snapshot() const;
  uint64_t applied_index() const { return applied_index_; }
  const state::ConfigurationStore& configurations() const {
    return configurations_;
  }
  const state::MembershipTable& table() const { return table_; }

 private:
  // A daemon whose lease this instance holds.
  struct Session {
    std::string connection_;  // Of the last renewal.
    std::set<std::string> services_;
    // What the daemon has, as of its last renewal. Pushes start from here and
    // not from the last push, which may have been lost.
    uint64_t configuration_index_ = 0;
    uint64_t membership_epoch_ = 0;
    uint64_t membership_version_ = 0;
    bool requires_confirmed_ = false;
    // Version of the table up to which changes were pushed.
    uint64_t pushed_version_ = 0;
    state::Millis lease_until_;
  };

  // The sender of a request that waits for a command to be applied.
  struct Caller {
    std::string connection_;
    uint64_t call_id_ = 0;

    friend auto operator<=>(const Caller&, const Caller&) = default;
  };
  struct CrashAbandon {
    uint64_t incarnation_ = 0;
    state::Millis crashed_at_;
    std::optional<state::Millis> sent_at_;
  };
  enum class PendingKind { kRegisterCall, kConfigSubmit, kAbandon, kExpire };
  struct Pending {
    PendingKind kind_ = PendingKind::kExpire;
    Caller caller_;
    std::string guard_;  // Of kAbandon.
  };

  // Of a configuration in a lease reply.
  enum class Vouching { kNotVouched, kVouched };

  // Events.
  void On(const ControlMessage& event, state::Millis now);
  void On(const EntryCommitted& event, state::Millis now);
  void On(const ProposalEnded& event, state::Millis now);
  void On(const ReadIndexAnswered& event, state::Millis now);
  void On(const LogStatus& event, state::Millis now);
  void On(const SnapshotRestored& event, state::Millis now);
  void On(const ControlTick& event, state::Millis now);

  // Messages. The last overload ignores kinds that are not for this service.
  void OnMessage(const std::string& connection,
                 const LeaseRenew& renew,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const RegisterCall& call,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const ConfigSubmit& submit,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const MembershipSync& sync,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const MembershipSyncAck& ack,
                 state::Millis now);
  template <class Message>
  void OnMessage(const std::string&, const Message&, state::Millis) {}

  // Time.
  void NotePause(state::Millis now);
  void ExpireLeases(state::Millis now);
  void CheckHolders(state::Millis now);
  Commands ExchangeMembership(state::Millis now);

  // Daemons.
  bool TakeRecord(const LeaseRenew& renew, state::Millis now);
  Session* UpdateSession(const std::string& connection,
                         const LeaseRenew& renew,
                         state::Millis now);
  void TakeCrashes(const LeaseRenew& renew, state::Millis now);
  LeaseReply MakeReply(const std::string& instance,
                       Session* session,
                       Vouching vouching,
                       state::Millis now);
  LeaseReply MakeRefusal(const std::string& instance, state::Millis now) const;
  void Reply(const std::string& instance,
             Session* session,
             Vouching vouching,
             state::Millis now);
  std::vector<state::TargetRecord> MembershipFor(const Session& session,
                                                 uint64_t since,
                                                 bool full) const;
  bool HasUnpushedChanges(const Session& session) const;
  bool CanTellMembership(state::Millis now) const;
  void PushSoon(state::Millis now);
  void Push(state::Millis now);
  void RequestRead(state::Millis now);
  void ReplyVouched(state::Millis now);
  state::Millis Staleness(state::Millis now) const;
  // Returns the members of the group with the regions of their daemons.
  std::vector<ControlAddress> ControlMembers() const;
  state::PoisonPolicy poison_policy() const;

  // The replicated log.
  bool LeadsWithQuorum() const;
  uint64_t Propose(const state::LogChange& change,
                   const Pending& pending,
                   state::Millis now);
  void ProposeAbandon(const std::string& guard,
                      uint64_t incarnation,
                      state::Millis now);
  void AbandonOutdated(state::Millis now);
  void SendCrashAbandons(state::Millis now);
  void ForgetCrashAbandon(const state::RegisterCommand& applied);
  void ProposeExpiry(state::Millis now);
  void RefuseCall(const Caller& caller);
  void RefuseSubmit(const Caller& caller);
  void ForgetPending(std::map<uint64_t, Pending>::iterator pending);
  void ApplyConfigurationPolicy();
  // Applies one change; one overload for each kind.
  void Apply(const state::SubmittedConfiguration& change,
             const EntryCommitted& entry,
             state::Millis now);
  void Apply(const state::RegisterCommand& change,
             const EntryCommitted& entry,
             state::Millis now);
  void Apply(const state::ExpireKeys& change,
             const EntryCommitted& entry,
             state::Millis now);
  // Returns who waits for this entry if this instance proposed it.
  std::optional<Pending> TakePending(const state::LogCommand& command);

  const ControlAddress self_;
  const uint64_t epoch_;
  state::Counters* counters_;
  const state::Millis started_;
  ControlStep step_;  // Of the event that is being handled.

  // Daemons and other control instances.
  state::MembershipTable table_;
  MembershipExchange exchange_;
  CrashHistory crash_history_;
  std::map<std::string, Session> sessions_;  // By instance.
  // Crashes that daemons reported here, to be passed on for a while.
  std::deque<std::pair<state::Millis, CrashReport>> crash_news_;
  uint64_t noticed_version_ = 0;  // Of the table, when pushes were last due.
  bool told_membership_ = false;  // CanTellMembership() was true.
  bool push_all_ = false;
  std::optional<state::Millis> push_at_;

  // Daemons that wait for a vouched configuration, by instance: until the next
  // read index is requested, until it is confirmed, and until it is applied.
  std::set<std::string> vouch_waiting_;
  std::set<std::string> vouch_reading_;
  std::multimap<uint64_t, std::string> vouch_applying_;
  uint64_t next_read_id_ = 1;
  std::optional<uint64_t> read_in_flight_;
  // When a read may be requested, although one has no answer yet.
  state::Millis read_at_;

  // The replicated log.
  state::ActionRegister register_;
  state::ConfigurationStore configurations_;
  uint64_t applied_index_ = 0;
  std::optional<LogStatus> status_;
  uint64_t next_tag_ = 1;
  std::map<uint64_t, Pending> pending_;  // By tag.
  std::set<Caller> pending_callers_;
  std::set<std::string> pending_abandons_;  // Guards.
  // Abandons because of crashes, by guard, until they are applied.
  std::map<std::string, CrashAbandon> crash_abandons_;

  // Time.
  uint64_t wall_millis_ = 0;  // At `wall_at_`.
  state::Millis wall_at_;
  state::Millis last_tick_;
  state::Millis lease_check_at_;
  state::Millis holder_check_at_;
  state::Millis expire_keys_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CONTROL_SERVICE_IMPL_H_
