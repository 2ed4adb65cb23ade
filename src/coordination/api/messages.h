#ifndef COORDINATION_API_MESSAGES_H_
#define COORDINATION_API_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// A control instance, as listed in the settings or in the group's membership.
struct ControlAddress {
  const std::string instance_ = {};
  const std::string address_ = {};  // Peer address.
  const std::string region_ = {};

  friend bool operator==(const ControlAddress&,
                         const ControlAddress&) = default;
};

// One attempt of a call, from the ingress to the guard of the chosen target.
struct Attempt {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const std::string service_ = {};
  const std::string target_ = {};
  const state::HttpRequest request_ = {};
  const state::Millis deadline_left_ = {};
  const uint32_t depth_ = 0;
  const state::RequestClass request_class_ = state::RequestClass::kLookup;
  const uint64_t configuration_index_ = 0;
  // The guard may queue the attempt until its deadline instead of refusing it.
  const bool may_queue_ = true;
  // Another copy of the same lookup may be running elsewhere.
  const bool is_hedged_ = false;
  const bool cross_region_ = false;
  // The request was in flight when a target crashed, so the guard runs this
  // attempt alone: another crash can then be attributed to the request.
  const bool run_alone_ = false;
  // Time left in which an answer is as good as an immediate one.
  const state::Millis objective_left_ = {};
  const int priority_ = 0;  // 0 is the highest.
  // Service of the target beside the daemon that received the call.
  const std::string origin_service_ = {};
  // Set for calls that a route has classified.
  const std::string host_ = {};
  const std::string route_ = {};
  // The tenant whose API key the call had; empty without one. Never the key.
  const std::string tenant_ = {};
  const int tenant_priority_ = 0;  // Compared before `priority_`.
  // Time left for which the key is known to be valid; the request must not be
  // started later. Absent for calls without a key, and where keys need no
  // confirmation.
  const std::optional<state::Millis> authorization_left_ = {};
  // Set for actions only. An action without a key is not in the register, and
  // the ingress sends it to another target only after a refusal.
  const bool unkeyed_ = false;
  const std::string key_ = {};
  const std::string digest_ = {};
  const uint32_t register_group_ = 0;
  const uint64_t register_attempt_ = 0;

  friend bool operator==(const Attempt&, const Attempt&) = default;
};

enum class AttemptResult {
  kComplete,
  kRefused,           // Not delivered, for the stated reason.
  kIncompleteAnswer,  // Delivered; the answer is missing or incomplete.
  kUnknown,           // A delivered action whose outcome is unknown.
};

struct AttemptAnswer {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const AttemptResult result_ = AttemptResult::kComplete;
  const state::RefusalReason refusal_ = state::RefusalReason::kNone;
  const state::HttpAnswer answer_ = {};
  const state::GuardLoad load_ = {};
  const std::string target_ = {};
  // Time from receiving the attempt to this answer, measured at the guard.
  const state::Millis guard_time_ = {};
  // The part of it for which the target ran the request; 0 if it did not
  // answer, or with an error.
  const state::Millis run_time_ = {};

  friend bool operator==(const AttemptAnswer&, const AttemptAnswer&) = default;
};

// Asks a guard to answer an attempt on the connection of this message: the one
// on which the attempt was sent has been replaced. Never starts work.
struct ResumeAttempt {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  // Incarnation of the guard's daemon when the attempt was sent.
  const uint64_t incarnation_ = 0;

  friend bool operator==(const ResumeAttempt&, const ResumeAttempt&) = default;
};

struct Cancel {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

struct Probe {
  const uint64_t probe_id_ = 0;

  friend bool operator==(const Probe&, const Probe&) = default;
};

struct ProbeReply {
  const uint64_t probe_id_ = 0;
  const std::string target_ = {};
  const state::GuardLoad load_ = {};

