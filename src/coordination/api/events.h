#ifndef COORDINATION_API_EVENTS_H_
#define COORDINATION_API_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

// Events that duties pass to the decision code of the call path.

// This daemon has received a call from a caller.
struct CallReceived {
  const uint64_t call_id_ = 0;
  // The called service. If it is empty, the configuration's routes choose one
  // by host and path.
  const std::string service_ = {};
  const std::string host_ = {};
  const state::HttpRequest request_ = {};
  const std::string idempotency_key_ = {};
  // The caller's time limit. Without one, the service's default or the route's
  // timeout applies.
  const std::optional<state::Millis> deadline_left_ = {};
  const uint32_t depth_ = 0;
  // Service of the target beside the daemon that received the call; may be
  // empty.
  const std::string origin_service_ = {};
  // The caller's own identifier of the request, for the log; may be empty.
  const std::string caller_id_ = {};
  // The API key, if the caller sent credentials; empty for credentials that
  // name no key. `request_` is without the headers that carried them.
  const std::optional<std::string> api_key_ = {};
  // Those headers, which are passed on while the configuration has no tenants.
  const std::vector<state::HttpHeader> credentials_ = {};
};

// Returns the call with the time that it has waited taken off its deadline.
// Thread-safe.
CallReceived AfterWait(const CallReceived& call, state::Millis waited);

// The caller has disconnected: the call needs no answer.
struct CallerDisconnected {
  const uint64_t call_id_ = 0;
};

// A message was received from a peer. `connection_` is set if the peer opened
// the connection, `address_` if this daemon did.
struct PeerMessageReceived {
  const std::string connection_ = {};
  const std::string address_ = {};
  const PeerMessage message_ = {};
};

enum class DeliveryEnd {
  kAnswered,          // The answer is complete.
  kConnectFailed,     // No byte of the request was sent.
  kNotSent,           // Not tried: the queue to the target workers was full.
  kTooLateToSend,     // No byte was sent before the delivery's `send_before_`.
  kIncompleteAnswer,  // Sent in part or in full; the answer is missing or
                      // incomplete.
  kTimeout,           // Sent; no complete answer within the timeout.
  kCancelled,         // Cancelled after it was sent.
};

// A request to the daemon's own target has ended.
struct DeliveryEnded {
  const uint64_t delivery_id_ = 0;
  const DeliveryEnd end_ = DeliveryEnd::kAnswered;
  const state::HttpAnswer answer_ = {};
  // Whether a byte of the request has been sent.
  const bool sent_ = false;
  // The target answered that it did not run the request.
  const bool declined_ = false;
  // Service time that the target reports for its machine, in percent of the
  // usual time; 0 if it reports none.
  const int service_time_percent_ = 0;
  // How much longer the target is cold, if the answer says so.
  const std::optional<state::Millis> warmup_remaining_ = {};
};

// The daemon's own target has closed the last idle connection to it while no
// other was open. It may have restarted.
struct TargetConnectionsClosed {
  const std::string address_ = {};  // HTTP address.
};

// The daemon's own target has announced itself.
struct TargetAnnounced {
  const std::string target_ = {};
  const std::string service_ = {};
  const std::string address_ = {};  // HTTP address.
  const int slots_ = 0;
  const state::TargetState state_ = state::TargetState::kStarting;
  // Changes when the target's process restarts; 0 if it is not reported.
  const uint64_t incarnation_ = 0;
  // Increases with each announcement of one incarnation, so that a delayed one
  // is recognized; 0 if it is not reported.
  const uint64_t sequence_ = 0;
  // Remaining time for which the target is slow after its start.
  const state::Millis warmup_remaining_ = {};
};

// The daemon's own target withdraws permanently.
struct TargetWithdrawn {
  // If empty, matches any target.
  const std::string target_ = {};
  // If 0, matches any incarnation.
  const uint64_t incarnation_ = 0;
};

// An announcement or a withdrawal whose sender waits. Its answer is the command
// AnswerAnnouncement with the same id.
struct AnnouncementReceived {
  const uint64_t call_id_ = 0;
  const std::variant<TargetAnnounced, TargetWithdrawn> announcement_ = {};
};

// The daemon must drain: its target receives no new work.
struct DrainRequested {};

// The settings list other seeds, the control instances to contact first.
struct SeedsChanged {
  const std::vector<std::string> addresses_ = {};  // Peer addresses.
};

// Runs everything that is due at the time passed with the event.
struct Ticked {};

// A part of a message has come on the connection to that address.
struct PeerActive {
  const std::string address_ = {};
};

using NodeEvent = std::variant<CallReceived,
                               CallerDisconnected,
                               PeerMessageReceived,
                               PeerActive,
                               DeliveryEnded,
                               TargetConnectionsClosed,
                               TargetAnnounced,
                               TargetWithdrawn,
                               AnnouncementReceived,
                               DrainRequested,
                               SeedsChanged,
                               Ticked>;

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_EVENTS_H_
