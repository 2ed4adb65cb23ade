#ifndef SUPPORT_CALLER_H_
#define SUPPORT_CALLER_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "state/state.h"
#include "support/address.h"

namespace gooseberrygap::test_support {

struct CallRequest {
  const std::string method_ = "GET";
  const std::string path_ = {};  // "/{service}/{path}", already escaped.
  const std::vector<state::HttpHeader> headers_ = {};
  const std::string body_ = {};
  const state::Millis timeout_ = state::Millis(10000);

  friend bool operator==(const CallRequest&, const CallRequest&) = default;
};

struct CallAnswer {
  // 0 when no whole answer came; `failure_` then tells why.
  const int status_ = 0;
  const std::string failure_ = {};
  const std::vector<state::HttpHeader> headers_ = {};
  const std::string body_ = {};
  const state::Millis latency_ = {};

  // Returns the header's value, or an empty string. Thread-safe.
  std::string Header(absl::string_view name) const;
  // Returns "complete", "not-run", "unknown" or an empty string. Thread-safe.
  std::string Outcome() const;
};

// A caller with one kept connection. Never repeats a request by itself. Not
// thread-safe.
class Caller {
 public:
  explicit Caller(const Address& address);
  ~Caller();

  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  CallAnswer Call(const CallRequest& request);

 private:
  class Connection;

  const std::unique_ptr<Connection> connection_;
};

// Makes one call on a connection of its own. Thread-safe.
CallAnswer CallOnce(const Address& address, const CallRequest& request);

// Returns the body of a stand-in target's answer. Thread-safe.
std::string ExpectedEcho(absl::string_view method,
                         absl::string_view path,
                         absl::string_view body);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_CALLER_H_