  friend bool operator==(const ProbeReply&, const ProbeReply&) = default;
};

// A guard's report that the service time of its target's machine has changed,
// sent to the daemons on whose connections it recently received attempts.
struct LoadNotice {
  const std::string target_ = {};
  const state::GuardLoad load_ = {};

  friend bool operator==(const LoadNotice&, const LoadNotice&) = default;
};

using CrashReport = state::CrashReport;

// Renews a daemon's lease, announces its target and requests updates of the
// configuration and the membership.
struct LeaseRenew {
  const std::string instance_ = {};
  // `service_` is empty when no target has announced itself.
  const state::TargetRecord record_ = {};
  const uint64_t configuration_index_ = 0;
  // The reply must carry a configuration that a quorum has confirmed.
  const bool requires_confirmed_ = false;
  const uint64_t membership_epoch_ = 0;
  const uint64_t membership_version_ = 0;
  // Services whose targets the daemon needs; "*" stands for all.
  const std::vector<std::string> services_ = {};
  const std::vector<CrashReport> crashes_ = {};
  // Number of this renewal, which the reply returns. The daemon counts what the
  // reply confirms from the time at which it sent the renewal.
  const uint64_t renewal_ = 0;
  // The daemon serves calls under API keys, so that the control instance has to
  // keep its confirmation by a quorum recent.
  const bool requires_confirmed_keys_ = false;
  // Number of the last reply of this control instance that the daemon has
  // handled, 0 for none since it chose the instance. Absent from builds that do
  // not number replies.
  const std::optional<uint64_t> received_reply_ = {};

  friend bool operator==(const LeaseRenew&, const LeaseRenew&) = default;
};

// The fingerprint of a request that is suspected or convicted of crashing
// targets. For the time left, every daemon refuses a convicted request and runs
// a suspected one alone.
struct RefusedFingerprint {
  const std::string fingerprint_ = {};
  const state::Millis left_ = {};
  // Suspected after one crash, convicted after the configured number.
  const bool convicted_ = false;

  friend bool operator==(const RefusedFingerprint&,
                         const RefusedFingerprint&) = default;
};

struct LeaseReply {
  const std::string control_instance_ = {};
  const bool granted_ = false;
  const uint64_t known_incarnation_ = 0;
  // Index of the newest configuration that is known here; 0 in a refusal. Comes
  // with the whole document, with a delta of the changed items and the names of
  // the removed ones, or with neither if the daemon has the configuration or an
  // earlier message on the connection carried it.
  const uint64_t configuration_index_ = 0;
  const bool configuration_confirmed_ = false;
  const uint64_t delta_base_index_ = 0;  // 0 for a whole document.
  const state::RemovedItems removed_ = {};
  const std::shared_ptr<const state::Configuration> configuration_ = {};
  const uint64_t membership_epoch_ = 0;
  const uint64_t membership_version_ = 0;
  // Version from which the records lead to `membership_version_`. 0 for a whole
  // table and from builds that start from the version in the last renewal.
  const uint64_t membership_base_version_ = 0;
  const bool membership_full_ = false;  // Replaces the daemon's table.
  const std::vector<state::TargetRecord> membership_ = {};
  const std::vector<RefusedFingerprint> refused_fingerprints_ = {};
  // Time since this control instance last had contact with a leader that has a
  // quorum.
  const state::Millis staleness_ = {};
  const std::string leader_address_ = {};  // Empty when unknown.
  // The members of the control group, and their regions where they are known.
  const std::vector<ControlAddress> control_members_ = {};
  // The last withdrawal that the control group knows of the daemon's targets,
  // and the last one in its log, which outlives a restart of all processes.
  const state::TargetWithdrawal withdrawal_ = {};
  const state::TargetWithdrawal stored_withdrawal_ = {};
  // The last renewal that was handled before this reply was made; 0 for none.
  const uint64_t renewal_ = 0;
  // At the time `confirmed_age_` before this reply, a quorum confirmed that the
  // configuration with this index was the newest. 0 without a confirmation.
  const uint64_t confirmed_index_ = 0;
  const state::Millis confirmed_age_ = {};
  const state::Evacuations evacuations_ = {};
  // Crashes of the daemon's last renewal whose reports are in the log of the
  // control group, so that the daemon need not repeat them.
  const std::vector<std::string> stored_crashes_ = {};
  // Rises with each reply of a control instance. 0 in refusals and from builds
  // that do not number replies.
  const uint64_t number_ = 0;

