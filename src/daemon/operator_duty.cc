#include "daemon/operator_duty.h"

#include <utility>

#include "daemon/change_base.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::SubmitStatus;
using protocol::SubmissionOutcome;

constexpr int kThreads = 4;
constexpr size_t kRingCapacity = 64;
constexpr state::Millis kIdleWait(3600000);
// Below the second after which an operator without an answer retries at another
// instance.
constexpr state::Millis kReadTimeout(700);

}  // namespace

OperatorDuty::OperatorDuty(const protocol::FrontDialect* dialect,
                           ControlDuty* control,
                           OperatorGateway* gateway,
                           EvacuationOrders* evacuations)
    : dialect_(dialect),
      control_(control),
      gateway_(gateway),
      evacuations_(evacuations),
      ring_(kRingCapacity) {
  for (int i = 0; i < kThreads; ++i) {
    threads_.push_back(
        std::make_unique<transport::DutyThread>("operator", [this] { Run(); }));
  }
}

OperatorDuty::~OperatorDuty() {
  ring_.Close();
  threads_.clear();
}

bool OperatorDuty::Post(OperatorRequest request, AnswerHandler handler) {
  return ring_.TryPush(
      Item{.request_ = std::move(request), .handler_ = std::move(handler)});
}

void OperatorDuty::Run() {
  while (true) {
    const std::optional<Item> item = ring_.Pop(kIdleWait);
    if (item.has_value()) {
      item->handler_(
          std::visit([this](const auto& request) { return Handle(request); },
                     item->request_));
    } else if (ring_.closed()) {
      return;
    }
  }
}

state::HttpAnswer OperatorDuty::Handle(const protocol::ReadConfiguration&) {
  const auto newest = control_->ReadConfiguration(kReadTimeout);
  return dialect_->PrintConfiguration(
      newest.has_value() ? newest->configuration_.get() : nullptr);
}

state::HttpAnswer OperatorDuty::Handle(
    const protocol::ReplaceConfiguration& request) {
  const auto checked = state::CheckConfiguration(request.configuration_);
  if (!checked) {
    return dialect_->PrintSubmissionOutcome(SubmissionOutcome::kInvalid,
                                            checked.error().message_);
  }
  return Submit(state::SubmittedConfiguration{
      .submission_ = request.submission_,
      .base_version_ = request.base_version_,
      .configuration_ = std::make_shared<const state::Configuration>(
          request.configuration_)});
}

state::HttpAnswer OperatorDuty::Handle(
    const protocol::ChangeConfiguration& request) {
  const auto newest = control_->ReadConfiguration(kReadTimeout);
  if (!newest.has_value()) {
    return dialect_->PrintSubmissionOutcome(SubmissionOutcome::kNotCertain,
                                            "No quorum has answered in time.");
  }
  const uint64_t current =
      newest->configuration_ == nullptr ? 0 : newest->configuration_->version_;
  const ChangeBase base = CompareBase(request.base_version_, current);
  if (base == ChangeBase::kUnknown) {
    return dialect_->PrintSubmissionOutcome(
        SubmissionOutcome::kConflict,
        "Version " + std::to_string(current) + " is in force; build on it.");
  }
  if (base == ChangeBase::kOutdated) {
    // The change may have been accepted earlier, which only the log shows. It
    // cannot be accepted now, since its base version is no longer in force.
    return Submit(state::SubmittedConfiguration{
        .submission_ = request.submission_,
        .base_version_ = request.base_version_,
        .configuration_ = std::make_shared<const state::Configuration>(
            state::ApplyChange(state::Configuration(), request.change_))});
  }
  const state::Configuration changed =
      newest->configuration_ == nullptr
          ? state::ApplyChange(state::Configuration(), request.change_)
          : state::ApplyChange(*newest->configuration_, request.change_);
  return Handle(
      protocol::ReplaceConfiguration{.submission_ = request.submission_,
                                     .base_version_ = request.base_version_,
                                     .configuration_ = changed});
}

state::HttpAnswer OperatorDuty::Handle(const ReceivedOrder& request) {
  const EvacuationSubmission::End end = evacuations_->CarryOut(request);
  return end.outcome_ == OrderOutcome::kAccepted
             ? dialect_->PrintSubmissionOutcome(SubmissionOutcome::kAccepted,
                                                "")
             : dialect_->PrintSubmissionOutcome(
                   SubmissionOutcome::kNotCertain,
                   "No quorum has answered in time.");
}

state::HttpAnswer OperatorDuty::Submit(
    const state::SubmittedConfiguration& submitted) {
  const coordination::ConfigSubmitReply reply = gateway_->Submit(submitted);
  switch (reply.status_) {
    case SubmitStatus::kAccepted:
      return dialect_->PrintSubmissionOutcome(SubmissionOutcome::kAccepted, "");
    case SubmitStatus::kConflict:
    case SubmitStatus::kWrongVersion:
      return dialect_->PrintSubmissionOutcome(
          SubmissionOutcome::kConflict,
          "Version " + std::to_string(reply.current_version_) +
              " is in force; build on it.");
    default:
      return dialect_->PrintSubmissionOutcome(
          SubmissionOutcome::kNotCertain, "No quorum has answered in time.");
  }
}

}  // namespace gooseberrygap::daemon
