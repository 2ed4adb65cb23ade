#include "daemon/control_duty.h"

#include "daemon/control_results.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::RaftEvent;

constexpr state::Millis kStatusTimeout(2000);
constexpr state::Millis kChangeTimeout(5000);
constexpr state::Millis kFormTimeout(200);
// Set in the tags of membership changes, to distinguish them from the tags of
// the control service's proposals.
constexpr uint64_t kChangeTagBit = uint64_t{1} << 63;

}  // namespace

state::Result<void> ControlDuty::Form(
    const std::vector<state::ControlMember>& members) {
  const auto opened = change_slots_.Open();
  ring_.TryPush(Item(RaftEvent(coordination::RaftForm{
      .tag_ = opened.id_ | kChangeTagBit, .members_ = members})));
  // The first members commit nothing before a majority of them is formed, so
  // the wait ends early only for a refusal.
  const auto end = opened.slot_->Wait(kFormTimeout);
  change_slots_.Close(opened.id_);
  if (end.has_value()) {
    return ResultOf(*end);
  }
  const auto status = Status();
  if (status.has_value() && status->formed_) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return state::MakeError(state::ErrorKind::kTimeout,
                          "The group was not formed in time; check its state "
                          "with 'gooseberrygapctl control status'");
}

state::Result<void> ControlDuty::AddMember(const state::ControlMember& member) {
  return ChangeMembership([&member](uint64_t tag) -> RaftEvent {
    return coordination::RaftAddMember{.tag_ = tag, .member_ = member};
  });
}

state::Result<void> ControlDuty::RemoveMember(const std::string& identity) {
  return ChangeMembership([&identity](uint64_t tag) -> RaftEvent {
    return coordination::RaftRemoveMember{.tag_ = tag, .identity_ = identity};
  });
}

state::Result<void> ControlDuty::ChangeMembership(
    const std::function<RaftEvent(uint64_t tag)>& make_event) {
  const auto opened = change_slots_.Open();
  ring_.TryPush(Item(make_event(opened.id_ | kChangeTagBit)));
  const auto end = opened.slot_->Wait(kChangeTimeout);
  change_slots_.Close(opened.id_);
  if (!end.has_value()) {
    return state::MakeError(
        state::ErrorKind::kTimeout,
        "The change was not committed in time, but still may be; check the "
        "members with 'gooseberrygapctl control status'");
  }
  return ResultOf(*end);
}

std::optional<state::IndexedConfiguration> ControlDuty::ReadConfiguration(
    state::Millis timeout) {
  const auto view = ReadConfirmed(timeout);
  return view.has_value() ? std::optional(view->configuration_) : std::nullopt;
}

std::optional<state::Evacuations> ControlDuty::ReadEvacuations(
    state::Millis timeout) {
  const auto view = ReadConfirmed(timeout);
  return view.has_value() ? std::optional(view->evacuations_) : std::nullopt;
}

std::optional<ControlDuty::OperatorView> ControlDuty::ReadConfirmed(
    state::Millis timeout) {
  auto slot = std::make_shared<ReadSlot>();
  // A request that does not fit into the ring waits as long as one without an
  // answer, so that a reader that repeats it does not spin.
  ring_.TryPush(Item(ReadRequest{.slot_ = slot}));
  return slot->Wait(timeout);
}

std::optional<coordination::QuotaOverview> ControlDuty::Quotas() {
  auto slot = std::make_shared<QuotaSlot>();
  if (!ring_.TryPush(Item(QuotaRequest{.slot_ = slot}))) {
    return std::nullopt;
  }
  return slot->Wait(kStatusTimeout);
}

std::optional<protocol::ControlStatus> ControlDuty::Status() {
  auto slot = std::make_shared<StatusSlot>();
  if (!ring_.TryPush(Item(StatusRequest{.slot_ = slot}))) {
    return std::nullopt;
  }
  return slot->Wait(kStatusTimeout);
}

void ControlDuty::CompleteRead(const coordination::ReadIndexResult& read,
                               RaftEvents* raft_events) {
  const auto pending = pending_reads_.find(read.read_id_);
  if (pending == pending_reads_.end()) {
    ProcessControlEvent(
        coordination::ReadIndexAnswered{.read_id_ = read.read_id_,
                                        .confirmed_ = read.confirmed_,
                                        .index_ = read.index_},
        raft_events);
    return;
  }
  // All entries up to the index of the read are applied by now. A read that was
  // not confirmed gets no answer: its reader times out and asks another
  // instance.
  if (read.confirmed_) {
    pending->second->Put(
        OperatorView{.configuration_ = service_.configuration(),
                     .evacuations_ = service_.evacuations()});
  }
  pending_reads_.erase(pending);
}

void ControlDuty::CompleteProposal(const coordination::ProposalResult& end,
                                   RaftEvents* raft_events) {
  if ((end.tag_ & kChangeTagBit) != 0) {
    change_slots_.Put(end.tag_ & ~kChangeTagBit, end);
    return;
  }
  ProcessControlEvent(
      coordination::ProposalEnded{.tag_ = end.tag_,
                                  .outcome_ = OutcomeOf(end.status_)},
      raft_events);
}

}  // namespace gooseberrygap::daemon
