#include "daemon/evacuation_orders.h"

#include <array>
#include <utility>

#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

struct OutcomeRow {
  const absl::string_view name_;
  const state::Counter counter_;
};

// In the order of OrderOutcome.
constexpr std::array<OutcomeRow, 4> kOutcomes = {{
    {"accepted", state::Counter::kEvacuationOrdersAccepted},
    {"not_certain", state::Counter::kEvacuationOrdersNotCertain},
    {"caller_left", state::Counter::kEvacuationOrdersNotSubmitted},
    {"too_late", state::Counter::kEvacuationOrdersNotSubmitted},
}};

}  // namespace

EvacuationOrders::EvacuationOrders(ControlDuty* control,
                                   OperatorGateway* gateway,
                                   state::Counters* counters)
    : control_(control), gateway_(gateway), counters_(counters) {}

EvacuationSubmission::End EvacuationOrders::CarryOut(
    const ReceivedOrder& received) {
  EvacuationSubmission submission(received.order_, received.received_at_);
  const auto situation = [this, &received] {
    return EvacuationSubmission::Situation{
        .now_ = clock_.Now(), .caller_waits_ = received.caller_waits_()};
  };
  // Steps have const members, so that the next one cannot be assigned.
  std::optional<EvacuationSubmission::Step> step(submission.Start(situation()));
  while (!std::holds_alternative<EvacuationSubmission::End>(*step)) {
    if (const auto* read = std::get_if<EvacuationSubmission::Read>(&*step)) {
      const auto evacuations = control_->ReadEvacuations(read->timeout_);
      step.emplace(submission.OnRead(evacuations, situation()));
      continue;
    }
    const auto& submit = std::get<EvacuationSubmission::Submit>(*step);
    const auto reply = gateway_->SubmitEvacuation(
        submit.order_, submit.timeout_,
        [&] { return submission.MaySubmit(situation()); });
    step.emplace(submission.OnReply(reply, situation()));
  }
  const auto end = std::get<EvacuationSubmission::End>(*step);
  Report(received, end);
  return end;
}

void EvacuationOrders::Report(const ReceivedOrder& received,
                              const EvacuationSubmission::End& end) {
  const OutcomeRow& row = kOutcomes.at(static_cast<size_t>(end.outcome_));
  const state::Millis took = clock_.Now() - received.received_at_;
  counters_->Add(row.counter_);
  Log({.level_ = end.outcome_ == OrderOutcome::kAccepted
                     ? state::LogLevel::kInfo
                     : state::LogLevel::kWarning,
       .event_ = "evacuation_order",
       .fields_ = {{"failure_domain", received.order_.failure_domain_},
                   {"order",
                    std::string(received.order_.evacuates_ ? "start" : "stop")},
                   {"outcome", std::string(row.name_)},
                   {"index", static_cast<int64_t>(end.index_)},
                   {"took_ms", took.value()}}});
}

}  // namespace gooseberrygap::daemon
