#ifndef COORDINATION_API_LOG_MESSAGES_H_
#define COORDINATION_API_LOG_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

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

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_LOG_MESSAGES_H_
