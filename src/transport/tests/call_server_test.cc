#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>

#include "transport/tests/support.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {
namespace {

constexpr char kBlockingPath[] = "/blocking";
// Polls, 2 ms each, after which no further request is expected.
constexpr int kPollsWithoutRequest = 100;
const char* const kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// A server whose requests and departures wait in rings for the test.
class TestServer : public CallServer::Handler {
 public:
  explicit TestServer(const state::CallerLimits& limits = {}) {
    auto server = CallServer::Start(
        CallServer::Options{.listen_addresses_ = {"127.0.0.1:0", "127.0.0.1:0"},
                            .limits_ = limits},
        this, &counters_);
    REQUIRE(server);
    server_ = std::move(server).value();
  }

  void OnRequest(const CallServer::ReceivedRequest& arrival) override {
    requests_.TryPush(arrival);
    if (arrival.request_.path_ == kBlockingPath) {
      released_.WaitForNotification();
    }
  }
  void OnCallerDisconnected(uint64_t request_id) override {
    left_.TryPush(request_id);
  }

  CallServer::ReceivedRequest Next() {
    std::optional<CallServer::ReceivedRequest> arrival = requests_.Pop(kHang);
    REQUIRE(arrival);
    return std::move(*arrival);
  }

  void Answer(const CallServer::ReceivedRequest& arrival,
              const std::string& body) {
    server_->Answer(
        arrival.request_id_,
        state::HttpAnswer{.status_ = 200, .body_ = state::Bytes(body)});
  }

  TestSocket Connect(size_t listener = 0) {
    return TestSocket::Connect(server_->addresses()[listener]);
  }

