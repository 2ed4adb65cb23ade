#ifndef COORDINATION_API_COMMANDS_H_
#define COORDINATION_API_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

// What decisions ask the duties to do. Decisions never do it themselves.

// Send on the connection that this daemon opened to `address_`.
struct SendToPeer {
  const std::string address_ = {};
  const PeerMessage message_ = {};
};

// Send back on the connection that a peer opened. `connection_` was given with
// the message that is answered; empty stands for this daemon itself.
struct ReplyToPeer {
  const std::string connection_ = {};
  const PeerMessage message_ = {};
};

// Replace the connection to `address_` by a new one.
struct ResetLink {
  const std::string address_ = {};
};

enum class Outcome { kComplete, kNotRun, kUnknown };

// What a caller is told.
struct CallAnswer {
  const Outcome outcome_ = Outcome::kNotRun;
  // With kComplete, kAnswerTooLarge tells that the answer was not kept.
  const state::RefusalReason reason_ = state::RefusalReason::kNone;
  const std::string request_id_ = {};
  // The caller's own name of the request; may be empty.
  const std::string caller_id_ = {};
  const std::string target_ = {};
  const state::HttpAnswer answer_ = {};  // Of kComplete without a reason.
  // Time since the call's arrival, and the part of it that the answering guard
  // had the attempt; absent when no guard has answered.
  const std::optional<state::Millis> latency_ = {};
  const std::optional<state::Millis> guard_time_ = {};
  // Of kNotRun: when the caller should come back.
  const state::Millis retry_after_ = {};

  friend bool operator==(const CallAnswer&, const CallAnswer&) = default;
};

struct AnswerCall {
  const uint64_t call_id_ = 0;
  const CallAnswer answer_ = {};
};

// Send a request to the daemon's own target.
struct DeliverToTarget {
  const uint64_t delivery_id_ = 0;
  const std::string address_ = {};  // HTTP address of the target.
  const state::HttpRequest request_ = {};
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const uint32_t depth_ = 0;
  const std::string target_ = {};  // Name of the target that is meant.
  const std::string origin_service_ = {};
  // Only connect and close, to find out whether the target's process lives.
  const bool connect_only_ = false;
  // Ask for the target's load, with a request that is not a caller's.
  const bool is_load_probe_ = false;
  const state::Millis timeout_ = {};
  // Use a connection that is new or was used a moment ago.
  const bool fresh_connection_ = false;
};

// Close the target connection of a delivery, which cancels the request.
struct CancelDelivery {
  const uint64_t delivery_id_ = 0;
};

// Write a line to the log.
struct WriteLog {
  const state::LogEvent event_ = {};
};

using Command = std::variant<SendToPeer,
                             ReplyToPeer,
                             ResetLink,
                             AnswerCall,
                             DeliverToTarget,
                             CancelDelivery,
                             WriteLog>;
using Commands = std::vector<Command>;

// Appends `more` to `commands`. Not thread-safe.
inline void Append(Commands* commands, Commands more) {
  for (Command& command : more) {
    commands->push_back(std::move(command));
  }
}

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_COMMANDS_H_
