#ifndef TRANSPORT_INTERNAL_CALL_CONNECTION_H_
#define TRANSPORT_INTERNAL_CALL_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/state.h"
#include "transport/internal/descriptor.h"

namespace gooseberrygap::transport {

// One caller's connection: reads requests, and sends their answers in order. It
// never blocks. Not thread-safe.
class CallConnection {
 public:
  CallConnection(Descriptor socket, size_t listener, state::Millis now);

  int descriptor() const { return socket_.get(); }
  size_t listener() const { return listener_; }

  // Reads what has come, and hands each whole request to `take`, which returns
  // its number.
  using Take = std::function<uint64_t(const state::HttpRequest& request)>;
  void Read(const state::CallerLimits& limits,
            const Take& take,
            state::Millis now);
  // Gives the answer of a request.
  void Answer(uint64_t request_id, const state::HttpAnswer& answer);
  // Sends answers as far as possible.
  void Flush(state::Millis now);
  // Ends what lasts too long: a head that does not come, an idle connection.
  void CheckTime(const state::CallerLimits& limits, state::Millis now);
  // Takes no request behind those that wait for an answer, or behind the next
  // one if there are none, and closes the connection with the last answer. What
  // the caller has sent behind it counts as not read.
  void CloseAfterPending();
  // Refuses a request that has not come whole by `limit`.
  void LimitReading(state::Millis limit);
  // Closes the connection if no request is being read or answered.
  void CloseIfIdle();

  // Whether the connection is to be removed.
  bool is_done() const { return done_; }
  // Whether the caller has left before all answers were sent.
  bool caller_left() const { return caller_left_; }
  bool waits_to_write() const { return sent_ < output_.size(); }
  bool waits_to_read() const;
  // Whether bytes wait that were not read because of too many requests.
  bool has_unread() const { return !input_.empty() && waits_to_read(); }
  // Whether a request is being answered.
  bool is_busy() const { return !pending_.empty() || waits_to_write(); }
  // Returns the requests that have no answer.
  std::vector<uint64_t> Unanswered() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  struct Pending {
    uint64_t request_id_ = 0;
    bool has_body_ = true;  // The answer has one: not for HEAD.
    bool closes_ = false;
    std::optional<state::HttpAnswer> answer_;
  };

  // Returns false when the caller has closed the connection.
  bool Receive();
  void Parse(const state::CallerLimits& limits,
             const Take& take,
             state::Millis now);
  void StartParser(const state::CallerLimits& limits, state::Millis now);
  void TakeRequest(const Take& take);
  // Answers a request that cannot be read, and reads no further.
  void Refuse(int status);

  const Descriptor socket_;
  const size_t listener_;
  std::string input_;
  std::unique_ptr<Parser> parser_;
  bool sent_continue_ = false;
  std::deque<Pending> pending_;
  std::string output_;
  size_t sent_ = 0;
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

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_CALL_CONNECTION_H_
