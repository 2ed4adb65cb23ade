#ifndef TRANSPORT_INTERNAL_REQUEST_READER_H_
#define TRANSPORT_INTERNAL_REQUEST_READER_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>

#include "state/state.h"
#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {

enum class ReadStep {
  kNeedsMore,  // The request is not whole yet.
  kComplete,
  kNoRoom,  // The next bytes do not fit the account; put them again later.
  kFailed,  // The request cannot be read.
};

// Reads one request of a caller, and charges what it holds before it is
// allocated. Not thread-safe.
class RequestReader {
 public:
  RequestReader(const state::CallerLimits& limits,
                const std::shared_ptr<ByteAccount>& account);

  // Takes bytes off the front of `input`, up to the end of the request.
  ReadStep Put(std::string* input);
  // Returns the request and ends its charge with the last copy of its body.
  // Precondition: Put has returned kComplete; call it once.
  state::HttpRequest Take();

  bool is_head_done() const { return parser_.is_header_done(); }
  // Whether the caller waits for permission to send the body.
  bool wants_continue() const;
  // Whether the connection closes after the answer; the answer has a body.
  // Precondition: the request is complete and not taken.
  bool closes() const { return !parser_.keep_alive(); }
  bool answer_has_body() const;
  // Status of the refusal, after kFailed.
  int status() const { return status_; }
  // Bytes held, and bytes that did not fit, after kNoRoom.
  size_t held_bytes() const { return charge_.bytes(); }
  size_t missing_bytes() const { return missing_bytes_; }
  // Whether what did not fit was small, after kNoRoom.
  bool is_small() const { return is_small_; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Decides about a head that is not whole yet.
  ReadStep AwaitHead(const std::string& input);
  // Return whether there is room for what the parser takes next.
  bool Reserve(const std::string& input);
  bool ReserveChunks(size_t next_bytes);
  bool TryCharge(ByteCharge* charge, size_t bytes);

  const size_t max_head_bytes_;
  const size_t max_body_bytes_;
  Parser parser_;
  RequestCharge charge_;
  bool has_body_room_ = false;
  int status_ = 0;
  size_t missing_bytes_ = 0;
  bool is_small_ = false;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_REQUEST_READER_H_
