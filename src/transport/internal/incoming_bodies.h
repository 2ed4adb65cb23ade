#ifndef TRANSPORT_INTERNAL_INCOMING_BODIES_H_
#define TRANSPORT_INTERNAL_INCOMING_BODIES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol/protocol.h"
#include "transport/api/byte_account.h"
#include "transport/internal/body_transfers.h"

namespace gooseberrygap::transport {

// A body that another process offers, with the head of its message.
struct IncomingOffer {
  const TransferId id_ = {};
  const TransferOwner owner_ = {};
  const uint64_t size_ = 0;
  const std::string head_ = {};  // As protocol::EncodeWithoutBody returns it.
  // Point at which the body is of no use any more.
  const state::Millis expires_at_ = {};
};

// The bodies that other processes send in chunks: which may be sent, in the
// order of their offers, as the account has room for them. Uses no clock and no
// socket. Not thread-safe.
class IncomingBodies {
 public:
  struct Options {
    // For this time, the body of an attempt waits for room in the account.
    const state::Millis hold_ = {};
    const size_t max_body_bytes_ = 0;
    const size_t max_waiting_ = 1024;  // Offers.
  };

  // A body that is complete.
  struct Whole {
    const IncomingOffer offer_;
    const state::Millis offered_at_;
    std::string content_;
    // The charge of an attempt; an answer is charged by the front.
    RequestCharge charge_;
  };
  struct Credit {
    const TransferLink link_ = {};
    const protocol::BodyCredit credit_ = {};
  };
  struct Refusal {
    const TransferId id_ = {};
    const TransferOwner owner_ = {};
    const state::RefusalReason reason_ = state::RefusalReason::kNone;
  };
  // What to do next.
  struct Step {
    std::vector<Credit> credits_;
    std::vector<Whole> whole_;
    std::vector<Refusal> refusals_;
  };

  IncomingBodies(const Options& options,
                 std::shared_ptr<ByteAccount> account,
                 state::Counters* counters);

  // Handle an offer and a chunk. An offer or a chunk that does not fit the
  // state of the transfer is ignored, except that a sender that exceeds its
  // credit ends the transfer.
  Step OnOffer(IncomingOffer offer, state::Millis now);
  Step OnChunk(const TransferLink& link,
               const protocol::BodyChunk& chunk,
               state::Millis now);
  // Grants offers that wait as the account allows, and ends the transfers that
  // take too long.
  Step Advance(state::Millis now);

  // End the transfer, those of the attempt, and those on the link.
  void End(const TransferId& id);
  void EndOf(const TransferOwner& owner);
  void EndOn(const TransferLink& link);

  bool empty() const { return transfers_.empty(); }

 private:
  struct Transfer {
    Transfer(IncomingOffer offer,
             state::Millis now,
             const std::shared_ptr<ByteAccount>& account)
        : offer_(std::move(offer)),
          offered_at_(now),
          progress_at_(now),
          charge_(account, HeldKind::kMessages, HeldKind::kMessages) {}

    const IncomingOffer offer_;
    const state::Millis offered_at_;
    state::Millis progress_at_;
    state::Millis repeated_at_;
    state::Millis credited_at_;  // When credit was last sent.
    RequestCharge charge_;
    bool is_granted_ = false;
    bool is_over_limit_ = false;
    uint64_t order_ = 0;
    std::string content_;
    size_t credit_ = 0;
  };
  using Transfers = std::map<TransferId, std::unique_ptr<Transfer>>;

  // Returns kNone if the offer may wait for room.
  state::RefusalReason Check(Transfer* transfer) const;
  // Grants the offers of one kind that wait, oldest first, while they fit.
  void GrantWaiting(bool answers, state::Millis now, Step* step);
  bool TryGrant(Transfer* transfer);
  // Sends credit if more of it is due, or as a sign of life.
  void RaiseCredit(Transfer* transfer, state::Millis now, Step* step);
  void EndLate(state::Millis now, Step* step);
  void RepeatCredits(state::Millis now, Step* step);
  void EndIf(const std::function<bool(const Transfer&)>& matches);
  void Forget(Transfers::iterator transfer);
  void ShowReserved() const;

  const Options options_;
  const std::shared_ptr<ByteAccount> account_;
  state::Counters* const counters_;
  Transfers transfers_;
  // Offers that wait, by their order; attempts and answers apart.
  std::map<uint64_t, Transfer*> waiting_attempts_;
  std::map<uint64_t, Transfer*> waiting_answers_;
  uint64_t next_order_ = 1;
  bool has_over_limit_ = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_INCOMING_BODIES_H_
