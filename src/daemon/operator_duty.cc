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
// Memory of the documents in progress at an instance: one of the largest legal
// size, or a dozen of 4,200 routes. Five instances can send as much to the
// leader at once.
constexpr size_t kMaxBytesInProgress = state::kMaxConfigurationBytes;
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
  const size_t bytes = BytesOf(request);
  if (!TryReserve(bytes)) {
    return false;
  }
  const bool posted = ring_.TryPush(Item{.request_ = std::move(request),
                                         .handler_ = std::move(handler),
                                         .bytes_ = bytes});
  if (!posted) {
    bytes_in_progress_ -= bytes;
  }
  return posted;
}

size_t OperatorDuty::BytesOf(const OperatorRequest& request) const {
  if (const auto* replace =
          std::get_if<protocol::ReplaceConfiguration>(&request)) {
    return state::SizeOf(*replace->configuration_);
  }
  if (const auto* change =
          std::get_if<protocol::ChangeConfiguration>(&request)) {
    return state::SizeOf(*change->change_) + newest_bytes_;
  }
  return 0;
}

bool OperatorDuty::TryReserve(size_t bytes) {
  size_t before = bytes_in_progress_;
  do {
    // A request alone always fits.
    if (before > 0 && before + bytes > kMaxBytesInProgress) {
      return false;
    }
  } while (!bytes_in_progress_.compare_exchange_weak(before, before + bytes));
  return true;
}

void OperatorDuty::Run() {
  while (true) {
    const std::optional<Item> item = ring_.Pop(kIdleWait);
    if (item.has_value()) {
      item->handler_(
          std::visit([this](const auto& request) { return Handle(request); },
                     item->request_));
      bytes_in_progress_ -= item->bytes_;
    } else if (ring_.closed()) {
      return;
    }
  }
}

state::HttpAnswer OperatorDuty::Handle(const protocol::ReadConfiguration&) {
  const auto newest = control_->ReadConfiguration(kReadTimeout);
  const std::lock_guard<std::mutex> lock(print_mutex_);
  return dialect_->PrintConfiguration(
      newest.has_value() ? newest->configuration_.get() : nullptr);
}

state::HttpAnswer OperatorDuty::Handle(
    const protocol::ReplaceConfiguration& request) {
  return CheckAndSubmit(
      state::SubmittedConfiguration{.submission_ = request.submission_,
                                    .base_version_ = request.base_version_,
                                    .configuration_ = request.configuration_});
}

state::HttpAnswer OperatorDuty::Handle(
    const protocol::ChangeConfiguration& request) {
  const auto newest = control_->ReadConfiguration(kReadTimeout);
  if (!newest.has_value()) {
    return dialect_->PrintSubmissionOutcome(SubmissionOutcome::kNotCertain,
                                            "No quorum has answered in time.");
  }
  const state::Configuration empty;
  const state::Configuration& current =
      newest->configuration_ == nullptr ? empty : *newest->configuration_;
  newest_bytes_ = state::SizeOf(current);
  const ChangeBase base = CompareBase(request.base_version_, current.version_);
  if (base == ChangeBase::kUnknown) {
    return dialect_->PrintSubmissionOutcome(
        SubmissionOutcome::kConflict, "Version " +
                                          std::to_string(current.version_) +
                                          " is in force; build on it.");
  }
  // An outdated change may have been accepted earlier, which only the log
  // shows. It cannot be accepted now, since its base version is no longer in
  // force.
  const bool is_outdated = base == ChangeBase::kOutdated;
  const state::SubmittedConfiguration submitted{
      .submission_ = request.submission_,
      .base_version_ = request.base_version_,
      .configuration_ = std::make_shared<const state::Configuration>(
          state::ApplyChange(is_outdated ? empty : current, *request.change_))};
  return is_outdated ? Submit(submitted) : CheckAndSubmit(submitted);
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

state::HttpAnswer OperatorDuty::CheckAndSubmit(
    const state::SubmittedConfiguration& submitted) {
  const auto checked = state::CheckConfiguration(*submitted.configuration_);
  if (!checked) {
    return dialect_->PrintSubmissionOutcome(SubmissionOutcome::kInvalid,
                                            checked.error().message_);
  }
  return Submit(submitted);
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