  state::Counters counters_;
  Ring<CallServer::ReceivedRequest> requests_{64};
  Ring<uint64_t> left_{64};
  // Ends the wait of the server's thread in a request for kBlockingPath.
  absl::Notification released_;
  std::unique_ptr<CallServer> server_;
};

// Guards against requests that wait for earlier answers before they are read,
// and against answers that come in the order in which they were made.
TEST_CASE("requests sent ahead are read at once and answered in order") {
  TestServer server;
  TestSocket caller = server.Connect();
  caller.Send(std::string(kGet) +
              "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
              kGet);
  const CallServer::ReceivedRequest first = server.Next();
  const CallServer::ReceivedRequest second = server.Next();
  const CallServer::ReceivedRequest third = server.Next();
  CHECK(second.request_.method_ == "POST");
  CHECK(second.request_.body_.view() == "abcde");
  server.Answer(third, "three");
  server.Answer(second, "two");
  server.Answer(first, "one");
  const std::string answers = caller.ReadUntil("three");
  CHECK(answers.find("one") < answers.find("two"));
  CHECK(answers.find("two") < answers.find("three"));
}

// Guards against a request that is taken for one to another address.
TEST_CASE("a request names the address that it came to") {
  TestServer server;
  TestSocket caller = server.Connect(1);
  caller.Send(kGet);
  CHECK(server.Next().listener_ == 1);
}

// Guards against work for callers that have gone.
TEST_CASE("a caller that closes its connection is noticed at once") {
  TestServer server;
  TestSocket caller = server.Connect();
  caller.Send(kGet);
  const CallServer::ReceivedRequest arrival = server.Next();
  caller.Close();
  CHECK(server.left_.Pop(kHang) == arrival.request_id_);
  server.Answer(arrival, "too late");
  TestSocket next = server.Connect();
  next.Send(kGet);
  server.Answer(server.Next(), "next");
  CHECK(next.ReadUntil("next").find("too late") == std::string::npos);
}

// Guards against a body or a head that fills the memory, and against bytes that
// are read as another request than the one that was meant.
TEST_CASE("requests beyond the limits or the grammar are refused") {
  TestServer server({.max_header_bytes_ = 1024, .max_body_bytes_ = 10});
  const auto status_of = [&server](const std::string& request) {
    TestSocket caller = server.Connect();
    caller.Send(request);
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    return answer.substr(0, answer.find(' ', 9));
  };
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  CHECK(status_of(head + "Content-Length: 11\r\n\r\n") == "HTTP/1.1 413");
  CHECK(status_of(head + "X: " + std::string(2000, 'x') + "\r\n\r\n") ==
        "HTTP/1.1 431");
  CHECK(status_of(head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n") ==
        "HTTP/1.1 400");
  CHECK(status_of(head +
                  "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        "HTTP/1.1 400");
  CHECK(status_of("no request\r\n\r\n") == "HTTP/1.1 400");
  CHECK_FALSE(server.requests_.TryPop());
}

// Guards against limits for callers that also bind operators: after an operator
// has set low ones, no larger configuration would be accepted any more.
TEST_CASE("limits bind the requests to their address only") {
  TestServer server;
  server.server_->SetLimits(0, {.max_body_bytes_ = 10});
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" +
      std::string(20, 'x');
  CHECK(Eventually([&] {
    TestSocket caller = server.Connect(0);
    caller.Send(request);
    const std::optional<CallServer::ReceivedRequest> taken =
        server.requests_.Pop(state::Millis(50));
    return !taken.has_value() &&
           caller.ReadUntil("\r\n\r\n").find("413") != std::string::npos;
  }));
  TestSocket operator_socket = server.Connect(1);
  operator_socket.Send(request);
  CHECK(server.Next().request_.body_.size() == 20);
}

// Guards against a planned stop that cuts a request, or that waits for idle
// callers.
TEST_CASE("a graceful stop answers what was read") {
  TestServer server;
  TestSocket idle = server.Connect();
  TestSocket caller = server.Connect();
  caller.Send(kGet);
  const CallServer::ReceivedRequest arrival = server.Next();
  std::thread stop([&server] { server.server_->StopGracefully(); });
  CHECK(idle.ReadAll().empty());
  server.Answer(arrival, "answer");
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("answer") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  caller.Close();
  stop.join();
}

// Guards against a planned stop that resets a kept connection on which the next
// request has arrived but has not been read.
TEST_CASE("a graceful stop answers a request that was not read yet") {
  TestServer server;
  TestSocket kept = server.Connect();
  kept.Send(kGet);
  server.Answer(server.Next(), "first");
  kept.ReadUntil("first");
  TestSocket blocking = server.Connect();
  blocking.Send("GET /blocking HTTP/1.1\r\nHost: h\r\n\r\n");
  const CallServer::ReceivedRequest blocked = server.Next();
  kept.Send(kGet);
  std::thread stop([&server] { server.server_->StopGracefully(); });
  // The order to stop waits in the server's ring behind the blocked request.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  server.released_.Notify();
  server.Answer(blocked, "blocked");
  const std::optional<CallServer::ReceivedRequest> unread =
      server.requests_.Pop(kHang);
  CHECK(unread.has_value());
  if (unread.has_value()) {
    server.Answer(*unread, "second");
    CHECK(kept.ReadAll().find("second") != std::string::npos);
  }
  kept.Close();
  blocking.Close();
  stop.join();
}

// Guards against a planned stop that goes on to read requests which a caller
// sends ahead of the answers: the connection is then never without a request,
// and the end of the process cuts those in progress.
TEST_CASE("a closing connection takes no request behind those it has taken") {
  TestServer server;
  TestSocket caller = server.Connect();
  caller.Send(std::string(kGet) + kGet + kGet);
  const CallServer::ReceivedRequest first = server.Next();
  const CallServer::ReceivedRequest second = server.Next();
  const CallServer::ReceivedRequest third = server.Next();
  // The last request has its answer before the stop begins.
  server.Answer(third, "three");
  server.server_->CloseAfterAnswers();
  server.Answer(first, "one");
  CHECK(caller.ReadUntil("one").find("Connection: close") == std::string::npos);
  caller.Send(std::string(kGet) + kGet);
  server.Answer(second, "two");
  const std::string answers = caller.ReadAll();
  CHECK(answers.find("two") < answers.find("Connection: close"));
  CHECK(answers.find("Connection: close") < answers.find("three"));
  // Requests behind an answer that closes count as not read.
  CHECK_FALSE(server.requests_.TryPop());
}

// Guards against a planned stop that never ends while a caller keeps requests
// in flight on its connection.
TEST_CASE("a graceful stop ends although a caller sends on") {
  TestServer server;
  TestSocket caller = server.Connect();
  caller.Send(std::string(kGet) + kGet);
  std::optional<CallServer::ReceivedRequest> oldest(server.Next());
  std::atomic<bool> ended = false;
  std::thread stop([&server, &ended] {
    server.server_->StopGracefully();
    ended = true;
  });
  std::thread read([&caller] { caller.ReadAll(); });
  // The oldest request is answered once another one has been handed over, or
  // when no further one has come for a while.
  int polls = 0;
  CHECK(Eventually([&] {
    caller.Send(kGet);
    const std::optional<CallServer::ReceivedRequest> next =
        server.requests_.TryPop();
    ++polls;
    const bool is_due = next.has_value() || polls >= kPollsWithoutRequest;
    if (oldest.has_value() && is_due) {
      server.Answer(*oldest, "answer");
      oldest.reset();
    }
    if (next.has_value()) {
      oldest.emplace(*next);
      polls = 0;
    }
    return ended.load();
  }));
  caller.Close();
  read.join();
  stop.join();
}

// Guards against a planned stop that waits for the end of a request that comes
// too slowly: the process is ended before it has answered.
TEST_CASE("a graceful stop refuses a request that does not come whole") {
  const std::string incomplete = GENERATE(values<std::string>(
      {"GET / HTTP/1.1\r\nHost: h\r\nX: ",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"}));
  CAPTURE(incomplete);
  TestServer server;
  TestSocket caller = server.Connect();
  caller.Send(incomplete);
  std::atomic<bool> ended = false;
  std::thread stop([&server, &ended] {
    server.server_->StopGracefully();
    ended = true;
  });
  CHECK(Eventually([&] {
    caller.Send("x");
    return ended.load();
  }));
  CHECK(caller.ReadAll().find("HTTP/1.1 408") != std::string::npos);
  CHECK_FALSE(server.requests_.TryPop());
  caller.Close();
  stop.join();
}

// Guards against a caller whose bytes never end and are no request: they would
// fill the daemon's memory, since a chunk's extension has no limit of its own.
TEST_CASE("a request that never ends is refused") {
  const std::string endless = GENERATE(
      values<std::string>({"POST / HTTP/1.1\r\nHost: h\r\nX: ",
                           "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n1;x=",
                           "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n0\r\nX: "}));
  CAPTURE(endless);
  TestServer server({.max_header_bytes_ = 1024, .max_body_bytes_ = 4096});
  TestSocket caller = server.Connect();
  caller.Send(endless);
  // The server reads on for a moment, so that the answer is not lost by a
  // reset.
  caller.SendEndlessly(std::string(65536, 'x'));
  CHECK(caller.ReadUntil("\r\n\r\n").rfind("HTTP/1.1 4", 0) == 0);
  CHECK_FALSE(server.requests_.TryPop());
}

// Guards against a kept connection that the caller believes to be open.
TEST_CASE("a caller that wants no further answer is told and closed") {
  TestServer server;
  TestSocket caller = server.Connect();
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  server.Answer(server.Next(), "last");
  CHECK(caller.ReadAll().find("Connection: close") != std::string::npos);
}

}  // namespace
}  // namespace gooseberrygap::transport
