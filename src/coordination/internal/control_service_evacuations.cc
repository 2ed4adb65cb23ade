#include <utility>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const EvacuationSubmit& submit,
                                     state::Millis now) {
  const Caller caller{.connection_ = connection, .call_id_ = submit.call_id_};
  if (!LeadsWithQuorum()) {
    RefuseEvacuation(caller);
    return;
  }
  Propose(
      submit.order_,
      PendingProposal{.kind_ = ProposalKind::kEvacuation, .caller_ = caller},
      now);
}

void ControlService::Impl::RefuseEvacuation(const Caller& caller) {
  const bool formed = status_.has_value() && status_->formed_;
  const bool other_leads =
      formed && !status_->leads_ && !status_->leader_address_.empty();
  EvacuationReply reply{.call_id_ = caller.call_id_,
                        .status_ = !formed       ? EvacuationStatus::kNotFormed
                                   : other_leads ? EvacuationStatus::kNotLeader
                                                 : EvacuationStatus::kNoQuorum,
                        .leader_address_ = other_leads
                                               ? status_->leader_address_
                                               : std::string()};
  step_.commands_.push_back(ReplyToPeer{.connection_ = caller.connection_,
                                        .message_ = std::move(reply)});
}

void ControlService::Impl::UpdateEvacuationGauge() {
  const uint64_t index = evacuations_.Snapshot().index_;
  counters_->gauges().Set(state::Gauge::kEvacuationOrderIndex,
                          static_cast<double>(index));
}

void ControlService::Impl::Apply(const state::EvacuationOrder& change,
                                 const EntryCommitted& entry,
                                 state::Millis now) {
  const bool is_accepted = evacuations_.Apply(entry.index_, change);
  if (is_accepted) {
    push_all_ = true;
    SchedulePush(now);
    UpdateEvacuationGauge();
  }
  const std::optional<PendingProposal> pending = TakePending(*entry.command_);
  if (!pending.has_value()) {
    return;
  }
  const state::EvacuationState last =
      FindEvacuation(evacuations_.Snapshot(), change.failure_domain_);
  step_.commands_.push_back(ReplyToPeer{
      .connection_ = pending->caller_.connection_,
      .message_ =
          EvacuationReply{.call_id_ = pending->caller_.call_id_,
                          .status_ = is_accepted ? EvacuationStatus::kAccepted
                                                 : EvacuationStatus::kConflict,
                          .index_ = last.index_}});
}

}  // namespace gooseberrygap::coordination
