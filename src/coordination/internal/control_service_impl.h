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
#include "coordination/internal/key_confirmation.h"
#include "coordination/internal/membership_exchange.h"
#include "coordination/internal/quota_owner.h"
#include "coordination/internal/sent_version.h"

namespace gooseberrygap::coordination {

// Implemented in seven files: control_service.cc dispatches events and runs
// periodic work, control_service_leases.cc serves the leases of daemons,
// control_service_log.cc proposes and applies commands,
// control_service_evacuations.cc handles orders to evacuate failure domains,
// control_service_withdrawals.cc stores the withdrawals of targets,
// control_service_crashes.cc handles the crashes of targets, and
// control_service_quota.cc connects the owner of the quotas.
class ControlService::Impl {
 public:
  Impl(ControlAddress self,
       const std::vector<ControlAddress>& control_instances,
       uint64_t epoch,
       state::Counters* counters,
       state::Millis now,
       const QuotaPolicy& quota);

  ControlStep Handle(const ControlEvent& event, state::Millis now);

  state::ReplicatedState Snapshot() const;
  uint64_t applied_index() const { return applied_index_; }
  const state::ConfigurationStore& configurations() const {
    return configurations_;
  }
  const state::EvacuationTable& evacuations() const { return evacuations_; }
  const state::MembershipTable& table() const { return table_; }
  QuotaOverview Quotas(state::Millis now);

 private:
  // A daemon whose lease this instance holds.
  struct Session {
    std::string connection_;  // Connection of the last renewal.
    std::set<std::string> services_;
    // Index of the configuration and version of this instance's membership
    // table that the daemon has or will receive.
    SentVersion configuration_;
    SentVersion membership_;
    // Epoch of the table that the daemon reported with its last renewal.
    uint64_t membership_epoch_ = 0;
    bool requires_confirmed_ = false;
    uint64_t renewal_ = 0;              // Number of the last renewal.
    std::vector<CrashReport> crashes_;  // In the last renewal.
    // Version of the membership table that was last sent.
    uint64_t pushed_version_ = 0;
    state::Millis lease_until_;

    // Returns whether the daemon may receive no configuration before a quorum
    // has confirmed one.
    bool AwaitsConfirmed() const {
      return requires_confirmed_ && configuration_.base() == 0;
    }
  };

  // Sender of a request whose reply waits until a command is applied.
  struct Caller {
    std::string connection_;
    uint64_t call_id_ = 0;

    friend auto operator<=>(const Caller&, const Caller&) = default;
  };
  // Abandon operation for the actions that a guard had started when its target
  // crashed.
  struct CrashAbandon {
    uint64_t incarnation_ = 0;  // Starts of lower incarnations are abandoned.
    state::Millis crashed_at_;
    std::optional<state::Millis> sent_at_;  // Absent until it is first sent.
  };
  enum class ProposalKind {
    kRegisterCall,
    kConfigSubmit,
    kEvacuation,
    kAbandon,
    kExpire,
    kWithdrawal,
    kCrashes,
  };
  // A proposal of this instance whose outcome is unknown.
  struct PendingProposal {
    ProposalKind kind_ = ProposalKind::kExpire;
    Caller caller_;
    std::string guard_;  // Set for kAbandon.
    size_t bytes_ = 0;   // Size of the configuration, for kConfigSubmit.
  };

  // A withdrawal that a daemon reported to this instance and that is not known
  // to be in the log.
  struct UnstoredWithdrawal {
    state::TargetWithdrawal withdrawal_;
    std::optional<state::Millis> sent_at_;  // Absent until it is first sent.
  };

  // Crash reports of a daemon that are not known to be in the log.
  struct UnstoredCrashes {
    std::vector<CrashReport> reports_;
    state::Millis reported_at_;
    std::optional<state::Millis> sent_at_;  // Absent until they are first sent.
  };

  // Whether a read index has confirmed that the configuration in a lease reply
  // is current.
  enum class Confirmation { kUnconfirmed, kConfirmed };

  // Events.
  void On(const ControlMessage& event, state::Millis now);
  void On(const EntryCommitted& event, state::Millis now);
  void On(const ProposalEnded& event, state::Millis now);
  void On(const ReadIndexAnswered& event, state::Millis now);
  void On(const LogStatus& event, state::Millis now);
  void On(const SnapshotRestored& event, state::Millis now);
  void On(const ControlTick& event, state::Millis now);

