#ifndef TRANSPORT_INTERNAL_TARGET_LINK_H_
#define TRANSPORT_INTERNAL_TARGET_LINK_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "transport/api/target_client.h"
#include "transport/internal/answer_room.h"
#include "transport/internal/descriptor.h"
#include "transport/internal/memory_relief.h"

namespace gooseberrygap::transport {

// One connection to the target, which carries one delivery at a time. It never
// blocks: Progress does what can be done at the moment. Not thread-safe.
class TargetLink {
 public:
  // Starts to connect; nothing when the address is not valid or the system
  // refuses at once. `options` and `room` must outlive the link.
  static std::unique_ptr<TargetLink> Connect(
      const std::string& address,
      const TargetClient::Options* options,
      AnswerRoom* room);
  ~TargetLink();

  int descriptor() const { return socket_.get(); }
  const std::string& address() const { return address_; }

  // Takes the next delivery. Precondition: there is none.
  void Begin(const coordination::DeliverToTarget& delivery,
             state::Millis deadline);
  // Connects, sends and receives as far as possible. Returns the delivery's
  // end once it has come. If the answer is held, this tries to go on with it.
  std::optional<DeliveryEnded> Progress(state::Millis now);
  // Ends the delivery before its answer: at its deadline or by a cancel. The
  // link cannot be used again.
  DeliveryEnded Abandon(DeliveryEnd end);

  // Whether Progress waits to write, to connect or to send.
  bool waits_to_write() const;
  bool has_delivery() const { return delivery_ != nullptr; }
  bool has_sent() const { return sent_ > 0; }
  uint64_t delivery_id() const { return delivery_->delivery_id_; }
  state::Millis deadline() const { return deadline_; }
  state::Millis last_used() const { return last_used_; }
  // Whether another delivery may be sent: the connection is open and no byte
  // has come that belongs to no request.
  bool CanReuse();
  // Whether CanReuse has found that the target had closed the connection
  // although its last answer kept it open.
  bool closed_while_kept() const { return closed_while_kept_; }
  // Whether an answer on this connection was a refusal. A target in trouble
  // may send it once more.
  bool has_refused() const { return has_refused_; }
  // Whether the answer waits for room in the account. It is not read
  // meanwhile, and the descriptor need not be watched for input.
  bool is_held() const { return held_; }
  // Returns what the answer holds, and its progress.
  MemoryRelief::Load load() const;
  // Whether an answer's head has come in part or whole.
  bool has_answer_head() const { return has_answer_head_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  enum class ReadEnd { kOpen, kClosed, kReset };

  TargetLink(Descriptor socket,
             std::string address,
             const TargetClient::Options* options,
             AnswerRoom* room);

  bool FinishConnect();
  bool SendRest();
  // Sends the next bytes of the request's head and body, as `sendmsg` does.
  ssize_t SendNext() const;
  // Reads what has come, if the connection is open and the answer is not held.
  void Receive();
  ReadEnd ReceiveSome();
  // Returns whether the account has room for the part of the body that comes
  // next. The parser then allocates no more.
  bool ReserveBody();
  // Charges the bytes that stay in `input_` and in the head.
  void ChargeRest();
  void StartParser();
  // Gives the parser the next bytes and returns how many it has taken. A head
  // whose framing is ambiguous sets `error`, too.
  size_t ParseNext(boost::system::error_code* error);
  // Parses what has been received. Returns the end of the delivery once the
  // answer is whole or known to be bad.
  std::optional<DeliveryEnded> Parse(state::Millis now);
  // Likewise, when the connection has ended.
  std::optional<DeliveryEnded> ParseEnd(state::Millis now);
  std::optional<DeliveryEnded> TakeAnswer(state::Millis now);
  // Returns the body of the message with its charge.
  state::Bytes TakeBody();
  // Drops a whole message that is not the answer, and waits for the next one.
  void SkipMessage();
  DeliveryEnded End(DeliveryEnd end, const state::HttpAnswer& answer = {});

  const Descriptor socket_;
  const std::string address_;
  const TargetClient::Options* const options_;
  AnswerRoom* const room_;
  bool connected_ = false;
  bool reusable_ = false;
  bool closed_while_kept_ = false;
  std::unique_ptr<const coordination::DeliverToTarget> delivery_;
  state::Millis deadline_;
  state::Millis last_used_;
  std::string request_head_;
  size_t request_bytes_ = 0;  // Of the head and the body together.
  size_t sent_ = 0;
  bool can_send_ = true;
  bool was_reset_ = false;  // As `sendmsg` reported.
  std::string input_;
  ReadEnd read_end_ = ReadEnd::kOpen;
  std::unique_ptr<Parser> parser_;
  std::optional<RequestCharge> charge_;  // Of the answer.
  bool held_ = false;
  uint64_t received_bytes_ = 0;
  size_t message_bytes_ = 0;  // Taken by `parser_`.
  size_t skipped_bytes_ = 0;  // Of messages before the answer.
  bool has_answer_head_ = false;
  bool has_answer_ = false;  // A whole answer has come on this connection.
  // One has come that belongs to no request that waited.
  bool has_foreign_answer_ = false;
  bool has_refused_ = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_TARGET_LINK_H_
