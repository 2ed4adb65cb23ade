#include <catch2/catch.hpp>

#include <optional>

#include "absl/strings/str_cat.h"
#include "transport/tests/support.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {
namespace {

constexpr size_t kLimitBytes = 1 << 20;
constexpr size_t kReserveBytes = 1 << 16;
// The account has room for one body of this size with its copy.
constexpr size_t kBodyBytes = 400000;
constexpr state::Millis kLong(60000);
constexpr state::Millis kShort(600);
const char* const kSmall = "GET /small HTTP/1.1\r\nHost: h\r\n\r\n";

// A server with a small account, whose requests wait in a ring.
class SmallServer : public CallServer::Handler {
 public:
  SmallServer(state::Millis hold, state::Millis stall)
      : account_(std::make_shared<ByteAccount>(
            ByteAccount::Options{.limit_bytes_ = kLimitBytes,
                                 .reserve_bytes_ = kReserveBytes})) {
    auto server = CallServer::Start(
        CallServer::Options{.listen_addresses_ = {"127.0.0.1:0"},
                            .account_ = account_,
                            .hold_ = hold,
                            .stall_ = stall},
        this, &counters_);
    REQUIRE(server);
    server_ = std::move(server).value();
  }

  void OnRequest(const CallServer::ReceivedRequest& arrival) override {
    requests_.TryPush(arrival);
  }
  void OnCallerDisconnected(uint64_t) override {}

  // Answers the next request; the body of that request then counts no more.
  size_t AnswerNext(const std::string& answer) {
    const std::optional<CallServer::ReceivedRequest> arrival =
        requests_.Pop(kHang);
    REQUIRE(arrival);
    server_->Answer(
        arrival->request_id_,
        state::HttpAnswer{.status_ = 200, .body_ = state::Bytes(answer)});
    return arrival->request_.body_.size();
  }

  TestSocket Connect() { return TestSocket::Connect(server_->addresses()[0]); }

  void CheckServesSmallRequest() {
    TestSocket caller = Connect();
    caller.Send(kSmall);
    AnswerNext("small");
    CHECK_THAT(caller.ReadUntil("small"), Catch::Matchers::Contains(" 200 "));
  }

  int refusals() const {
    return static_cast<int>(
        counters_.Get(state::RefusalReason::kMemoryPressure));
  }

