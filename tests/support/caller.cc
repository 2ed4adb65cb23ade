#include "support/caller.h"

#include <httplib.h>

#include <chrono>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "protocol/protocol.h"

namespace gooseberrygap::test_support {

class Caller::Connection {
 public:
  explicit Connection(const Address& address)
      : client_(address.host_, address.port_) {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_url_encode(false);
  }

  httplib::Client& client() { return client_; }

 private:
  httplib::Client client_;
};

std::string CallAnswer::Header(absl::string_view name) const {
  for (const state::HttpHeader& header : headers_) {
    if (absl::EqualsIgnoreCase(header.name_, name)) {
      return header.value_;
    }
  }
  return "";
}

std::string CallAnswer::Outcome() const {
  return Header(protocol::kOutcomeHeader);
}

Caller::Caller(const Address& address)
    : connection_(std::make_unique<Connection>(address)) {}

Caller::~Caller() = default;

CallAnswer Caller::Call(const CallRequest& request) {
  httplib::Request sent;
  sent.method = request.method_;
  sent.path = request.path_;
  sent.body = request.body_;
  for (const state::HttpHeader& header : request.headers_) {
    sent.headers.emplace(header.name_, header.value_);
  }
  httplib::Client& client = connection_->client();
  const std::chrono::microseconds timeout(
      static_cast<int64_t>(request.timeout_.value() * 1000));
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);

  const state::SteadyClock clock;
  const state::Millis start = clock.Now();
  const httplib::Result result = client.send(sent);
  const state::Millis latency = clock.Now() - start;
  if (!result) {
    return CallAnswer{.failure_ = httplib::to_string(result.error()),
                      .latency_ = latency};
  }
  std::vector<state::HttpHeader> headers;
  for (const auto& [name, value] : result->headers) {
    headers.push_back({.name_ = name, .value_ = value});
  }
  return CallAnswer{.status_ = result->status,
                    .headers_ = std::move(headers),
                    .body_ = result->body,
                    .latency_ = latency};
}

CallAnswer CallOnce(const Address& address, const CallRequest& request) {
  return Caller(address).Call(request);
}

std::string ExpectedEcho(absl::string_view method,
                         absl::string_view path,
                         absl::string_view body) {
  return absl::StrCat(method, " ", path, "\n", body);
}

}  // namespace gooseberrygap::test_support
