#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "transport/tests/support.h"
#include "transport/tests/target_client_support.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";

// An answer whose own framing shows where it ends.
struct FramedAnswer {
  std::string method_;
  std::string text_;
  std::string body_;
};

const std::vector<FramedAnswer> kFramedAnswers = {
    {"GET", "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 3\r\n\r\nabc", "abc"},
    {"POST", "HTTP/1.1 201 Made\r\nContent-Length: 3\r\n\r\nabc", "abc"},
    {"GET", "HTTP/1.1 404 No\r\nContent-Length: 3\r\n\r\nabc", "abc"},
    {"POST", "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nabc", "abc"},
    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
    {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
    {"GET",
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
     "abc"},
    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nabc", "abc"},
    {"GET",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n",
     "abcde"},
    {"GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
     "abc"},
    {"GET",
     "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n"
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
     "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     "abc"},
    {"GET",
     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n0\r\n\r\n",
     "abc"},
    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", ""},
    {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
    {"HEAD", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", ""},
    {"POST", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", ""},
    {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", ""},
    {"POST",
     "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
     "Content-Length: 3\r\n\r\nabc",
     "abc"},
};

// Guards against a cut answer that counts as whole, and against one that counts
// as a request that was not run: its target may be at work on it.
TEST_CASE("an answer with a framing is incomplete when cut at any byte") {
  const bool accepts_until_close = GENERATE(false, true);
  const ConnectionEnd end =
      GENERATE(ConnectionEnd::kClose, ConnectionEnd::kReset);
  Client client({.workers_ = 1, .accepts_until_close_ = accepts_until_close});
  for (const FramedAnswer& answer : kFramedAnswers) {
    for (size_t cut = 0; cut < answer.text_.size(); ++cut) {
      INFO(answer.method_ << " " << answer.text_.substr(0, cut));
      const DeliveryEnded ended =
          AnswerWith(&client, answer.text_.substr(0, cut), answer.method_, end);
      CHECK(ended.end_ == DeliveryEnd::kIncompleteAnswer);
      CHECK(ended.sent_);
      CHECK(ended.answer_ == state::HttpAnswer{});
    }
  }
}

// Guards against a check of the framing that refuses sound answers.
TEST_CASE("an answer with a framing is whole at its last byte") {
  const bool accepts_until_close = GENERATE(false, true);
  Client client({.workers_ = 1, .accepts_until_close_ = accepts_until_close});
  for (const FramedAnswer& answer : kFramedAnswers) {
    INFO(answer.method_ << " " << answer.text_);
    const DeliveryEnded ended =
        AnswerWith(&client, answer.text_, answer.method_);
    CHECK(ended.end_ == DeliveryEnd::kAnswered);
    CHECK(ended.answer_.body_.view() == answer.body_);
  }
}

// Guards against a head that is cut, and against a body that is reset, where
// the end of the connection is the end of the answer.
TEST_CASE("an answer without a framing needs a whole head and a close") {
  constexpr char kBody[] = "abc";
  const std::string method = GENERATE(values<std::string>({"GET", "POST"}));
  const std::string head = GENERATE(values<std::string>(
      {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
       "HTTP/1.1 404 No\r\n\r\n", "HTTP/1.1 500 No\r\n\r\n",
       "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n"}));
  Client client({.workers_ = 1, .accepts_until_close_ = true});
  Client strict({.workers_ = 1});
  const std::string text = head + kBody;
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    const std::string part = text.substr(0, cut);
    INFO(method << " " << part);
    CHECK(AnswerWith(&client, part, method, ConnectionEnd::kReset).end_ ==
          DeliveryEnd::kIncompleteAnswer);
    CHECK(AnswerWith(&strict, part, method).end_ ==
          DeliveryEnd::kIncompleteAnswer);
    const DeliveryEnded closed = AnswerWith(&client, part, method);
    const bool is_whole = cut >= head.size();
    CHECK(closed.end_ ==
          (is_whole ? DeliveryEnd::kAnswered : DeliveryEnd::kIncompleteAnswer));
    CHECK(closed.answer_.body_.view() ==
          (is_whole ? part.substr(head.size()) : ""));
  }
}

// Guards against a length behind a bare line end: the line before it would take
// it for a part of its own value, and the close would end the answer.
TEST_CASE("an answer with a bare line end in its head is never whole") {
  const std::string answer = GENERATE(values<std::string>({
      "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
      "HTTP/1.1 200 OK\n\nabc",
      "HTTP/1.1 200 OK\r\n\nabc",
      "HTTP/1.1 200 OK\r\nX: y\nContent-Length: 9\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\n\r\nabc",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\nabc",
      "HTTP/1.1 200 OK\r\nX: y\rContent-Length: 9\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\r\n\r\nabc",
      "\r\nHTTP/1.1 200 OK\r\n\r\nabc",
  }));
  Client client({.workers_ = 1, .accepts_until_close_ = true});
  INFO(answer);
  CHECK(AnswerWith(&client, answer).end_ == DeliveryEnd::kIncompleteAnswer);
}

// Guards against a length that cannot be read and is taken for none, and
// against one of two lengths that is taken for the right one.
TEST_CASE("an answer whose length is malformed is never whole") {
  const std::string lines = GENERATE(values<std::string>({
      "Content-Length:\r\n",
      "Content-Length: \r\n",
      "Content-Length: x\r\n",
      "Content-Length: -3\r\n",
      "Content-Length: +3\r\n",
      "Content-Length: 0x3\r\n",
      "Content-Length: 3x\r\n",
      "Content-Length: 3 3\r\n",
      "Content-Length: 3;q=1\r\n",
      "Content-Length: \"3\"\r\n",
      "Content-Length: 3,\r\n",
      "Content-Length: ,3\r\n",
      "Content-Length: 3, 9\r\n",
      "Content-Length: 9, 3\r\n",
      "Content-Length: 18446744073709551619\r\n",
      "Content-Length : 9\r\n",
      " Content-Length: 9\r\n",
      "Content-Length 9\r\n",
      "Content-Length\r\n",
      ": 9\r\n",
      "Content-Length: 3\r\nContent-Length: 9\r\n",
      "Content-Length: 9\r\nContent-Length: 3\r\n",
      "Content-Length: 3\r\nContent-Length: x\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
  }));
  Client client({.workers_ = 1, .accepts_until_close_ = true});
  INFO(lines);
  CHECK(AnswerWith(&client, kOk + lines + "\r\nabc").end_ ==
        DeliveryEnd::kIncompleteAnswer);
}

// Guards against a length in a folded line: the line before it would take it
// for a part of its own value.
TEST_CASE("an answer with a folded line in its head is never whole") {
  const std::string lines = GENERATE(values<std::string>({
      "X: y\r\n Content-Length: 9\r\n",
      "X:\r\n\tContent-Length: 9\r\n",
      "Content-Length:\r\n 3\r\n",
      "Content-Length: 3\r\n 0\r\n",
      "Content-Length: 3\r\n \r\n",
      "Transfer-Encoding:\r\n chunked\r\n",
      "X: y\r\n Transfer-Encoding: chunked\r\n",
  }));
  Client client({.workers_ = 1, .accepts_until_close_ = true});
  INFO(lines);
  CHECK(AnswerWith(&client, kOk + lines + "\r\nabc").end_ ==
        DeliveryEnd::kIncompleteAnswer);
}

// Guards against a check of the head that depends on where the network has
// split it.
TEST_CASE("an answer that comes byte by byte is judged as in one piece") {
  constexpr std::chrono::microseconds kPause(200);
  const auto [text, end] = GENERATE(table<std::string, DeliveryEnd>({
      {"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 3\r\n\r\nabc",
       DeliveryEnd::kAnswered},
      {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nabc\r\n0\r\n\r\n",
       DeliveryEnd::kAnswered},
      {"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 9\r\n\r\nabc",
       DeliveryEnd::kIncompleteAnswer},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
       DeliveryEnd::kIncompleteAnswer},
  }));
  INFO(text);
  const TestListener target;
  Client client({.workers_ = 1, .accepts_until_close_ = true});
  client.client_->Deliver(Delivery(target.address(), 1));
  TestSocket connection = target.Accept();
  connection.ReadUntil("\r\n\r\n");
  for (const char byte : text) {
    connection.Send(std::string(1, byte));
    std::this_thread::sleep_for(kPause);
  }
  connection.Close();
  CHECK(client.Next().end_ == end);
}

// Guards against a transfer coding that is not undone, and against one that
// hides the chunks whose last one shows the end.
TEST_CASE("an answer with a transfer coding other than chunked is refused") {
  const std::string chunks = "3\r\nabc\r\n0\r\n\r\n";
  const std::string lines = GENERATE(values<std::string>({
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: \"chunked\"\r\n",
      "Transfer-Encoding: chunked;\r\n",
      "Transfer-Encoding: chunked;q=1\r\n",
      "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip\r\nContent-Length: 13\r\n",
  }));
  Client client({.workers_ = 1, .accepts_until_close_ = true});
  INFO(lines);
  CHECK(AnswerWith(&client, kOk + lines + "\r\n" + chunks).end_ ==
        DeliveryEnd::kIncompleteAnswer);
}

}  // namespace
}  // namespace gooseberrygap::transport
