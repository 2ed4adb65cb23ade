#ifndef COORDINATION_API_COMMANDS_H_
#define COORDINATION_API_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

// Commands that the decision code returns and the duties execute. The decision
// code itself has no side effects.

// Sends a message on the connection that this daemon opened to `address_`.
struct SendToPeer {
  const std::string address_ = {};
  const PeerMessage message_ = {};
  // Point on the daemon's clock from which the message must not be sent any
  // more. Set for attempts only, whose sender then gets a refusal.
  const std::optional<state::Millis> send_before_ = {};
};

// Replies on a connection that a peer opened. `connection_` is the connection
// that the request was received on; empty stands for this daemon itself.
struct ReplyToPeer {
  const std::string connection_ = {};
  const PeerMessage message_ = {};
};

// Replaces the connection to `address_` by a new one.
struct ResetLink {
  const std::string address_ = {};
};

enum class Outcome { kComplete, kNotRun, kUnknown };

// The result of a call, as returned to the caller.
struct CallAnswer {
  const Outcome outcome_ = Outcome::kNotRun;
  // With kComplete, kAnswerTooLarge means that the answer was not stored.
  const state::RefusalReason reason_ = state::RefusalReason::kNone;
  const std::string request_id_ = {};
  // The caller's own identifier of the request; may be empty.
  const std::string caller_id_ = {};
  const std::string target_ = {};
  const state::HttpAnswer answer_ = {};  // Set for kComplete without a reason.
  // Time from receiving the call to its answer, and the part of it that the
  // attempt spent at the answering guard; absent if no guard answered.
  const std::optional<state::Millis> latency_ = {};
  const std::optional<state::Millis> guard_time_ = {};
  // Set for kNotRun: the time after which the caller should retry.
  const state::Millis retry_after_ = {};

  friend bool operator==(const CallAnswer&, const CallAnswer&) = default;
};

struct AnswerCall {
  const uint64_t call_id_ = 0;
  const CallAnswer answer_ = {};
};

// Sends a request to the daemon's own target.
struct DeliverToTarget {
  const uint64_t delivery_id_ = 0;
  const std::string address_ = {};  // HTTP address of the target.
  const state::HttpRequest request_ = {};
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const uint32_t depth_ = 0;
  const std::string target_ = {};  // Name of the intended target.
  const std::string origin_service_ = {};
  const std::string tenant_ = {};  // Empty for a call without an API key.
  // Only connect and close, to check whether the target's process is running.
  const bool connect_only_ = false;
  // The daemon's own request for the target's load, not a caller's request.
  const bool is_load_probe_ = false;
  const state::Millis timeout_ = {};
  // Point on the daemon's clock from which the request must not be begun to be
  // sent: the API key of the call is not known to be valid any more.
  const std::optional<state::Millis> send_before_ = {};
  // Use only a new connection, or one that was idle for a short time at most.
  const bool fresh_connection_ = false;
};

// Closes the target connection of a delivery, which cancels the request.
struct CancelDelivery {
  const uint64_t delivery_id_ = 0;
};

// Answers an announcement whose sender waits. A withdrawal is acknowledged only
// once the log of the control group has it, since the acknowledgement holds
// after a restart of all processes.
struct AnswerAnnouncement {
  const uint64_t call_id_ = 0;
  const bool acknowledged_ = false;
};

// Writes a line to the log.
struct WriteLog {
  const state::LogEvent event_ = {};
};

using Command = std::variant<SendToPeer,
                             ReplyToPeer,
                             ResetLink,
                             AnswerCall,
                             DeliverToTarget,
                             CancelDelivery,
                             AnswerAnnouncement,
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
