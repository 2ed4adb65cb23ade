#include "daemon/http_answers.h"
#include "daemon/http_front.h"

namespace gooseberrygap::daemon {

namespace {

using state::HttpAnswer;
using state::HttpRequest;

// Longest wait for a quorum that confirms a read, and of one try: a read that
// is lost with its leader gets no answer.
constexpr state::Millis kReadTime(4000);
constexpr state::Millis kReadTimeout(500);

HttpAnswer NoControlRole() {
  return ErrorAnswer(404, state::ErrorKind::kNotFound,
                     "This daemon has no control role; send the request to a "
                     "control instance");
}

}  // namespace

HttpAnswer HttpFront::FormGroup(const HttpRequest& request) {
  const auto members = protocol::ParseMembers(request.body_.view());
  if (!members) {
    return ErrorAnswer(400, members.error());
  }
  if (control_ == nullptr) {
    return NoControlRole();
  }
  const auto formed = control_->Form(members.value());
  return formed ? Json(200, "{}") : ErrorAnswer(409, formed.error());
}

HttpAnswer HttpFront::AddMember(const HttpRequest& request) {
  const auto member = protocol::ParseMember(request.body_.view());
  if (!member) {
    return ErrorAnswer(400, member.error());
  }
  if (control_ == nullptr) {
    return NoControlRole();
  }
  const auto added = control_->AddMember(member.value());
  return added ? Json(200, "{}") : ErrorAnswer(409, added.error());
}

HttpAnswer HttpFront::RemoveMember(const HttpRequest& request) {
  const auto identity = protocol::ParseIdentity(request.body_.view());
  if (!identity) {
    return ErrorAnswer(400, identity.error());
  }
  if (control_ == nullptr) {
    return NoControlRole();
  }
  const auto removed = control_->RemoveMember(identity.value());
  return removed ? Json(200, "{}") : ErrorAnswer(409, removed.error());
}

HttpAnswer HttpFront::ShowControlStatus(const HttpRequest&) {
  if (control_ == nullptr) {
    return NoControlRole();
  }
  const auto status = control_->Status();
  if (!status.has_value()) {
    return ErrorAnswer(503, state::ErrorKind::kTimeout,
                       "The control duty did not answer in time; try again");
  }
  return Json(200, protocol::PrintControlStatus(*status));
}

HttpAnswer HttpFront::ShowEvacuations(const HttpRequest&) {
  if (control_ == nullptr) {
    return NoControlRole();
  }
  const state::SteadyClock clock;
  const state::Millis end = clock.Now() + kReadTime;
  while (clock.Now() < end) {
    const auto evacuations = control_->ReadEvacuations(kReadTimeout);
    if (evacuations.has_value()) {
      return Json(200, protocol::PrintEvacuations(*evacuations));
    }
  }
  return ErrorAnswer(503, state::ErrorKind::kNoQuorum,
                     "No quorum has confirmed the orders in time; try again");
}

HttpAnswer HttpFront::StartEvacuation(const HttpRequest& request,
                                      const transport::HttpCaller& caller) {
  return OrderEvacuation(request, caller, true);
}

HttpAnswer HttpFront::StopEvacuation(const HttpRequest& request,
                                     const transport::HttpCaller& caller) {
  return OrderEvacuation(request, caller, false);
}

HttpAnswer HttpFront::OrderEvacuation(const HttpRequest& request,
                                      const transport::HttpCaller& caller,
                                      bool evacuates) {
  const auto failure_domain =
      protocol::ParseFailureDomain(request.body_.view());
  if (!failure_domain) {
    return ErrorAnswer(400, failure_domain.error());
  }
  if (evacuations_ == nullptr) {
    return NoControlRole();
  }
  const state::SteadyClock clock;
  const EvacuationSubmission::End end = evacuations_->CarryOut(
      {.order_ = {.failure_domain_ = failure_domain.value(),
                  .evacuates_ = evacuates},
       .received_at_ = clock.Now(),
       .caller_waits_ = [&caller] { return caller.IsConnected(); }});
  if (end.outcome_ != OrderOutcome::kAccepted) {
    return ErrorAnswer(503, state::ErrorKind::kNoQuorum,
                       "Whether the order has been accepted is not certain; "
                       "repeat it");
  }
  return Json(
      200, protocol::PrintEvacuation({.failure_domain_ = failure_domain.value(),
                                      .evacuated_ = evacuates,
                                      .index_ = end.index_}));
}

HttpAnswer HttpFront::ShowQuotas(const HttpRequest&) {
  if (control_ == nullptr) {
    return NoControlRole();
  }
  const auto quotas = control_->Quotas();
  if (!quotas.has_value()) {
    return ErrorAnswer(503, state::ErrorKind::kTimeout,
                       "The control duty did not answer in time; try again");
  }
  return Json(200, protocol::PrintQuotas(*quotas));
}

}  // namespace gooseberrygap::daemon