  // Messages. The template ignores the kinds that this service does not handle.
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
                 const EvacuationSubmit& submit,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const WithdrawalSubmit& submit,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const CrashSubmit& submit,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const MembershipSync& sync,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const MembershipSyncAck& ack,
                 state::Millis now);
  void OnMessage(const std::string& connection,
                 const QuotaReport& report,
                 state::Millis now);
  template <class Message>
  void OnMessage(const std::string&, const Message&, state::Millis) {}

  // Periodic work.
  void HandlePause(state::Millis now);
  void ExpireLeases(state::Millis now);
  void RunMaintenance(state::Millis now);
  Commands ExchangeMembership(state::Millis now);

  // Daemons.
  bool MergeRecord(const LeaseRenew& renew, state::Millis now);
  Session* UpdateSession(const std::string& connection,
                         const LeaseRenew& renew,
                         state::Millis now);
  void ReceiveCrashes(const LeaseRenew& renew, state::Millis now);
  // Adds the reports of a crash at that time to the history. Returns those that
  // have changed it.
  std::vector<CrashReport> AddCrashes(const std::vector<CrashReport>& reports,
                                      state::Millis at);
  // Has the reports appended to the log unless it contains them.
  void StoreCrashes(const std::string& instance,
                    const std::vector<CrashReport>& reports,
                    state::Millis now);
  // Proposes the unstored reports that are due, or sends them to the leader.
  void SendUnstoredCrashes(state::Millis now);
  std::vector<CrashReport> UnstoredOf(
      const std::vector<CrashReport>& reports) const;
  // Returns the ids of the crashes whose reports are all in the log.
  std::vector<std::string> StoredCrashIds(
      const std::vector<CrashReport>& reports) const;
  // Rebuilds the history from the stored reports.
  void ReplayCrashes(state::Millis now);
  // Returns the time on this instance's clock of an entry with that wall time.
  state::Millis TimeOf(uint64_t wall_millis, state::Millis now) const;
  LeaseReply MakeReply(const std::string& instance,
                       Session* session,
                       Confirmation confirmation,
                       state::Millis now);
  LeaseReply MakeRefusal(const std::string& instance, state::Millis now) const;
  // Sends a reply to the daemon's last renewal, or a push after it. Returns the
  // number of membership records in it.
  size_t Reply(const std::string& instance,
               Session* session,
               Confirmation confirmation,
               state::Millis now);
  std::vector<state::TargetRecord> MembershipFor(const Session& session,
                                                 uint64_t since,
                                                 bool full) const;
  bool HasUnpushedChanges(const Session& session) const;
  // Returns whether the record belongs to a service that the session follows,
  // or, for a change, belonged to one.
  static bool Concerns(const Session& session,
                       const state::MembershipRecord& known,
                       bool full);
  bool CanSendMembership(state::Millis now) const;
  void SchedulePush(state::Millis now);
  void Push(state::Millis now);
  void RequestRead(state::Millis now);
  // Requests the read that keeps the confirmation of API keys recent.
  void RequestKeyRead(state::Millis now);
  void ReplyWithConfirmed(state::Millis now);
  state::Millis Staleness(state::Millis now) const;
  // Returns the members of the group, with the regions from their records.
  std::vector<ControlAddress> ControlMembers() const;
  state::PoisonPolicy poison_policy() const;

