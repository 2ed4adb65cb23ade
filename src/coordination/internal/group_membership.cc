#include "coordination/api/group_membership.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Pause between requests to join, and between changes of the members.
constexpr state::Millis kAskEvery(250);
constexpr state::Millis kTidyEvery(100);
// A member without contact for this long may have been removed meanwhile.
constexpr state::Millis kLostContact(3000);
// A voter that is silent for this long gives way to a learner that is ready.
// Longer than a restart and an election take.
constexpr state::Millis kSilentVoter(3000);
// A learner that is silent for this long is removed; it may ask again.
constexpr state::Millis kSilentLearner(10000);
// An identity whose address asks under another one is gone, unless it was heard
// from this lately: then the request is an old message.
constexpr state::Millis kReplacedAfter(300);
// A learner is ready when it lacks at most this many entries.
constexpr uint64_t kReadyLag = 64;

bool IsReadyLearner(const MemberStatus& status, uint64_t last_index) {
  return !status.member_.voter_ && status.match_index_ > 0 &&
         status.match_index_ + kReadyLag >= last_index &&
         status.last_contact_age_ < kSilentVoter / 3;
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
  const bool forms = !view.formed_ && first_start_ && !asked_to_form_ &&
                     !seeds_.empty() && seeds_.front() == view.self_.address_;
  if (forms) {
    asked_to_form_ = true;
    const state::ControlMember voter{.identity_ = view.self_.identity_,
                                     .instance_ = view.self_.instance_,
                                     .address_ = view.self_.address_,
                                     .voter_ = true};
    return Step{.events_ = {RaftForm{.members_ = {voter}}}};
  }
  if (!view.leads_) {
    return AskToJoin(view, now);
  }
  if (now < tidy_at_) {
    return {};
  }
  tidy_at_ = now + kTidyEvery;
  const std::optional<std::string> superfluous = Superfluous(view);
  if (!superfluous.has_value()) {
    return {};
  }
  return Step{.events_ = {RaftRemoveMember{.identity_ = *superfluous}}};
}

GroupMembership::Step GroupMembership::AskToJoin(const GroupView& view,
                                                 state::Millis now) {
  const bool is_member =
      std::any_of(view.members_.begin(), view.members_.end(),
                  [&view](const MemberStatus& status) {
                    return status.member_.identity_ == view.self_.identity_;
                  });
  if ((is_member && view.knowledge_age_ < kLostContact) || now < ask_at_) {
    return {};
  }
  ask_at_ = now + kAskEvery;
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
    const bool can_pass_on = !view.leader_address_.empty() &&
                             view.leader_address_ != view.self_.address_;
    return can_pass_on
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
    if (status.last_contact_age_ < kReplacedAfter) {
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

std::optional<std::string> GroupMembership::Superfluous(
    const GroupView& view) const {
  size_t voters = 0;
  bool has_successor = false;
  const MemberStatus* silent_voter = nullptr;
  for (const MemberStatus& status : view.members_) {
    if (status.member_.identity_ == view.self_.identity_) {
      ++voters;
      continue;
    }
    if (!status.member_.voter_) {
      if (status.last_contact_age_ >= kSilentLearner) {
        return status.member_.identity_;
      }
      has_successor = has_successor || IsReadyLearner(status, view.last_index_);
      continue;
    }
    ++voters;
    const bool is_more_silent =
        silent_voter == nullptr ||
        status.last_contact_age_ > silent_voter->last_contact_age_;
    if (status.last_contact_age_ >= kSilentVoter && is_more_silent) {
      silent_voter = &status;
    }
  }
  const bool may_replace =
      voters > voters_ || (voters == voters_ && has_successor);
  if (silent_voter == nullptr || !may_replace) {
    return std::nullopt;
  }
  return silent_voter->member_.identity_;
}

}  // namespace gooseberrygap::coordination
