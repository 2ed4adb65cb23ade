#include "daemon/http_front.h"

#include <algorithm>
#include <array>
#include <optional>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "daemon/http_answers.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::CallAnswer;
using coordination::Outcome;
using state::HttpAnswer;
using state::HttpHeader;
using state::HttpRequest;
using state::RefusalReason;

constexpr absl::string_view kAdminPrefix = "/-/";
// The worker waits this much longer than the time limit of the call, so that
// the node itself answers a call whose deadline has passed.
constexpr state::Millis kAnswerGrace(1000);
constexpr state::Millis kMaxCallTime(61 * 1000);

// A parsed document takes many times its bytes. Documents from this size on are
// handled one at a time, so that together they take no more than one.
constexpr size_t kLargeDocumentBytes = 65536;

struct StatusRow {
  const RefusalReason reason_;
  const int status_;
};

// Reasons that are not listed are answered with 503.
constexpr std::array<StatusRow, 11> kStatusRows = {{
    {RefusalReason::kUnknownKey, 401},
    {RefusalReason::kBadRequest, 400},
    {RefusalReason::kKeyMissing, 400},
    {RefusalReason::kTooDeep, 400},
    {RefusalReason::kNoService, 404},
    {RefusalReason::kNoRule, 404},
    {RefusalReason::kKeyReused, 409},
    {RefusalReason::kAnswerTooLarge, 410},
    {RefusalReason::kPoisoned, 422},
    {RefusalReason::kDeadline, 504},
    {RefusalReason::kTargetTimeout, 504},
}};

// Returns whether the caller receives the target's answer.
bool HasTargetAnswer(const CallAnswer& answer) {
  return answer.outcome_ == Outcome::kComplete &&
         answer.reason_ == RefusalReason::kNone;
}

int StatusOf(const CallAnswer& answer) {
  if (HasTargetAnswer(answer)) {
    return answer.answer_.status_;
  }
  for (const StatusRow& row : kStatusRows) {
    if (row.reason_ == answer.reason_) {
      return row.status_;
    }
  }
  constexpr int kUnavailable = 503;
  constexpr int kBadGateway = 502;
  return answer.outcome_ == Outcome::kUnknown ? kBadGateway : kUnavailable;
}

absl::string_view NameOf(Outcome outcome) {
  constexpr std::array<absl::string_view, 3> kNames = {"complete", "not-run",
                                                       "unknown"};
  return kNames.at(static_cast<size_t>(outcome));
}

// Returns whether a header is forwarded: all are, except those that concern the
// connection to this daemon and those that the daemon sets.
bool IsForwarded(absl::string_view name) {
  constexpr std::array<absl::string_view, 10> kNotForwarded = {
      "Connection",          "Keep-Alive", "Host",
      "Content-Length",      "Upgrade",    "Transfer-Encoding",
      "Proxy-Connection",    "TE",         protocol::kDeadlineHeader,
      protocol::kDepthHeader};
  return std::none_of(kNotForwarded.begin(), kNotForwarded.end(),
                      [name](absl::string_view other) {
                        return absl::EqualsIgnoreCase(name, other);
                      });
}

