#ifndef TRANSPORT_API_TARGET_CLIENT_H_
#define TRANSPORT_API_TARGET_CLIENT_H_

#include <functional>
#include <memory>

#include "coordination/coordination.h"
#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {

using coordination::DeliveryEnd;
using coordination::DeliveryEnded;

// The `target` duty: one thread that sends requests to the daemon's own target
// over kept-alive HTTP connections.
class TargetClient {
 public:
  // Returns what a message that came while the request waits says of itself.
  // coordination::JudgeAnswer decides what becomes of it.
  using IdentifyAnswer = std::function<coordination::ReceivedAnswer(
      const coordination::DeliverToTarget&,
      const state::HttpAnswer&)>;

  struct Options {
    // Deliveries in progress at a time; further ones wait in the ring.
    const int workers_ = 16;
    const size_t ring_capacity_ = 1024;
    // A kept connection that was idle for longer, or that has carried a
    // refusal, is not used for a delivery that wants a fresh one.
    const state::Millis fresh_for_ = state::Millis(500);
    const size_t max_answer_bytes_ = 4194304;
    // Bytes of the bodies of all answers that are not whole. Further ones wait
    // unread, so that a target in trouble cannot fill the daemon's memory with
    // the answers to many requests. Together with the one answer that may
    // exceed it: 32 MiB.
    const size_t max_buffered_bytes_ = 29360128;
    // Charged for answers from their first bytes until the last copy of their
    // body is gone. An answer above 64 KiB that does not fit is not read until
    // bytes are given back or its delivery ends. One answer at a time may
    // exceed the limits.
    const std::shared_ptr<ByteAccount> account_ =
        std::make_shared<ByteAccount>();
    // While answers wait for room, an answer is given up of which less than
    // 8 KiB have come in this time.
    const state::Millis stall_ = state::Millis(2000);
    // Takes an answer without a length for whole when its connection is closed
    // in order. Otherwise such an answer counts as cut.
    const bool accepts_until_close_ = false;
    // Without it each message is the answer of the request that waits.
    const IdentifyAnswer identify_ = {};
    // Called on the target thread, with the target's address, when the target
    // has closed a kept connection without a delivery and no other connection
    // to it is left; must not block.
    const std::function<void(const std::string&)> connections_closed_ = {};
  };

  // Called on the target thread when a delivery has ended; must not block.
  using Handler = std::function<void(DeliveryEnded)>;

  static std::unique_ptr<TargetClient> Start(const Options& options,
                                             Handler handler,
                                             state::Counters* counters);

  // Waits for the deliveries that were accepted to end.
  virtual ~TargetClient() = default;

  // Queues a delivery. Returns false when the ring is full; the handler is then
  // not called. A request is sent at most once: it is never repeated on another
  // connection after a byte of it has been sent. Its timeout runs from this
  // call; one that passes before anything was sent ends as kConnectFailed.
  // Headers of the connection and of the framing are not passed on, in either
  // direction. Precondition: no other delivery in progress has this id.
  // Thread-safe.
  virtual bool Deliver(coordination::DeliverToTarget delivery) = 0;
  // Cancels a delivery by closing its connection, or before it is sent; the
  // handler still learns of its end. Does nothing when it has ended.
  // Thread-safe.
  virtual void Cancel(uint64_t delivery_id) = 0;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_TARGET_CLIENT_H_