  state::Counters counters_;
  const std::shared_ptr<ByteAccount> account_;
  Ring<CallServer::ReceivedRequest> requests_{64};
  std::unique_ptr<CallServer> server_;
};

std::string HeadWithLength(size_t bytes) {
  return absl::StrCat(
      "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: ", bytes, "\r\n\r\n");
}

// Guards against a large body that is read although there is no room, against
// one that waits for ever, and against ordinary requests that wait with it.
TEST_CASE("a body without room is refused as not run after the hold time") {
  SmallServer server(kShort, kLong);
  TestSocket first = server.Connect();
  first.Send(HeadWithLength(kBodyBytes) + std::string(kBodyBytes - 1, 'a'));
  REQUIRE(Eventually([&] { return server.account_->held() > kBodyBytes; }));
  TestSocket second = server.Connect();
  second.Send(HeadWithLength(kBodyBytes) + "b");
  server.CheckServesSmallRequest();
  const std::string refusal = second.ReadAll();
  CHECK_THAT(refusal, Catch::Matchers::StartsWith("HTTP/1.1 503"));
  CHECK_THAT(refusal, Catch::Matchers::Contains("Retry-After: 1"));
  CHECK(server.refusals() == 1);
  first.Send("a");
  CHECK(server.AnswerNext("whole") == kBodyBytes);
  CHECK_THAT(first.ReadUntil("whole"), Catch::Matchers::Contains(" 200 "));
  CHECK(Eventually([&] { return server.account_->held() == 0; }));
}

// Guards against a body that stays unread after room has come.
TEST_CASE("a held body is read when another request has ended") {
  SmallServer server(kLong, kLong);
  TestSocket first = server.Connect();
  first.Send(HeadWithLength(kBodyBytes) + std::string(kBodyBytes - 1, 'a'));
  REQUIRE(Eventually([&] { return server.account_->held() > kBodyBytes; }));
  TestSocket second = server.Connect();
  second.Send(HeadWithLength(kBodyBytes) + std::string(kBodyBytes, 'b'));
  server.CheckServesSmallRequest();
  first.Send("a");
  CHECK(server.AnswerNext("first") == kBodyBytes);
  CHECK(server.AnswerNext("second") == kBodyBytes);
  CHECK_THAT(second.ReadUntil("second"), Catch::Matchers::Contains(" 200 "));
  CHECK(server.refusals() == 0);
}

// Guards against callers that hold all room by standing still.
TEST_CASE("a stalled body makes room for one that waits") {
  SmallServer server(kLong, kShort);
  TestSocket first = server.Connect();
  first.Send(HeadWithLength(kBodyBytes) + "a");
  REQUIRE(Eventually([&] { return server.account_->held() > kBodyBytes; }));
  TestSocket second = server.Connect();
  second.Send(HeadWithLength(kBodyBytes) + std::string(kBodyBytes, 'b'));
  CHECK(server.AnswerNext("second") == kBodyBytes);
  CHECK_THAT(first.ReadAll(), Catch::Matchers::StartsWith("HTTP/1.1 503"));
}

// Guards against a held connection whose caller has gone, which would keep its
// place and wake the thread again and again.
TEST_CASE("a caller that leaves while it is held is noticed") {
  SmallServer server(kLong, kLong);
  TestSocket first = server.Connect();
  first.Send(HeadWithLength(kBodyBytes) + "a");
  REQUIRE(Eventually([&] { return server.account_->held() > kBodyBytes; }));
  const size_t held = server.account_->held();
  TestSocket second = server.Connect();
  // Few bytes: behind a full buffer the system would not report the end.
  second.Send(HeadWithLength(kBodyBytes) + "b");
  REQUIRE(Eventually([&] { return server.account_->held() > held; }));
  second.Close();
  CHECK(Eventually([&] { return server.account_->held() == held; }));
}

// Guards against answers that fill the memory because callers do not read them.
TEST_CASE("answers that are not read count, and are given up for others") {
  SmallServer server(kLong, kShort);
  TestSocket reader = server.Connect();
  reader.Send(kSmall);
  server.AnswerNext(std::string(16 * kLimitBytes, 'z'));
  CHECK(Eventually([&] { return server.account_->held() > kLimitBytes; }));
  CHECK(Eventually([&] { return server.account_->held() == 0; }));
  CHECK(server.refusals() == 1);
  server.CheckServesSmallRequest();
}

// Guards against chunks that are lost when the body's buffer grows, and against
// a body that grows beyond the room.
TEST_CASE("a chunked body is charged while it grows") {
  SmallServer server(kShort, kLong);
  std::string chunks;
  for (int i = 0; i < 20000; ++i) {
    absl::StrAppend(&chunks, "3\r\nabc\r\n");
  }
  const std::string head =
      "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  TestSocket first = server.Connect();
  first.Send(head + chunks + "0\r\n\r\n");
  CHECK(server.AnswerNext("done") == 60000);
  first.ReadUntil("done");
  CHECK(Eventually([&] { return server.account_->held() == 0; }));
  TestSocket second = server.Connect();
  const std::string half = absl::StrCat(absl::Hex(kLimitBytes / 2), "\r\n",
                                        std::string(kLimitBytes / 2, 'x'));
  second.Send(head + half + "\r\n1\r\nx\r\n");
  CHECK_THAT(second.ReadUntil("\r\n\r\n"),
             Catch::Matchers::StartsWith("HTTP/1.1 503"));
}

}  // namespace
}  // namespace gooseberrygap::transport
