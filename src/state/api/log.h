#ifndef STATE_API_LOG_H_
#define STATE_API_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/api/bytes.h"

namespace gooseberrygap::state {

// A member of a control group. The identity is stored in the data folder, so an
// instance that lost its folder rejoins as a different member.
struct ControlMember {
  const std::string identity_ = {};
  const std::string instance_ = {};
  const std::string address_ = {};  // Peer address.
  const bool voter_ = true;         // False for a learner.
  // The voter's process is stopping or has stopped as planned, so that a ready
  // learner takes its place at once. Cleared when the member is back.
  const bool leaving_ = false;

  friend bool operator==(const ControlMember&, const ControlMember&) = default;
};

enum class LogEntryKind { kNoop, kCommand, kMembers };

// An entry of the replicated log.
struct LogEntry {
  const uint64_t index_ = 0;
  const uint64_t term_ = 0;
  const LogEntryKind kind_ = LogEntryKind::kNoop;
  const Bytes payload_ = {};                       // Set for kCommand.
  const std::vector<ControlMember> members_ = {};  // Set for kMembers.

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// A voter's current term and vote. It must be durable before the voter replies.
struct VoteRecord {
  const uint64_t term_ = 0;
  const std::string voted_for_ = {};  // Identity of the candidate, or empty.

  friend bool operator==(const VoteRecord&, const VoteRecord&) = default;
};

// The state machine's content after applying the entry at `index_`.
struct LogSnapshot {
  const uint64_t index_ = 0;
  const uint64_t term_ = 0;
  const std::vector<ControlMember> members_ = {};
  const Bytes content_ = {};

  friend bool operator==(const LogSnapshot&, const LogSnapshot&) = default;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_LOG_H_
