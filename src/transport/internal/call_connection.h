#ifndef TRANSPORT_INTERNAL_CALL_CONNECTION_H_
#define TRANSPORT_INTERNAL_CALL_CONNECTION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/state.h"
#include "transport/api/byte_account.h"
#include "transport/internal/descriptor.h"
#include "transport/internal/memory_relief.h"
#include "transport/internal/request_reader.h"

namespace gooseberrygap::transport {

// One caller's connection: reads requests, and sends their answers in order. It
// never blocks. Not thread-safe.
class CallConnection {
 public:
  struct Options {
    const uint64_t number_ = 0;  // No other connection of the server has it.
    const size_t listener_ = 0;
    const std::shared_ptr<ByteAccount> account_ = {};
    const state::Millis hold_ = {};  // How long a request waits for room.
  };

  CallConnection(Descriptor socket, const Options& options, state::Millis now);

  int descriptor() const { return socket_.get(); }
  size_t listener() const { return listener_; }

  // Reads what has come, and hands each whole request to `take`, which returns
  // its number.
  using Take = std::function<uint64_t(const state::HttpRequest& request)>;
  void Read(const state::CallerLimits& limits,
            const Take& take,
            state::Millis now);
  // Reads on what had no room in the account.
  void ReadHeld(const state::CallerLimits& limits,
                const Take& take,
                state::Millis now);
  // Gives the answer of a request.
  void Answer(uint64_t request_id, const state::HttpAnswer& answer);
  // Sends answers as far as possible.
  void Flush(state::Millis now);
  // Ends what lasts too long: a head that does not come, a request that waits
  // for room, an idle connection.
  void CheckTime(const state::CallerLimits& limits, state::Millis now);
  // Takes no request behind those that wait for an answer, or behind the next
  // one if there are none, and closes the connection with the last answer. What
  // the caller has sent behind it counts as not read.
  void CloseAfterPending();
  // Refuses a request that has not come whole by `limit`.
  void LimitReading(state::Millis limit);
  // Closes the connection if no request is being read or answered.
  void CloseIfIdle();
  // Gives up what is being read or sent, so that its bytes become free.
  void CloseForRoom();
  // Ends a held connection, which is not read, if its caller has closed it.
  void CheckHeld();

  // Whether the connection is to be removed.
  bool is_done() const { return done_; }
  // Whether the caller has left before all answers were sent.
  bool caller_left() const { return caller_left_; }
  bool waits_to_write() const { return !output_.empty(); }
  bool waits_to_read() const;
  // Whether bytes wait that were not read because of too many requests.
  bool has_unread() const { return !input_.empty() && waits_to_read(); }
  // Whether a request is being answered.
  bool is_busy() const { return !pending_.empty() || waits_to_write(); }
  // Since when reading has been stopped for want of room, if it has.
  const std::optional<state::Millis>& held_since() const { return held_since_; }
  // Bytes that a held connection needs to go on.
  size_t missing_bytes() const;
  // Returns what the connection holds, and its progress.
  MemoryRelief::Load load() const;
  // Returns how many requests were refused for want of room since the last
  // call.
  int TakeRoomRefusals() { return std::exchange(room_refusals_, 0); }
  // Returns the requests that have no answer.
  std::vector<uint64_t> Unanswered() const;

 private:
  struct Pending {
    uint64_t request_id_ = 0;
    bool has_body_ = true;  // The answer has one: not for HEAD.
    bool closes_ = false;
    std::optional<state::HttpAnswer> answer_;
    // Of the answer, without a body that is charged already.
    std::optional<ByteCharge> charge_;
    size_t cost_ = 0;  // Bytes of the answer.
  };

  // Returns false when the caller has closed the connection.
  bool Receive();
  void Parse(const state::CallerLimits& limits,
             const Take& take,
             state::Millis now);
  // Returns whether the account has room for the bytes that wait in `input_`.
  bool ChargeInput();
  void Hold(state::Millis now);
  void OnCallerLeft();
  // Whether the caller must send, or read, for the connection to go on.
  bool waits_for_caller() const;
  size_t held_bytes() const;
  void TakeRequest(const Take& take);
  // Charges the answer, except for a body that is charged already.
  void Give(const state::HttpAnswer& answer, Pending* pending);
  // Moves answers that are ready to the output.
  void PrintAnswers(state::Millis now);
  void Print(Pending answered);
  // Returns whether the whole output has been sent.
  bool SendOutput();
  // Answers a request that cannot be read, and reads no further.
  void Refuse(int status);
  void RefuseForRoom();

  const Descriptor socket_;
  const uint64_t number_;
  const size_t listener_;
  const std::shared_ptr<ByteAccount> account_;
  const state::Millis hold_;
  std::string input_;
  ByteCharge input_charge_;
  std::unique_ptr<RequestReader> reader_;
  std::optional<state::Millis> held_since_;
  bool sent_continue_ = false;
  std::deque<Pending> pending_;
  // Pieces of the output; a large body is not copied.
  std::deque<state::Bytes> output_;
  size_t sent_ = 0;  // Of the first piece.
  ByteCharge output_charge_;
  size_t output_cost_ = 0;  // Bytes of the printed answers.
  uint64_t moved_bytes_ = 0;
  int room_refusals_ = 0;
  bool stopped_reading_ = false;
  bool closes_after_pending_ = false;
  std::optional<state::Millis> reading_limit_;
  bool closing_ = false;  // Close once the output is sent.
  bool lingering_ = false;
  bool caller_left_ = false;
  bool done_ = false;
  state::Millis last_used_;
  state::Millis message_began_;
};

// Returns the connections that wait for room, the one that has waited longest
// first.
std::vector<CallConnection*> HeldByAge(
    const std::vector<CallConnection*>& connections);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_CALL_CONNECTION_H_
