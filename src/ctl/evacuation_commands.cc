#include "absl/strings/str_cat.h"
#include "ctl/command.h"

namespace gooseberrygap::ctl {

namespace {

constexpr char kPath[] = "/-/evacuations";

// Sends an order. An order that changes nothing is acknowledged as well, so
// that a command without an answer can be repeated.
state::Result<Report> Order(const Invocation& invocation,
                            absl::string_view kind) {
  const AdminClient client = invocation.Client();
  const std::string path = absl::StrCat(kPath, "/", kind);
  const auto answer = client.Post(
      path, protocol::PrintFailureDomain(invocation.arguments_.front()));
  if (answer.has_error()) {
    return answer.error();
  }
  const auto last = protocol::ParseEvacuation(answer.value());
  if (last.has_error()) {
    return last.error();
  }
  return Report{.output_ = absl::StrCat(
                    "Accepted: '", last.value().failure_domain_, "' is ",
                    last.value().evacuated_ ? "evacuated" : "not evacuated",
                    ", by the order with index ", last.value().index_, "\n")};
}

}  // namespace

state::Result<Report> RunEvacuationStart(const Invocation& invocation) {
  return Order(invocation, "start");
}

state::Result<Report> RunEvacuationStop(const Invocation& invocation) {
  return Order(invocation, "stop");
}

state::Result<Report> RunEvacuationList(const Invocation& invocation) {
  const auto orders =
      invocation.Client().Get(kPath, &protocol::ParseEvacuations);
  if (orders.has_error()) {
    return orders.error();
  }
  std::string text;
  for (const state::EvacuationState& domain : orders.value().domains_) {
    absl::StrAppend(&text, domain.failure_domain_, "  ",
                    domain.evacuated_ ? "evacuated" : "withdrawn", "  index ",
                    domain.index_, "\n");
  }
  return Report{.output_ = text};
}

}  // namespace gooseberrygap::ctl
