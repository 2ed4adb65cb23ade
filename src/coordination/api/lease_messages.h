#ifndef COORDINATION_API_LEASE_MESSAGES_H_
#define COORDINATION_API_LEASE_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
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

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_LEASE_MESSAGES_H_