  friend bool operator==(const LeaseReply&, const LeaseReply&) = default;
};

struct RegisterCall {
  const uint64_t call_id_ = 0;
  const uint32_t group_ = 0;
  const state::RegisterCommand command_ = {};

  friend bool operator==(const RegisterCall&, const RegisterCall&) = default;
};

enum class RegisterStatus {
  kApplied,    // `result_` is valid.
  kNotLeader,  // Not attempted; retry at `leader_address_` if it is set.
  kNoQuorum,   // Not attempted: the leader has no contact with a quorum.
};

struct RegisterReply {
  const uint64_t call_id_ = 0;
  const RegisterStatus status_ = RegisterStatus::kApplied;
  const state::RegisterResult result_ = {};
  const std::string leader_address_ = {};

  friend bool operator==(const RegisterReply&, const RegisterReply&) = default;
};

// A membership record together with the control instance that holds its lease.
struct LeasedRecord {
  const state::TargetRecord record_ = {};
  const std::string holder_ = {};

  friend bool operator==(const LeasedRecord&, const LeasedRecord&) = default;
};

// Changes of the sender's membership table since the version the receiver has.
struct MembershipSync {
  const std::string instance_ = {};
  const uint64_t epoch_ = 0;
  const uint64_t from_version_ = 0;  // 0 for the whole table.
  const uint64_t to_version_ = 0;
  const std::vector<LeasedRecord> changes_ = {};
  const std::vector<RefusedFingerprint> refused_fingerprints_ = {};
  const std::vector<CrashReport> crashes_ = {};

  friend bool operator==(const MembershipSync&,
                         const MembershipSync&) = default;
};

struct MembershipSyncAck {
  const std::string instance_ = {};
  const uint64_t epoch_ = 0;    // Epoch of the received table.
  const uint64_t version_ = 0;  // Changes up to this version were received.

  friend bool operator==(const MembershipSyncAck&,
                         const MembershipSyncAck&) = default;
};

// Submits an operator's configuration to the leader.
struct ConfigSubmit {
  const uint64_t call_id_ = 0;
  const std::string submission_ = {};
  const std::optional<uint64_t> base_version_ = {};
  const std::shared_ptr<const state::Configuration> configuration_ = {};

  friend bool operator==(const ConfigSubmit&, const ConfigSubmit&) = default;
};

enum class SubmitStatus {
  kAccepted,
  kConflict,      // `winner_submission_` has this version with other content.
  kWrongVersion,  // The document does not follow `current_version_`.
  kNotLeader,
  kNoQuorum,
  kNotFormed,
};

struct ConfigSubmitReply {
  const uint64_t call_id_ = 0;
  const SubmitStatus status_ = SubmitStatus::kAccepted;
  const uint64_t index_ = 0;
  const uint64_t current_version_ = 0;
  const std::string winner_submission_ = {};
  const std::string leader_address_ = {};

  friend bool operator==(const ConfigSubmitReply&,
                         const ConfigSubmitReply&) = default;
};

// Submits an operator's order to evacuate a failure domain to the leader.
struct EvacuationSubmit {
  const uint64_t call_id_ = 0;
  const state::EvacuationOrder order_ = {};

