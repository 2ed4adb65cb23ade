#ifndef TRANSPORT_INTERNAL_REQUEST_RUNNER_H_
#define TRANSPORT_INTERNAL_REQUEST_RUNNER_H_

#include <httplib.h>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "transport/internal/http_connection.h"
#include "transport/internal/http_head.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

// What happens to a connection after a request.
enum class ConnectionFate { kKept, kLingers, kClosed };

// Returns a whole response without a body that closes the connection.
std::string RefusalResponse(int status,
                            const std::vector<state::HttpHeader>& headers);

// One request, from its head to its answer.
struct RequestInProgress {
  HttpConnection* connection_ = nullptr;
  std::string method_;
  std::string path_;
  std::vector<state::HttpHeader> headers_;
  Framing framing_ = Framing::kInvalid;
  size_t length_ = 0;
  bool closes_ = true;
  int refusal_ = 0;  // Status of a refusal before the handler, if not 0.
  std::optional<state::HttpAnswer> answer_;
  std::optional<RequestCharge> charge_;
  std::optional<ByteCharge> answer_charge_;
};

// Runs requests one after the other for a worker: httplib parses the head and
// the body and writes the answer. Not thread-safe; each worker has its own.
//
// httplib would refuse a GET with a body by taking the body for the next
// request, cut answers to the ranges that the target has already cut, compress
// answers, unpack bodies, and parse forms. So it is shown every request as a
// POST of the path "/" with the framing headers only; the handler gets what the
// caller sent.
class RequestRunner : private httplib::Server {
 public:
  // `stopping` says whether the connections are to be closed. The pointers must
  // outlive the runner.
  RequestRunner(const HttpServer::Options& options,
                const HttpServer::Handler& handler,
                const std::atomic<bool>& stopping,
                state::Counters* counters);

  // Reads a request of which the head has arrived, or cannot, and answers it.
  ConnectionFate Serve(HttpConnection* connection);

 private:
  ConnectionFate ServeNext(HttpConnection* connection);
  ConnectionFate Refuse(HttpConnection* connection);
  ConnectionFate SendRefusal(HttpConnection* connection, int status);
  // Called by httplib in this order.
  void TakeHead(httplib::Request* request);
  void Answer(httplib::Response* response,
              const httplib::ContentReader& read_content);
  void FinishHeaders(httplib::Response* response);

  // Writes the answer's body behind the head. Returns false when the connection
  // has ended.
  bool SendBody(SocketStream* stream);
  // Returns the status of the refusal, or 0 and the body.
  int ReadBody(const httplib::ContentReader& read_content, std::string* body);
  // Returns whether the account has room for a body of that capacity.
  bool ChargeBody(size_t capacity);
  std::vector<state::HttpHeader> RefusalHeaders(int status) const;
  bool HasBody(int status) const;
  bool ShouldClose();

  const HttpServer::Options& options_;
  const HttpServer::Handler& handler_;
  const std::atomic<bool>& stopping_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  // Of the request that Serve runs.
  std::optional<RequestInProgress> exchange_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_REQUEST_RUNNER_H_