std::vector<HttpHeader> ForwardedHeaders(
    const std::vector<HttpHeader>& headers) {
  std::vector<HttpHeader> forwarded;
  for (const HttpHeader& header : headers) {
    if (IsForwarded(header.name_)) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

HttpAnswer ToHttpAnswer(const CallAnswer& answer) {
  std::vector<HttpHeader> headers = ForwardedHeaders(answer.answer_.headers_);
  const auto add = [&headers](absl::string_view name, absl::string_view value) {
    if (!value.empty()) {
      headers.push_back(
          HttpHeader{.name_ = std::string(name), .value_ = std::string(value)});
    }
  };
  add(protocol::kOutcomeHeader, NameOf(answer.outcome_));
  add(protocol::kRequestIdHeader, answer.request_id_);
  add(protocol::kTargetHeader, answer.target_);
  if (HasTargetAnswer(answer)) {
    return HttpAnswer{.status_ = answer.answer_.status_,
                      .headers_ = headers,
                      .body_ = answer.answer_.body_};
  }
  const absl::string_view reason = state::NameOf(answer.reason_);
  add(protocol::kReasonHeader, reason);
  add("Content-Type", "text/plain");
  return HttpAnswer{.status_ = StatusOf(answer),
                    .headers_ = headers,
                    .body_ = state::Bytes(absl::StrCat(NameOf(answer.outcome_),
                                                       ": ", reason, "\n"))};
}

int StatusOf(coordination::SubmitStatus status) {
  switch (status) {
    case coordination::SubmitStatus::kAccepted:
      return 200;
    case coordination::SubmitStatus::kConflict:
    case coordination::SubmitStatus::kWrongVersion:
      return 409;
    default:
      return 503;
  }
}

}  // namespace

const HttpFront::AdminRow HttpFront::kAdminRows[] = {
    {"POST", "/-/announce", &HttpFront::Announce},
    {"POST", "/-/withdraw", &HttpFront::Withdraw},
    {"POST", "/-/drain", &HttpFront::Drain},
    {"GET", "/-/targets", &HttpFront::ShowTargets},
    {"GET", "/-/counters", &HttpFront::ShowCounters},
    {"GET", "/-/metrics", &HttpFront::ShowMetrics},
    {"GET", "/-/status", &HttpFront::ShowStatus},
    {"GET", "/-/config", &HttpFront::ShowConfiguration},
    {"PUT", "/-/config", &HttpFront::SubmitConfiguration},
    {"POST", "/-/control/form", &HttpFront::FormGroup},
    {"POST", "/-/control/add", &HttpFront::AddMember},
    {"POST", "/-/control/remove", &HttpFront::RemoveMember},
    {"GET", "/-/control/status", &HttpFront::ShowControlStatus},
    {"GET", "/-/evacuations", &HttpFront::ShowEvacuations},
    {"POST", "/-/evacuations/start", nullptr, &HttpFront::StartEvacuation},
    {"POST", "/-/evacuations/stop", nullptr, &HttpFront::StopEvacuation},
    {"GET", "/-/quota", &HttpFront::ShowQuotas},
};

HttpFront::HttpFront(NodeDuty* node,
                     CallSlots* slots,
                     OperatorGateway* gateway,
                     ControlDuty* control,
                     EvacuationOrders* evacuations,
                     state::Counters* counters)
    : node_(node),
      slots_(slots),
      gateway_(gateway),
      control_(control),
      evacuations_(evacuations),
      counters_(counters) {}

HttpAnswer HttpFront::Handle(const HttpRequest& request,
                             const transport::HttpCaller& caller) {
  return absl::StartsWith(request.path_, kAdminPrefix)
             ? HandleAdmin(request, caller)
             : HandleCall(request);
}

HttpAnswer HttpFront::HandleCall(const HttpRequest& request) {
  const absl::string_view path = absl::StripPrefix(request.path_, "/");
  const size_t service_end = std::min(path.find('/'), path.size());
  const auto opened = slots_->Open();
  std::optional<state::Millis> deadline_left;
  bool is_valid = true;
  if (const auto text =
          state::FindHeader(request.headers_, protocol::kDeadlineHeader)) {
    double value = 0;
    is_valid = absl::SimpleAtod(*text, &value) && value >= 0;
    deadline_left.emplace(value);
  }
  uint32_t depth = 0;
  if (const auto text =
          state::FindHeader(request.headers_, protocol::kDepthHeader)) {
    is_valid = is_valid && absl::SimpleAtoi(*text, &depth);
  }
  if (!is_valid) {
    slots_->Close(opened.id_);
    counters_->Add(RefusalReason::kBadRequest);
    return ToHttpAnswer(CallAnswer{.reason_ = RefusalReason::kBadRequest});
  }
  const bool accepted = node_->Post(coordination::CallReceived{
      .call_id_ = opened.id_,
      .service_ = std::string(path.substr(0, service_end)),
      .request_ = HttpRequest{.method_ = request.method_,
                              .path_ = absl::StrCat(
                                  "/", absl::StripPrefix(
                                           path.substr(service_end), "/")),
                              .headers_ = ForwardedHeaders(request.headers_),
                              .body_ = request.body_},
      .idempotency_key_ =
          state::FindHeader(request.headers_, protocol::kIdempotencyKeyHeader)
              .value_or(""),
      .deadline_left_ = deadline_left,
      .depth_ = depth});
  if (!accepted) {
    slots_->Close(opened.id_);
    counters_->Add(RefusalReason::kInternalQueueFull);
    return ToHttpAnswer(
        CallAnswer{.reason_ = RefusalReason::kInternalQueueFull});
  }
  const state::Millis longest =
      std::min(deadline_left.value_or(kMaxCallTime), kMaxCallTime);
  const auto answer = opened.slot_->Wait(longest + kAnswerGrace);
  slots_->Close(opened.id_);
  if (!answer.has_value()) {
    return ToHttpAnswer(CallAnswer{.outcome_ = Outcome::kUnknown,
                                   .reason_ = RefusalReason::kDeadline});
  }
  return ToHttpAnswer(*answer);
}

HttpAnswer HttpFront::HandleAdmin(const HttpRequest& request,
                                  const transport::HttpCaller& caller) {
  const std::string path = request.path_.substr(0, request.path_.find('?'));
  bool path_exists = false;
  for (const AdminRow& row : kAdminRows) {
    if (row.path_ != path) {
      continue;
    }
    path_exists = true;
    if (row.method_ == request.method_) {
      return request.body_.size() > kLargeDocumentBytes
                 ? HandleLarge(row, request, caller)
                 : RunRow(row, request, caller);
    }
  }
  constexpr int kNotFound = 404;
  constexpr int kMethodNotAllowed = 405;
  return ErrorAnswer(path_exists ? kMethodNotAllowed : kNotFound,
                     state::ErrorKind::kInvalidRequest,
                     absl::StrCat("There is no ", request.method_, " ", path));
}

HttpAnswer HttpFront::HandleLarge(const AdminRow& row,
                                  const HttpRequest& request,
                                  const transport::HttpCaller& caller) {
  // A worker does not wait for another one: small requests need it.
  const std::unique_lock turn(large_document_, std::try_to_lock);
  if (!turn.owns_lock()) {
    counters_->Add(RefusalReason::kMemoryPressure);
    return ErrorAnswer(503, state::ErrorKind::kNoResources,
                       "Another large document is being handled; try again");
  }
  return RunRow(row, request, caller);
}

HttpAnswer HttpFront::RunRow(const AdminRow& row,
                             const HttpRequest& request,
                             const transport::HttpCaller& caller) {
  return row.handler_ != nullptr ? (this->*row.handler_)(request)
                                 : (this->*row.order_handler_)(request, caller);
}

HttpAnswer HttpFront::Post(coordination::NodeEvent event) {
  if (!node_->Post(std::move(event))) {
    return ErrorAnswer(503, state::ErrorKind::kTimeout,
                       "The ring of the node duty is full; try again");
  }
  return Json(200, "{}");
}

HttpAnswer HttpFront::AnswerFromView(
    const std::function<std::string(const NodeView&)>& print) {
  const std::optional<NodeView> view = node_->View();
  if (!view.has_value()) {
    return ErrorAnswer(503, state::ErrorKind::kTimeout,
                       "The node duty did not answer in time; try again");
  }
  return Json(200, print(*view));
}

HttpAnswer HttpFront::Announce(const HttpRequest& request) {
  const auto announced = protocol::ParseAnnouncement(request.body_.view());
  if (!announced) {
    counters_->Add(state::Counter::kAnnouncementsRefused);
    return ErrorAnswer(400, announced.error());
  }
  if (!node_->Announce(announced.value())) {
    return ErrorAnswer(503, state::ErrorKind::kTimeout,
                       "The announcement is not acknowledged; try again");
  }
  return Json(200, "{}");
}

HttpAnswer HttpFront::Withdraw(const HttpRequest&) {
  return Post(coordination::TargetWithdrawn{});
}

HttpAnswer HttpFront::Drain(const HttpRequest&) {
  return Post(coordination::DrainRequested{});
}

HttpAnswer HttpFront::ShowTargets(const HttpRequest&) {
  return AnswerFromView([](const NodeView& view) {
    return protocol::PrintTargets(view.targets_);
  });
}

HttpAnswer HttpFront::ShowCounters(const HttpRequest&) {
  return Json(200, protocol::PrintCounters(counters_->Samples()));
}

HttpAnswer HttpFront::ShowMetrics(const HttpRequest&) {
  return HttpAnswer{
      .status_ = 200,
      .headers_ = {HttpHeader{.name_ = "Content-Type",
                              .value_ = "text/plain; version=0.0.4"}},
      .body_ = state::Bytes(absl::StrCat(
          protocol::PrintMetrics(counters_->Samples()),
          protocol::PrintGauges(counters_->gauges().Samples()),
          protocol::PrintHistograms(counters_->histograms().Samples())))};
}

HttpAnswer HttpFront::ShowStatus(const HttpRequest&) {
  return AnswerFromView([](const NodeView& view) {
    return protocol::PrintNodeStatus(view.status_);
  });
}

HttpAnswer HttpFront::ShowConfiguration(const HttpRequest&) {
  return AnswerFromView([](const NodeView& view) {
    return protocol::PrintIndexedConfiguration(view.configuration_);
  });
}

HttpAnswer HttpFront::SubmitConfiguration(const HttpRequest& request) {
  const auto submission = protocol::ParseConfigSubmission(request.body_.view());
  if (!submission) {
    return ErrorAnswer(400, submission.error());
  }
  const auto checked = state::CheckSize(submission.value().configuration_);
  if (!checked) {
    return ErrorAnswer(400, checked.error());
  }
  const coordination::ConfigSubmitReply reply =
      gateway_->Submit(state::SubmittedConfiguration{
          .submission_ = submission.value().submission_,
          .configuration_ = std::make_shared<const state::Configuration>(
              submission.value().configuration_)});
  return Json(StatusOf(reply.status_), protocol::PrintSubmitReply(reply));
}

}  // namespace gooseberrygap::daemon
