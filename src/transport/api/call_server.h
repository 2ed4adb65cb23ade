#ifndef TRANSPORT_API_CALL_SERVER_H_
#define TRANSPORT_API_CALL_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/state.h"
#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {

// The `http` duty: serves HTTP/1.1 on several addresses with one thread. A
// request that waits for its answer costs no thread, so that every request is
// read at once. Requests that are sent ahead of answers are handed over at once
// and answered in order.
class CallServer {
 public:
  struct Options {
    const std::vector<std::string> listen_addresses_ = {};
    const int max_connections_ = 2048;
    const state::CallerLimits limits_ = {};  // At first, of all addresses.
    // Charged with what is held for callers.
    const std::shared_ptr<ByteAccount> account_ =
        std::make_shared<ByteAccount>();
    // A request for which the account has no room is not read further. After
    // the hold time it is refused as not run.
    const state::Millis hold_ = state::Millis(3000);
    // Connections without progress for so long are closed while others wait for
    // room: those that hold most first.
    const state::Millis stall_ = state::Millis(2000);
  };

  struct ReceivedRequest {
    uint64_t request_id_ = 0;
    size_t listener_ = 0;  // Index of the address in the options.
    // With all headers, also those of the connection and of the framing.
    state::HttpRequest request_;
  };

  // Called on the server's thread; must not block.
  class Handler {
   public:
    virtual ~Handler() = default;
    // Takes a whole request. Give its answer by Answer, from any thread.
    virtual void OnRequest(const ReceivedRequest& arrival) = 0;
    // The caller has closed the connection of a request without an answer. An
    // answer that comes nevertheless is dropped.
    virtual void OnCallerDisconnected(uint64_t request_id) = 0;
  };

  // Binds and starts the thread. `handler` and `counters` must outlive the
  // server.
  static state::Result<std::unique_ptr<CallServer>>
  Start(const Options& options, Handler* handler, state::Counters* counters);

  virtual ~CallServer() = default;

  // Answers a request. Headers of the connection and of the framing are left
  // out and set by the server. Thread-safe.
  virtual void Answer(uint64_t request_id, state::HttpAnswer answer) = 0;
  // Takes new limits into force for what is read from now on on connections to
  // the address with this index in the options. Thread-safe.
  virtual void SetLimits(size_t listener,
                         const state::CallerLimits& limits) = 0;
  // From now on a connection is closed with its last answer, and no request is
  // read behind those that wait for an answer. Thread-safe.
  virtual void CloseAfterAnswers() = 0;
  // Stops accepting connections, closes idle ones, and returns when every
  // request that was read has its answer. A request that does not come whole
  // within 1 s is refused. Call it once, from another thread.
  virtual void StopGracefully() = 0;
  // Returns the addresses that it listens at, with chosen ports. Thread-safe.
  virtual const std::vector<std::string>& addresses() const = 0;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_CALL_SERVER_H_