  friend bool operator==(const EvacuationSubmit&,
                         const EvacuationSubmit&) = default;
};

enum class EvacuationStatus {
  kAccepted,   // Applied at the leader; `index_` is the domain's last order.
  kConflict,   // The submitter did not know the domain's last order.
  kNotLeader,  // Not attempted; retry at `leader_address_` if it is set.
  kNoQuorum,   // Not attempted: the leader has no contact with a quorum.
  kNotFormed,
};

struct EvacuationReply {
  const uint64_t call_id_ = 0;
  const EvacuationStatus status_ = EvacuationStatus::kAccepted;
  const uint64_t index_ = 0;
  const std::string leader_address_ = {};

  friend bool operator==(const EvacuationReply&,
                         const EvacuationReply&) = default;
};

// Submits the withdrawal of a daemon's target to the leader, which appends it
// to the log. Not answered: the sender waits for the entry and repeats the
// message.
struct WithdrawalSubmit {
  const std::string instance_ = {};
  const state::TargetWithdrawal withdrawal_ = {};

  friend bool operator==(const WithdrawalSubmit&,
                         const WithdrawalSubmit&) = default;
};

// Submits crash reports of a daemon to the leader, in the same way.
struct CrashSubmit {
  const std::vector<CrashReport> reports_ = {};

  friend bool operator==(const CrashSubmit&, const CrashSubmit&) = default;
};

// Requests membership in the control group. Any member forwards it to the
// leader.
struct JoinRequest {
  const std::string identity_ = {};
  const std::string instance_ = {};
  const std::string address_ = {};

  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

// Tells the control group that the process of a member is stopping, so that a
// ready learner takes the member's place. Any member forwards it to the leader.
struct LeaveRequest {
  const std::string identity_ = {};
  const std::string address_ = {};  // Peer address for the reply.

  friend bool operator==(const LeaveRequest&, const LeaveRequest&) = default;
};

// The leader's answer to a request to leave, once the removal is committed. The
// log does not tell a member that it is removed.
struct LeaveReply {
  const std::string identity_ = {};

