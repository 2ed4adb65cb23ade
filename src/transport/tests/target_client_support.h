#ifndef TRANSPORT_TESTS_TARGET_CLIENT_SUPPORT_H_
#define TRANSPORT_TESTS_TARGET_CLIENT_SUPPORT_H_

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "transport/tests/support.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

inline constexpr state::Millis kTimeout(10000);
inline constexpr char kEmptyAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

inline coordination::DeliverToTarget Delivery(
    const std::string& address,
    uint64_t id,
    state::HttpRequest request = {.method_ = "GET", .path_ = "/a%20b?c=%41"},
    state::Millis timeout = kTimeout) {
  return {.delivery_id_ = id,
          .address_ = address,
          .request_ = std::move(request),
          .timeout_ = timeout};
}

// A client with one worker, so that its connection is the one a test expects.
class Client {
 public:
  explicit Client(const TargetClient::Options& options = {.workers_ = 1})
      : client_(TargetClient::Start(
            options,
            [this](DeliveryEnded result) {
              results_.TryPush(std::move(result));
            },
            &counters_)) {}

  DeliveryEnded Next() {
    std::optional<DeliveryEnded> result = results_.Pop(kHang);
    REQUIRE(result);
    return std::move(*result);
  }

  state::Counters counters_;
  Ring<DeliveryEnded> results_{64};
  std::unique_ptr<TargetClient> client_;
};

enum class ConnectionEnd { kClose, kReset };

// Delivers one request and lets the target answer with these bytes and end the
// connection.
inline DeliveryEnded AnswerWith(Client* client,
                                const std::string& answer,
                                const std::string& method = "GET",
                                ConnectionEnd end = ConnectionEnd::kClose) {
  const TestListener target;
  REQUIRE(client->client_->Deliver(
      Delivery(target.address(), 1, {.method_ = method, .path_ = "/"})));
  TestSocket connection = target.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Send(answer);
  end == ConnectionEnd::kReset ? connection.Abort() : connection.Close();
  return client->Next();
}

inline std::optional<std::string> HeaderOf(const state::HttpAnswer& answer,
                                           const std::string& name) {
  for (const state::HttpHeader& header : answer.headers_) {
    if (header.name_ == name) {
      return header.value_;
    }
  }
  return std::nullopt;
}

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_TESTS_TARGET_CLIENT_SUPPORT_H_
