#ifndef TRANSPORT_INTERNAL_BODY_TRANSFERS_H_
#define TRANSPORT_INTERNAL_BODY_TRANSFERS_H_

#include <compare>
#include <cstdint>
#include <string>

#include "state/state.h"

namespace gooseberrygap::transport {

// The connection of a transfer; one of the two is set, as in
// ReceivedPeerMessage.
struct TransferLink {
  const std::string connection_ = {};
  const std::string address_ = {};

  friend auto operator<=>(const TransferLink&, const TransferLink&) = default;
};

// A transfer of a body. The sender chooses the number.
struct TransferId {
  const TransferLink link_ = {};
  const uint64_t number_ = 0;

  friend auto operator<=>(const TransferId&, const TransferId&) = default;
};

// The attempt that a transfer belongs to, with its body or that of its answer.
struct TransferOwner {
  const std::string request_id_ = {};
  const uint32_t attempt_ = 0;
  const std::string target_ = {};
  const bool is_answer_ = false;

  // Returns whether both belong to the same attempt, in the same direction.
  bool IsSameAs(const TransferOwner& other) const {
    return request_id_ == other.request_id_ && attempt_ == other.attempt_ &&
           is_answer_ == other.is_answer_;
  }

  friend bool operator==(const TransferOwner&, const TransferOwner&) = default;
};

// Memory of an attempt without its body, as a multiple of its encoding: a
// header has two strings in each value that holds the attempt.
constexpr size_t kHeadFactor = 16;
// Bodies up to this size travel inside their message.
constexpr size_t kMaxInlineBodyBytes = 65536;
// Bytes of one transfer that are sent and not yet received, at most.
constexpr size_t kTransferWindowBytes = 1 << 20;
// At 3.3 Mbit/s a chunk takes 80 ms, so that the receiver says in time that it
// receives: a link that is silent for 400 ms may be replaced.
constexpr size_t kTransferChunkBytes = 32768;
// No chunk is sent while so many bytes wait on its connection, so that other
// messages, such as probes of the link, are not held up behind bodies.
constexpr size_t kMaxQueuedChunkBytes = 262144;
// A transfer without progress for this time is abandoned. Longer than the
// longest time for which a link is unusable and then continues.
constexpr state::Millis kTransferStall(10000);
// After this time without progress, the receiver repeats its credit, also that
// of 0 while an offer waits: a sender that is gone is found by it.
constexpr state::Millis kCreditRepeat(1000);
// While chunks come, credit is sent at least this often, even if none is due: a
// sign that the link works for a sender whose probes are held up behind them.
constexpr state::Millis kCreditInterval(100);
// A receiver that has answered an offer and then sends nothing for this time
// has restarted, or cannot be reached.
constexpr state::Millis kCreditStall(5000);
// How often the times of transfers are checked.
constexpr state::Millis kTransferTick(50);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_BODY_TRANSFERS_H_