  friend bool operator==(const LeaveReply&, const LeaveReply&) = default;
};

// Messages of the replicated log. `from_` and `to_` are member identities; a
// message whose `to_` is not the receiver's identity is dropped.

struct VoteRequest {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t term_ = 0;
  const bool pre_vote_ = false;
  const uint64_t last_index_ = 0;
  const uint64_t last_term_ = 0;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteReply {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t term_ = 0;
  const bool pre_vote_ = false;
  const bool granted_ = false;

  friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

struct AppendRequest {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t term_ = 0;
  const uint64_t previous_index_ = 0;
  const uint64_t previous_term_ = 0;
  const uint64_t commit_index_ = 0;
  // Number of the leader's round of requests. A reply to it confirms that the
  // sender was still the leader after the round began.
  const uint64_t round_ = 0;
  const std::vector<state::LogEntry> entries_ = {};
  // The receiver's last reply that the leader has handled; 0 if it has handled
  // none, or cannot tell whether `commit_index_` is the newest.
  const uint64_t echoed_reply_ = 0;
  // `commit_index_` was the newest this long after that reply had been sent.
  const state::Millis echo_age_ = {};

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendReply {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t term_ = 0;
  const bool success_ = false;
  // On success the last durable index; on failure the index to try next.
  const uint64_t index_ = 0;
  const uint64_t round_ = 0;
  // Number of this reply, which the leader's next requests echo; not 0.
  const uint64_t reply_ = 0;

  friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

struct InstallSnapshot {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t term_ = 0;
  const uint64_t round_ = 0;
  const state::LogSnapshot snapshot_ = {};

  friend bool operator==(const InstallSnapshot&,
                         const InstallSnapshot&) = default;
};

// Requests from the leader an index that no accepted entry exceeds.
struct ReadIndexRequest {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t read_id_ = 0;

  friend bool operator==(const ReadIndexRequest&,
                         const ReadIndexRequest&) = default;
};

struct ReadIndexReply {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t read_id_ = 0;
  const bool confirmed_ = false;
  const uint64_t index_ = 0;

  friend bool operator==(const ReadIndexReply&,
                         const ReadIndexReply&) = default;
};

// What a daemon holds and needs of one tenant's quota.
struct QuotaNeed {
  const std::string tenant_ = {};
  const uint64_t held_ = 0;  // Tokens in the daemon's stock.
  // Tokens of this tenant that the daemon's incarnation has spent, without
  // those of calls that were not run. Tokens that were granted and are neither
  // held nor spent have been returned.
  const uint64_t spent_ = 0;
  // Tokens that calls need which wait now or are expected soon, beyond `held_`.
  const uint64_t needed_ = 0;
  const uint64_t goal_ = 0;  // Size of the stock that the daemon wants.
  const double demand_ = 0;  // Recent calls per second, refused ones included.
  const uint64_t refused_ = 0;  // Calls refused by this incarnation.

  friend bool operator==(const QuotaNeed&, const QuotaNeed&) = default;
};

// A daemon's report to the owner of the quotas, the leader of the control
// group. Contains only tenants that the daemon served lately.
struct QuotaReport {
  const std::string instance_ = {};
  const uint64_t incarnation_ = 0;
  const uint64_t number_ = 0;  // Increases within the incarnation.
  // The daemon ignores grants that answer reports before this one, since they
  // were sent to another owner.
  const uint64_t first_number_ = 0;
  // The last grant that the daemon has applied: the owner's term and its
  // number; 0 if none.
  const uint64_t term_ = 0;
  const uint64_t applied_grant_ = 0;
  const std::vector<QuotaNeed> needs_ = {};

  friend bool operator==(const QuotaReport&, const QuotaReport&) = default;
};

// Tokens granted to a daemon for one tenant.
struct QuotaTokens {
  const std::string tenant_ = {};
  const uint64_t tokens_ = 0;
  // Set when fewer tokens are left than needed: for this time the daemon
  // refuses calls that find no token.
  const state::Millis denied_for_ = {};
  // Then the expected time between two tokens for this daemon.
  const state::Millis token_interval_ = {};

  friend bool operator==(const QuotaTokens&, const QuotaTokens&) = default;
};

// The answer to a quota report, with an entry for each of its tenants.
struct QuotaGrant {
  // False if the sender does not own the quotas now; then only the number of
  // the report and the leader's address, if it is known, are set.
  const bool is_owner_ = false;
  const std::string leader_address_ = {};
  const uint64_t term_ = 0;    // Term of the leader.
  const uint64_t number_ = 0;  // Increases within the term, for each daemon.
  const uint64_t report_number_ = 0;
  const std::vector<QuotaTokens> tokens_ = {};

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

// Every message between daemons.
using PeerMessage = std::variant<Attempt,
                                 AttemptAnswer,
                                 Cancel,
                                 Probe,
                                 ProbeReply,
                                 LeaseRenew,
                                 LeaseReply,
                                 RegisterCall,
                                 RegisterReply,
                                 MembershipSync,
                                 MembershipSyncAck,
                                 ConfigSubmit,
                                 ConfigSubmitReply,
                                 VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 InstallSnapshot,
                                 ReadIndexRequest,
                                 ReadIndexReply,
                                 JoinRequest,
                                 LoadNotice,
                                 ResumeAttempt,
                                 EvacuationSubmit,
                                 EvacuationReply,
                                 QuotaReport,
                                 QuotaGrant,
                                 LeaveRequest,
                                 LeaveReply,
                                 WithdrawalSubmit,
                                 CrashSubmit>;

// The part of a daemon that handles a message.
enum class MessageRecipient {
  kNode,       // The call path.
  kControl,    // The control service.
  kLog,        // The replicated log of the control group.
  kOperators,  // Operators' pending submissions.
};

// Returns the part of a daemon that handles the message. Thread-safe.
MessageRecipient RecipientOf(const PeerMessage& message);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_MESSAGES_H_
