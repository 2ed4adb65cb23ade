#ifndef COORDINATION_API_EVENTS_H_
#define COORDINATION_API_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

// What duties tell the decisions of the call path.

// A call that a caller made on this daemon.
struct CallReceived {
  const uint64_t call_id_ = 0;
  // The service, or, when it is empty, the host by which the configuration's
  // routes choose one.
  const std::string service_ = {};
  const std::string host_ = {};
  const state::HttpRequest request_ = {};
  const std::string idempotency_key_ = {};
  // The caller's time limit; the service's default applies without one.
  const std::optional<state::Millis> deadline_left_ = {};
  const uint32_t depth_ = 0;
  // Service of the target beside which the call was made; may be empty.
  const std::string origin_service_ = {};
  // The caller's own name of the request, for the log; may be empty.
  const std::string caller_id_ = {};
};

// The caller has gone: the call needs no answer.
struct CallerDisconnected {
  const uint64_t call_id_ = 0;
};

// A message that came from a peer. `connection_` is set when the peer opened
// the connection, `address_` when this daemon did.
struct PeerMessageReceived {
  const std::string connection_ = {};
  const std::string address_ = {};
  const PeerMessage message_ = {};
};

enum class DeliveryEnd {
  kAnswered,          // The answer is whole.
  kConnectFailed,     // No byte of the request was sent.
  kNotSent,           // Not tried: the queue to the target workers was full.
  kIncompleteAnswer,  // Sent in part or whole; the answer is missing or not
                      // whole.
  kTimeout,           // Sent; no whole answer within the timeout.
  kCancelled,         // Cancelled after it was sent.
};

// A request to the own target has ended.
struct DeliveryEnded {
  const uint64_t delivery_id_ = 0;
  const DeliveryEnd end_ = DeliveryEnd::kAnswered;
  const state::HttpAnswer answer_ = {};
  // Whether a byte of the request has been sent.
  const bool sent_ = false;
  // The target answered that it has not run the request.
  const bool declined_ = false;
  // What the target said of the pace of its machine, in percent of the usual
  // time; 0 when it said nothing.
  const int pace_ = 0;
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
  // Raised with each announcement of one incarnation, so that a late one is
  // recognized; 0 when the target does not tell.
  const uint64_t sequence_ = 0;
  // How much longer the target is slow after its start.
  const state::Millis warmup_left_ = {};
};

// The own target leaves for good.
struct TargetWithdrawn {
  // Empty for whichever target there is.
  const std::string target_ = {};
  // 0 for whichever incarnation there is.
  const uint64_t incarnation_ = 0;
};

// The daemon drains: its target receives no new work.
struct DrainRequested {};

// The settings name other control instances to begin with.
struct SeedsChanged {
  const std::vector<std::string> addresses_ = {};  // Peer addresses.
};

// Time has passed.
struct Ticked {};

using NodeEvent = std::variant<CallReceived,
                               CallerDisconnected,
                               PeerMessageReceived,
                               DeliveryEnded,
                               TargetAnnounced,
                               TargetWithdrawn,
                               DrainRequested,
                               SeedsChanged,
                               Ticked>;

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_EVENTS_H_
