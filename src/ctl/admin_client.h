#ifndef CTL_ADMIN_CLIENT_H_
#define CTL_ADMIN_CLIENT_H_

#include <string>
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include "protocol/protocol.h"

namespace gooseberrygap::ctl {

struct AdminAnswer {
  const int status_ = 0;
  const std::string body_ = {};

  friend bool operator==(const AdminAnswer&, const AdminAnswer&) = default;
};

// Sends requests to the administration endpoints of one instance, each on a new
// connection. Thread-safe.
class AdminClient {
 public:
  // `timeout` bounds the wait for the connection and for the answer.
  AdminClient(protocol::NumericAddress address, state::Millis timeout);

  // Returns the answer, whatever its status. kUnreachable means that nothing
  // was sent; kTimeout that the request may have been carried out.
  state::Result<AdminAnswer> Send(absl::string_view method,
                                  const std::string& path,
                                  const std::string& body) const;

  // Sends a GET and decodes the body of a 200 answer.
  template <class Value>
  state::Result<Value> Get(
      const std::string& path,
      state::Result<Value> (*parse)(absl::string_view)) const {
    const auto answer = Send("GET", path, "");
    if (answer.has_error()) {
      return answer.error();
    }
    if (answer.value().status_ != kOk) {
      return ErrorOf(answer.value(), path);
    }
    auto value = parse(answer.value().body_);
    if (value.has_error()) {
      return state::Error{
          .kind_ = value.error().kind_,
          .message_ = absl::StrCat(name(), path, ": ", value.error().message_)};
    }
    return value;
  }

  // Sends a POST. Returns the body of a 200 answer.
  state::Result<std::string> Post(const std::string& path,
                                  const std::string& body) const;

  // Returns the error that an answer other than 200 stands for.
  state::Error ErrorOf(const AdminAnswer& answer,
                       const std::string& path) const;

  // Returns the instance's address, for messages.
  std::string name() const;

  static constexpr int kOk = 200;

 private:
  const protocol::NumericAddress address_;
  const state::Millis timeout_;
};

}  // namespace gooseberrygap::ctl

#endif  // CTL_ADMIN_CLIENT_H_
