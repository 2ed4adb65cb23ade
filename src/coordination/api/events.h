#ifndef COORDINATION_API_EVENTS_H_
#define COORDINATION_API_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

// What duties tell the decisions of the call path.

// A call that a caller made on this daemon.
struct CallArrived {
  const uint64_t call_id_ = 0;
  const std::string service_ = {};
  const state::HttpRequest request_ = {};
  const std::string idempotency_key_ = {};
  // The caller's time limit; the service's default applies without one.
  const std::optional<state::Millis> deadline_left_ = {};
  const uint32_t depth_ = 0;
};

// A message that came from a peer. `connection_` is set when the peer opened
// the connection, `address_` when this daemon did.
struct PeerMessageArrived {
  const std::string connection_ = {};
  const std::string address_ = {};
  const PeerMessage message_ = {};
};

enum class DeliveryEnd {
  kAnswered,       // The answer is whole.
  kConnectFailed,  // No byte of the request was sent.
  kNotSent,        // Not tried: the queue to the target workers was full.
  kCut,            // Sent in part or whole; the answer is missing or not whole.
  kTimeout,        // Sent; no whole answer within the timeout.
  kCancelled,      // Cancelled after it was sent.
};

// A request to the own target has ended.
struct DeliveryEnded {
  const uint64_t delivery_id_ = 0;
  const DeliveryEnd end_ = DeliveryEnd::kAnswered;
  const state::HttpAnswer answer_ = {};
  // Whether a byte of the request has been sent.
  const bool sent_ = false;
};

// The own target's announcement.
struct TargetAnnounced {
  const std::string target_ = {};
  const std::string service_ = {};
  const std::string address_ = {};  // HTTP address.
  const int slots_ = 0;
  const state::TargetState state_ = state::TargetState::kStarting;
  // Changes when the target's process restarts; 0 when it does not tell.
  const uint64_t incarnation_ = 0;
};

// The own target leaves for good.
struct TargetWithdrawn {};

// The daemon drains: its target receives no new work.
struct DrainRequested {};

// Time has passed.
struct Ticked {};

using NodeEvent = std::variant<CallArrived,
                               PeerMessageArrived,
                               DeliveryEnded,
                               TargetAnnounced,
                               TargetWithdrawn,
                               DrainRequested,
                               Ticked>;

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_EVENTS_H_