  // The replicated log.
  bool LeadsWithQuorum() const;
  uint64_t Propose(const state::LogChange& change,
                   const PendingProposal& pending,
                   state::Millis now);
  void ProposeAbandon(const std::string& guard,
                      uint64_t incarnation,
                      state::Millis now);
  void AbandonOutdatedIncarnations(state::Millis now);
  void SendCrashAbandons(state::Millis now);
  void RemoveAppliedCrashAbandon(const state::RegisterCommand& applied);
  void ProposeExpiry(state::Millis now);
  void RefuseCall(const Caller& caller);
  void RefuseSubmit(const Caller& caller);
  void ReplyToSubmit(const Caller& caller,
                     const state::SubmissionResult& result);
  void RefuseEvacuation(const Caller& caller);
  void UpdateEvacuationGauge();
  void RemovePending(std::map<uint64_t, PendingProposal>::iterator pending);
  void ApplyConfigurationPolicy(QuotaOwner::NewTenants new_tenants,
                                state::Millis now);
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
  void Apply(const state::EvacuationOrder& change,
             const EntryCommitted& entry,
             state::Millis now);
  void Apply(const state::WithdrawTarget& change,
             const EntryCommitted& entry,
             state::Millis now);
  void Apply(const state::RecordCrashes& change,
             const EntryCommitted& entry,
             state::Millis now);
  // Has the withdrawal appended to the log unless the log covers it.
  void StoreWithdrawal(const std::string& instance,
                       const state::TargetWithdrawal& withdrawal,
                       state::Millis now);
  // Proposes the unstored withdrawals that are due, or sends them to the
  // leader.
  void SendUnstoredWithdrawals(state::Millis now);
  // Begins or ends the ownership of the quotas after a change of the status.
  void UpdateQuotaLeadership(state::Millis now);
  // Removes and returns the pending proposal of this command, or nothing when
  // this instance has none.
  std::optional<PendingProposal> TakePending(const state::LogCommand& command);

  const ControlAddress self_;
  const uint64_t epoch_;
  state::Counters* counters_;
  const state::Millis started_at_;
  ControlStep step_;  // Result of the event that is being handled.

  // Daemons and other control instances.
  state::MembershipTable table_;
  MembershipExchange exchange_;
  CrashHistory crash_history_;
  std::map<std::string, Session> sessions_;  // By instance.
  uint64_t next_reply_ = 1;                  // Number of the next lease reply.
  // Recent crashes that daemons reported to this instance, with the time of the
  // report. Sent to the other control instances.
  std::deque<std::pair<state::Millis, CrashReport>> recent_crashes_;
  // Version of the membership table for which a push was last scheduled.
  uint64_t push_scheduled_version_ = 0;
  bool could_send_membership_ = false;  // CanSendMembership() has been true.
  bool push_all_ = false;               // The next push goes to every session.
  std::optional<state::Millis> push_at_;
  state::Millis next_push_at_;  // No push before, see kPushedRecordsPerMilli.

  // Daemons, by instance, that wait for a confirmed configuration: until the
  // next read index is requested, until the read index is answered, and, keyed
  // by the read index, until the entry at that index is applied.
  std::set<std::string> awaiting_read_request_;
  std::set<std::string> awaiting_read_answer_;
  std::multimap<uint64_t, std::string> awaiting_apply_;
  uint64_t next_read_id_ = 1;
  KeyConfirmation key_confirmation_;
  std::optional<uint64_t> read_in_flight_;
  // Time from which the next read index may be requested, even if the last one
  // has not been answered.
  state::Millis read_at_;

  // The replicated log.
  state::ActionRegister register_;
  state::ConfigurationStore configurations_;
  state::EvacuationTable evacuations_;
  state::WithdrawalTable withdrawals_;
  std::map<std::string, UnstoredWithdrawal> unstored_withdrawals_;
  state::CrashTable crash_table_;
  std::map<std::string, UnstoredCrashes> unstored_crashes_;  // By instance.
  QuotaOwner quota_owner_;
  uint64_t first_tag_of_leadership_ = 1;  // See `next_tag_`.
  uint64_t applied_index_ = 0;
  std::optional<LogStatus> status_;
  uint64_t next_tag_ = 1;
  std::map<uint64_t, PendingProposal> pending_;  // By tag.
  size_t pending_bytes_ = 0;                     // Sum of `bytes_`.
  std::set<Caller> pending_callers_;
  std::set<std::string> pending_abandons_;  // By guard.
  // Abandon operations after crashes that have not been applied, by guard.
  std::map<std::string, CrashAbandon> crash_abandons_;

  // Clock and periodic work.
  uint64_t wall_millis_ = 0;  // Wall time in ms at `wall_at_`.
  state::Millis wall_at_;
  state::Millis last_tick_;
  state::Millis lease_check_at_;
  state::Millis maintenance_at_;
  state::Millis expire_keys_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CONTROL_SERVICE_IMPL_H_
