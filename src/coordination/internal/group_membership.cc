#include "coordination/api/group_membership.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Interval between requests to join, and between checks for members to remove.
constexpr state::Millis kJoinRequestInterval(250);
constexpr state::Millis kRemovalCheckInterval(100);
// A member without contact to a leader for this time requests to join, since it
// may have been removed.
constexpr state::Millis kRejoinAfter(3000);
// A voter without contact for this time is replaced by a ready learner. Longer
// than a restart and an election take.
constexpr state::Millis kVoterTimeout(3000);
// A learner without contact for this time is removed. It may request to join
// again.
constexpr state::Millis kLearnerTimeout(10000);
// When a request to join names another identity for a member's address, the
// member's identity is considered lost, unless it was in contact within this
// time. In that case the request is a delayed message.
constexpr state::Millis kRecentContact(300);
// A learner is ready when it is at most this many log entries behind.
constexpr uint64_t kMaxReadyLag = 64;

bool IsReadyLearner(const MemberStatus& status, uint64_t last_index) {
  return !status.member_.voter_ && status.match_index_ > 0 &&
         status.match_index_ + kMaxReadyLag >= last_index &&
         status.last_contact_age_ < kVoterTimeout / 3;
}

}  // namespace

GroupMembership::GroupMembership(const Options& options)
    : seeds_(options.seeds_),
      first_start_(options.first_start_),
      voters_(static_cast<size_t>(std::max(options.voters_, 1))) {}

void GroupMembership::SetSeeds(const std::vector<std::string>& seeds) {
  seeds_ = seeds;
}

GroupMembership::Step GroupMembership::Tick(const GroupView& view,
                                            state::Millis now) {
  const bool forms = !view.formed_ && first_start_ && !has_proposed_group_ &&
                     !seeds_.empty() && seeds_.front() == view.self_.address_;
  if (forms) {
    has_proposed_group_ = true;
    const state::ControlMember voter{.identity_ = view.self_.identity_,
                                     .instance_ = view.self_.instance_,
                                     .address_ = view.self_.address_,
                                     .voter_ = true};
    return Step{.events_ = {RaftForm{.members_ = {voter}}}};
  }
  if (!view.leads_) {
    return RequestToJoin(view, now);
  }
  if (now < removal_check_at_) {
    return {};
  }
  removal_check_at_ = now + kRemovalCheckInterval;
  const std::optional<std::string> member_to_remove = MemberToRemove(view);
  if (!member_to_remove.has_value()) {
    return {};
  }
  return Step{.events_ = {RaftRemoveMember{.identity_ = *member_to_remove}}};
}

GroupMembership::Step GroupMembership::RequestToJoin(const GroupView& view,
                                                     state::Millis now) {
  const bool is_member =
      std::any_of(view.members_.begin(), view.members_.end(),
                  [&view](const MemberStatus& status) {
                    return status.member_.identity_ == view.self_.identity_;
                  });
  if ((is_member && view.contact_age_ < kRejoinAfter) ||
      now < join_request_at_) {
    return {};
  }
  join_request_at_ = now + kJoinRequestInterval;
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
  if (addresses.empty()) {
    return {};
  }
  const std::string& address = addresses[next_address_++ % addresses.size()];
  return Step{.commands_ = {SendToPeer{
                  .address_ = address,
                  .message_ = JoinRequest{.identity_ = view.self_.identity_,
                                          .instance_ = view.self_.instance_,
                                          .address_ = view.self_.address_}}}};
}

GroupMembership::Step GroupMembership::OnJoin(const JoinRequest& request,
                                              const GroupView& view,
                                              state::Millis) {
  if (!view.leads_) {
    const bool can_forward = !view.leader_address_.empty() &&
                             view.leader_address_ != view.self_.address_;
    return can_forward
               ? Step{.commands_ = {SendToPeer{.address_ = view.leader_address_,
                                               .message_ = request}}}
               : Step();
  }
  for (const MemberStatus& status : view.members_) {
    if (status.member_.identity_ == request.identity_) {
      return {};
    }
    if (status.member_.address_ != request.address_) {
      continue;
    }
    if (status.last_contact_age_ < kRecentContact) {
      return {};
    }
    return Step{
        .events_ = {RaftRemoveMember{.identity_ = status.member_.identity_}}};
  }
  return Step{.events_ = {RaftAddMember{.member_ = state::ControlMember{
                                            .identity_ = request.identity_,
                                            .instance_ = request.instance_,
                                            .address_ = request.address_}}}};
}

std::optional<std::string> GroupMembership::MemberToRemove(
    const GroupView& view) const {
  size_t voters = 0;
  bool has_ready_learner = false;
  const MemberStatus* unresponsive_voter = nullptr;
  for (const MemberStatus& status : view.members_) {
    if (status.member_.identity_ == view.self_.identity_) {
      ++voters;
      continue;
    }
    if (!status.member_.voter_) {
      if (status.last_contact_age_ >= kLearnerTimeout) {
        return status.member_.identity_;
      }
      has_ready_learner =
          has_ready_learner || IsReadyLearner(status, view.last_index_);
      continue;
    }
    ++voters;
    const bool is_longer_unresponsive =
        unresponsive_voter == nullptr ||
        status.last_contact_age_ > unresponsive_voter->last_contact_age_;
    if (status.last_contact_age_ >= kVoterTimeout && is_longer_unresponsive) {
      unresponsive_voter = &status;
    }
  }
  const bool may_replace =
      voters > voters_ || (voters == voters_ && has_ready_learner);
  if (unresponsive_voter == nullptr || !may_replace) {
    return std::nullopt;
  }
  return unresponsive_voter->member_.identity_;
}

}  // namespace gooseberrygap::coordination
