#include "ctl/admin_client.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace gooseberrygap::ctl {

namespace {

// Whether the failure came before any byte of the request was sent.
bool IsBeforeSending(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::BindIPAddress ||
         error == httplib::Error::ConnectionTimeout;
}

}  // namespace

AdminClient::AdminClient(protocol::NumericAddress address,
                         state::Millis timeout)
    : address_(std::move(address)), timeout_(timeout) {}

state::Result<AdminAnswer> AdminClient::Send(absl::string_view method,
                                             const std::string& path,
                                             const std::string& body) const {
  httplib::Client client(address_.host_, address_.port_);
  const auto timeout =
      std::chrono::microseconds(static_cast<int64_t>(timeout_.value() * 1000));
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  httplib::Request request;
  request.method = std::string(method);
  request.path = path;
  request.body = body;
  if (!body.empty()) {
    request.set_header("Content-Type", "application/json");
  }
  const httplib::Result result = client.send(request);
  if (result) {
    return AdminAnswer{.status_ = result->status, .body_ = result->body};
  }
  if (IsBeforeSending(result.error())) {
    return state::MakeError(
        state::ErrorKind::kUnreachable,
        absl::StrCat("Cannot connect to ", name(), " (",
                     httplib::to_string(result.error()), ")"));
  }
  return state::MakeError(
      state::ErrorKind::kTimeout,
      absl::StrCat(name(), " gave no whole answer to ", method, " ", path, " (",
                   httplib::to_string(result.error()),
                   "); the request may have been carried out"));
}

state::Result<std::string> AdminClient::Post(const std::string& path,
                                             const std::string& body) const {
  const auto answer = Send("POST", path, body);
  if (answer.has_error()) {
    return answer.error();
  }
  if (answer.value().status_ != kOk) {
    return ErrorOf(answer.value(), path);
  }
  return answer.value().body_;
}

state::Error AdminClient::ErrorOf(const AdminAnswer& answer,
                                  const std::string& path) const {
  const auto error = protocol::ParseError(answer.body_);
  if (error.has_value()) {
    return state::Error{
        .kind_ = error->kind_,
        .message_ = absl::StrCat(name(), path, ": ", error->message_)};
  }
  return state::MakeError(
      state::ErrorKind::kRefused,
      absl::StrCat(name(), path, " answered with status ", answer.status_));
}

std::string AdminClient::name() const {
  return absl::StrCat(address_.host_, ":", address_.port_);
}

}  // namespace gooseberrygap::ctl
