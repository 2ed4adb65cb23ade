#include "coordination/api/group_membership.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Intervals between requests to join, between requests to leave, and between
// checks for members to remove.
constexpr state::Millis kRequestInterval(250);
constexpr state::Millis kLeaveRequestInterval(100);
constexpr state::Millis kRemovalCheckInterval(100);
// A member without contact to a leader for this time requests to join, since it
// may have been removed.
constexpr state::Millis kRejoinAfter(3000);
// A voter without contact for this time is replaced by a ready learner. Longer
// than an election takes. A voter that comes back later has lost nothing: the
// group has as many voters as before, and takes it in as a learner.
constexpr state::Millis kVoterTimeout(1500);
// A learner without contact for this time is removed. It may request to join
// again.
constexpr state::Millis kLearnerTimeout(10000);
// When a request to join names another identity for a member's address, the
// member's identity is considered lost, unless it was in contact within this
// time. In that case the request is a delayed message.
constexpr state::Millis kRecentContact(300);
// A voter that is leaving has ended when it was out of contact for this time.
// Longer than several heartbeats of the log.
constexpr state::Millis kLeavingVoterTimeout(500);
// A learner is ready when it is at most this many log entries behind, and was
// in contact within this time.
constexpr uint64_t kMaxReadyLag = 64;
constexpr state::Millis kMaxReadyContactAge(1000);

bool IsReadyLearner(const MemberStatus& status, uint64_t last_index) {
  return !status.member_.voter_ && status.match_index_ > 0 &&
         status.match_index_ + kMaxReadyLag >= last_index &&
         status.last_contact_age_ < kMaxReadyContactAge;
}

const MemberStatus* FindSelf(const GroupView& view) {
  for (const MemberStatus& status : view.members_) {
    if (status.member_.identity_ == view.self_.identity_) {
      return &status;
    }
  }
  return nullptr;
}

size_t CountVoters(const GroupView& view) {
  return std::count_if(
      view.members_.begin(), view.members_.end(),
      [](const MemberStatus& status) { return status.member_.voter_; });
}

// Forwards a request to the leader, if it is another instance.
GroupMembership::Step Forward(const GroupView& view,
                              const PeerMessage& request) {
  const bool can_forward = !view.leader_address_.empty() &&
                           view.leader_address_ != view.self_.address_;
  return can_forward
             ? GroupMembership::Step{.commands_ = {SendToPeer{
                                         .address_ = view.leader_address_,
                                         .message_ = request}}}
             : GroupMembership::Step();
}

GroupMembership::Step Propose(const RaftEvent& change) {
  return GroupMembership::Step{.events_ = {change}};
}

}  // namespace

GroupMembership::GroupMembership(const Options& options)
    : seeds_(options.seeds_),
      first_start_(options.first_start_),
      voters_(static_cast<size_t>(std::max(options.voters_, 1))) {}

void GroupMembership::SetSeeds(const std::vector<std::string>& seeds) {
  seeds_ = seeds;
}

void GroupMembership::Leave() {
  leaving_ = true;
  request_at_ = state::Millis(0);
}

bool GroupMembership::HasLeft(const GroupView& view) const {
  if (has_left_ || !view.formed_) {
    return true;
  }
  if (!view.members_committed_) {
    return false;
  }
  const MemberStatus* self = FindSelf(view);
  // With more voters than needed, the leader is about to remove this one.
  return self == nullptr ||
         (self->member_.leaving_ && CountVoters(view) <= voters_ &&
          CountVoters(view) == view.members_.size());
}

void GroupMembership::OnLeft(const LeaveReply& reply, const GroupView& view) {
  has_left_ =
      has_left_ || (leaving_ && reply.identity_ == view.self_.identity_);
}

GroupMembership::Step GroupMembership::Tick(const GroupView& view,
                                            state::Millis now) {
  const bool forms = !view.formed_ && !view.lost_data_ && first_start_ &&
                     !has_proposed_group_ && !leaving_ && !seeds_.empty() &&
                     seeds_.front() == view.self_.address_;
  if (forms) {
    has_proposed_group_ = true;
    const state::ControlMember voter{.identity_ = view.self_.identity_,
                                     .instance_ = view.self_.instance_,
                                     .address_ = view.self_.address_,
                                     .voter_ = true};
    return Propose(RaftForm{.members_ = {voter}});
  }
  if (!view.leads_) {
    return leaving_ ? RequestToLeave(view, now) : RequestToJoin(view, now);
  }
  if (now < removal_check_at_) {
    return {};
  }
  removal_check_at_ = now + kRemovalCheckInterval;
  Step own_mark = UpdateOwnMark(view);
  if (!own_mark.events_.empty()) {
    return own_mark;
  }
  const std::optional<std::string> member_to_remove = MemberToRemove(view);
  return member_to_remove.has_value()
             ? Propose(RaftRemoveMember{.identity_ = *member_to_remove})
             : Step();
}

GroupMembership::Step GroupMembership::UpdateOwnMark(
    const GroupView& view) const {
  const MemberStatus* self = FindSelf(view);
  if (self == nullptr || self->member_.leaving_ == leaving_) {
    return {};
  }
  return Propose(
      RaftSetLeaving{.identity_ = view.self_.identity_, .leaving_ = leaving_});
}

