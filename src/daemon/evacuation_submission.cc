#include "daemon/evacuation_submission.h"

#include <algorithm>
#include <utility>

namespace gooseberrygap::daemon {

namespace {

using coordination::EvacuationStatus;

// Timeout of the first read, doubled for each further one: short enough to
// notice a new leader soon, and in the end long enough for a slow quorum.
constexpr state::Millis kFirstReadTimeout(250);

}  // namespace

EvacuationSubmission::EvacuationSubmission(protocol::OrderEvacuation order,
                                           state::Millis received_at)
    : order_(std::move(order)),
      end_(received_at + kTimeLimit),
      read_timeout_(kFirstReadTimeout) {}

EvacuationSubmission::Step EvacuationSubmission::Start(
    const Situation& situation) {
  return ReadAgain(situation);
}

EvacuationSubmission::Step EvacuationSubmission::OnRead(
    const std::optional<state::Evacuations>& evacuations,
    const Situation& situation) {
  if (!evacuations.has_value()) {
    read_timeout_ = read_timeout_ * 2;
    return ReadAgain(situation);
  }
  const state::EvacuationState last =
      state::FindEvacuation(*evacuations, order_.failure_domain_);
  if (!MaySubmit(situation)) {
    return GiveUp(situation);
  }
  is_submitted_ = true;
  return Submit{
      .order_ =
          state::EvacuationOrder{.failure_domain_ = order_.failure_domain_,
                                 .evacuates_ = order_.evacuates_,
                                 .known_index_ = last.index_},
      .timeout_ = TimeLeft(situation)};
}

EvacuationSubmission::Step EvacuationSubmission::OnReply(
    const coordination::EvacuationReply& reply,
    const Situation& situation) {
  if (reply.status_ == EvacuationStatus::kAccepted) {
    return End{.outcome_ = OrderOutcome::kAccepted, .index_ = reply.index_};
  }
  return ReadAgain(situation);
}

bool EvacuationSubmission::MaySubmit(const Situation& situation) const {
  return situation.caller_waits_ && situation.now_ < end_;
}

EvacuationSubmission::Step EvacuationSubmission::ReadAgain(
    const Situation& situation) {
  if (!MaySubmit(situation)) {
    return GiveUp(situation);
  }
  return Read{.timeout_ = std::min(read_timeout_, TimeLeft(situation))};
}

EvacuationSubmission::End EvacuationSubmission::GiveUp(
    const Situation& situation) const {
  if (is_submitted_) {
    return End{.outcome_ = OrderOutcome::kNotCertain};
  }
  return End{.outcome_ = situation.caller_waits_ ? OrderOutcome::kTooLate
                                                 : OrderOutcome::kCallerLeft};
}

state::Millis EvacuationSubmission::TimeLeft(const Situation& situation) const {
  return end_ - situation.now_;
}

}  // namespace gooseberrygap::daemon
