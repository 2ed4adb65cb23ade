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

// A control instance, as the settings or the group's members name it.
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
  // The guard may queue it until its deadline instead of refusing it.
  const bool may_queue_ = true;
  // Another copy of the same lookup may be running elsewhere.
  const bool is_hedged_ = false;
  const bool cross_region_ = false;
  // An earlier attempt ended in a crash of its target, so that the guard runs
  // this one alone: a second crash can then be blamed on it.
  const bool run_alone_ = false;
  // Time left in which an answer is as good as an immediate one.
  const state::Millis objective_left_ = {};
  const int priority_ = 0;  // 0 is the highest.
  // Service of the target beside which the call was made.
  const std::string origin_service_ = {};
  // Of calls that a route has classified.
  const std::string host_ = {};
  const std::string route_ = {};
  // Of actions only. Without a key the register does not know the action, and
  // the ingress sends it on only after a refusal.
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
  kIncompleteAnswer,  // Delivered; the answer is missing or not whole.
  kUnknown,           // An action that was delivered and whose end is unknown.
};

struct AttemptAnswer {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const AttemptResult result_ = AttemptResult::kComplete;
  const state::RefusalReason refusal_ = state::RefusalReason::kNone;
  const state::HttpAnswer answer_ = {};
  const state::GuardLoad load_ = {};
  const std::string target_ = {};
  // Time from the attempt's arrival to this answer, at the guard.
  const state::Millis guard_time_ = {};

  friend bool operator==(const AttemptAnswer&, const AttemptAnswer&) = default;
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

// A guard tells the daemons that sent it work lately that the pace of its
// target's machine has changed.
struct LoadNotice {
  const std::string target_ = {};
  const state::GuardLoad load_ = {};

  friend bool operator==(const LoadNotice&, const LoadNotice&) = default;
};

// A request that was in flight when a target crashed.
struct CrashReport {
  const std::string fingerprint_ = {};
  const std::string crash_id_ = {};  // Names one crash of one target.
  const bool alone_ = false;         // No other request was in flight.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

// Renews a daemon's lease, announces its target and asks for news.
struct LeaseRenew {
  const std::string instance_ = {};
  // `service_` is empty when no target has announced itself.
  const state::TargetRecord record_ = {};
  const uint64_t configuration_index_ = 0;
  // The reply must carry a configuration that a quorum vouches for.
  const bool requires_confirmed_ = false;
  const uint64_t membership_epoch_ = 0;
  const uint64_t membership_version_ = 0;
  // Services whose targets the daemon needs; "*" stands for all.
  const std::vector<std::string> services_ = {};
  const std::vector<CrashReport> crashes_ = {};

  friend bool operator==(const LeaseRenew&, const LeaseRenew&) = default;
};

// A fingerprint that is refused everywhere for the stated time.
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
  // Set when the daemon's configuration is older. Either the whole document,
  // or a delta with only the changed services and the names of the removed.
  const uint64_t configuration_index_ = 0;
  const bool configuration_confirmed_ = false;
  const uint64_t delta_base_index_ = 0;  // 0 for a whole document.
  const std::vector<std::string> removed_services_ = {};
  const std::shared_ptr<const state::Configuration> configuration_ = {};
  const uint64_t membership_epoch_ = 0;
  const uint64_t membership_version_ = 0;
  const bool membership_full_ = false;  // Replaces the daemon's table.
  const std::vector<state::TargetRecord> membership_ = {};
  const std::vector<RefusedFingerprint> refused_fingerprints_ = {};
  // Time since this control instance last heard from a quorum's leader.
  const state::Millis staleness_ = {};
  const std::string leader_address_ = {};  // Empty when unknown.
  // The members of the control group, and their regions where they are known.
  const std::vector<ControlAddress> control_members_ = {};

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
  kNotLeader,  // Not tried; ask `leader_address_` if it is not empty.
  kNoQuorum,   // Not tried: the leader hears from no quorum.
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
  const uint64_t epoch_ = 0;    // Of the table that was sent.
  const uint64_t version_ = 0;  // Received up to here.

  friend bool operator==(const MembershipSyncAck&,
                         const MembershipSyncAck&) = default;
};

// An operator's configuration, on its way to the leader.
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

// Asks to become a member of the control group. Any member passes it on to the
// leader.
struct JoinRequest {
  const std::string identity_ = {};
  const std::string instance_ = {};
  const std::string address_ = {};

  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
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
  // Numbers the leader's rounds, so that a reply confirms leadership since.
  const uint64_t round_ = 0;
  const std::vector<state::LogEntry> entries_ = {};

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendReply {
  const uint32_t group_ = 0;
  const std::string from_ = {};
  const std::string to_ = {};
  const uint64_t term_ = 0;
  const bool success_ = false;
  // On success the last durable index; on failure where to try next.
  const uint64_t index_ = 0;
  const uint64_t round_ = 0;

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

// Asks the leader for an index that every accepted entry is at or below.
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
                                 LoadNotice>;

// Which role of a daemon a message is for.
enum class MessageRecipient {
  kNode,       // The call path.
  kControl,    // The control service.
  kLog,        // The replicated log of the control group.
  kOperators,  // Whoever waits for the fate of a configuration.
};

// Thread-safe.
MessageRecipient RecipientOf(const PeerMessage& message);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_MESSAGES_H_