GroupMembership::Step GroupMembership::RequestToJoin(const GroupView& view,
                                                     state::Millis now) {
  const MemberStatus* self = FindSelf(view);
  // A member that is marked as leaving has been started again.
  const bool is_settled = self != nullptr && !self->member_.leaving_ &&
                          view.contact_age_ < kRejoinAfter;
  if (is_settled || now < request_at_) {
    return {};
  }
  request_at_ = now + kRequestInterval;
  const std::string address = NextAddress(view);
  if (address.empty()) {
    return {};
  }
  return Step{.commands_ = {SendToPeer{
                  .address_ = address,
                  .message_ = JoinRequest{.identity_ = view.self_.identity_,
                                          .instance_ = view.self_.instance_,
                                          .address_ = view.self_.address_}}}};
}

GroupMembership::Step GroupMembership::RequestToLeave(const GroupView& view,
                                                      state::Millis now) {
  if (HasLeft(view) || now < request_at_) {
    return {};
  }
  request_at_ = now + kLeaveRequestInterval;
  const LeaveRequest request{.identity_ = view.self_.identity_,
                             .address_ = view.self_.address_};
  if (!view.leader_address_.empty()) {
    return Forward(view, request);
  }
  const std::string address = NextAddress(view);
  return address.empty() ? Step()
                         : Step{.commands_ = {SendToPeer{.address_ = address,
                                                         .message_ = request}}};
}

std::string GroupMembership::NextAddress(const GroupView& view) {
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& address) {
    if (address != view.self_.address_ &&
        std::count(addresses.begin(), addresses.end(), address) == 0) {
      addresses.push_back(address);
    }
  };
  for (const std::string& seed : seeds_) {
    add(seed);
  }
  for (const MemberStatus& status : view.members_) {
    add(status.member_.address_);
  }
  return addresses.empty() ? std::string()
                           : addresses[next_address_++ % addresses.size()];
}

GroupMembership::Step GroupMembership::OnJoin(const JoinRequest& request,
                                              const GroupView& view,
                                              state::Millis) {
  if (!view.leads_) {
    return Forward(view, request);
  }
  for (const MemberStatus& status : view.members_) {
    if (status.member_.identity_ == request.identity_) {
      return status.member_.leaving_
                 ? Propose(RaftSetLeaving{.identity_ = request.identity_,
                                          .leaving_ = false})
                 : Step();
    }
    if (status.member_.address_ != request.address_) {
      continue;
    }
    if (status.last_contact_age_ < kRecentContact) {
      return {};
    }
    return Propose(RaftRemoveMember{.identity_ = status.member_.identity_});
  }
  return Propose(RaftAddMember{
      .member_ = state::ControlMember{.identity_ = request.identity_,
                                      .instance_ = request.instance_,
                                      .address_ = request.address_}});
}

GroupMembership::Step GroupMembership::OnLeave(const LeaveRequest& request,
                                               const GroupView& view) const {
  if (!view.leads_) {
    return Forward(view, request);
  }
  for (const MemberStatus& status : view.members_) {
    if (status.member_.identity_ != request.identity_) {
      continue;
    }
    if (!status.member_.voter_) {
      return Propose(RaftRemoveMember{.identity_ = request.identity_});
    }
    return status.member_.leaving_
               ? Step()
               : Propose(RaftSetLeaving{.identity_ = request.identity_});
  }
  return view.members_committed_
             ? Step{.commands_ = {SendToPeer{
                        .address_ = request.address_,
                        .message_ =
                            LeaveReply{.identity_ = request.identity_}}}}
             : Step();
}

bool GroupMembership::MayRemove(const GroupView& view,
                                const MemberStatus& voter) const {
  const auto is_ready = [&view](const MemberStatus& status) {
    return IsReadyLearner(status, view.last_index_);
  };
  const size_t voters = CountVoters(view);
  if (voters != voters_) {
    return voters > voters_;
  }
  // A voter that still runs is removed only after its successor has become a
  // voter, so that the group bears as many losses at all times.
  const bool has_ended =
      voter.last_contact_age_ >=
      (voter.member_.leaving_ ? kLeavingVoterTimeout : kVoterTimeout);
  return has_ended &&
         std::any_of(view.members_.begin(), view.members_.end(), is_ready);
}

std::optional<std::string> GroupMembership::MemberToRemove(
    const GroupView& view) const {
  const MemberStatus* candidate = nullptr;
  for (const MemberStatus& status : view.members_) {
    const bool is_self = status.member_.identity_ == view.self_.identity_;
    if (!status.member_.voter_) {
      if (status.last_contact_age_ >= kLearnerTimeout) {
        return status.member_.identity_;
      }
      continue;
    }
    const bool is_unresponsive =
        !is_self && status.last_contact_age_ >= kVoterTimeout;
    if (!status.member_.leaving_ && !is_unresponsive) {
      continue;
    }
    // Those that are leaving first, then the one that was silent for longest.
    const bool goes_first =
        candidate == nullptr ||
        (status.member_.leaving_ != candidate->member_.leaving_
             ? status.member_.leaving_
             : status.last_contact_age_ > candidate->last_contact_age_);
    candidate = goes_first ? &status : candidate;
  }
  if (candidate == nullptr || !MayRemove(view, *candidate)) {
    return std::nullopt;
  }
  return candidate->member_.identity_;
}

}  // namespace gooseberrygap::coordination
