#include "daemon/control_duty.h"

namespace gooseberrygap::daemon {

namespace {

constexpr state::Millis kMembershipInterval(50);

}  // namespace

void ControlDuty::SetSeeds(const std::vector<std::string>& seeds) {
  ring_.TryPush(Item(NewSeeds{.addresses_ = seeds}));
}

void ControlDuty::Leave() {
  ring_.TryPush(Item(LeaveGroup{}));
}

bool ControlDuty::WaitUntilLeft(state::Millis timeout) {
  return !membership_.has_value() || left_slot_.Wait(timeout).has_value();
}

void ControlDuty::SetSeedsNow(const std::vector<std::string>& seeds) {
  if (membership_.has_value()) {
    seeds_ = seeds;
    membership_->SetSeeds(seeds);
  }
}

bool ControlDuty::DispatchMembership(const coordination::PeerMessage& message,
                                     RaftEvents* raft_events) {
  const auto* join = std::get_if<coordination::JoinRequest>(&message);
  const auto* leave = std::get_if<coordination::LeaveRequest>(&message);
  const auto* left = std::get_if<coordination::LeaveReply>(&message);
  if (join == nullptr && leave == nullptr && left == nullptr) {
    return false;
  }
  if (!membership_.has_value()) {
    return true;
  }
  const state::Millis now = clock_.Now();
  const coordination::GroupView view = CurrentGroupView(now);
  if (join != nullptr) {
    Apply(membership_->OnJoin(*join, view, now), raft_events);
  } else if (leave != nullptr) {
    Apply(membership_->OnLeave(*leave, view), raft_events);
  } else {
    membership_->OnLeft(*left, view);
  }
  return true;
}

void ControlDuty::TickMembership(state::Millis now, RaftEvents* raft_events) {
  if (!membership_.has_value() || now < next_membership_tick_) {
    return;
  }
  next_membership_tick_ = now + kMembershipInterval;
  const coordination::GroupView view = CurrentGroupView(now);
  Apply(membership_->Tick(view, now), raft_events);
  if (leaves_ && membership_->HasLeft(view)) {
    left_slot_.Put(true);
  }
}

coordination::GroupView ControlDuty::CurrentGroupView(state::Millis now) const {
  return coordination::GroupView{
      .self_ = state::ControlMember{.identity_ = raft_->identity(),
                                    .instance_ = options_.self_.instance_,
                                    .address_ = options_.self_.address_},
      .formed_ = raft_->last_index() > 0,
      .leads_ = raft_->role() == coordination::RaftRole::kLeader,
      .leader_address_ = raft_->leader_address(),
      .contact_age_ = raft_->ContactAge(now),
      .last_index_ = raft_->last_index(),
      .members_ = raft_->Status(now),
      .members_committed_ = raft_->members_committed(),
      .lost_data_ = lost_data_};
}

}  // namespace gooseberrygap::daemon
