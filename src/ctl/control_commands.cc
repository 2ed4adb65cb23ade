#include <algorithm>
#include <set>
#include <tuple>
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "ctl/command.h"

namespace gooseberrygap::ctl {

namespace {

using protocol::ControlStatus;
using state::ControlMember;
using state::ErrorKind;

constexpr char kStatusPath[] = "/-/control/status";

// A control instance that the operator has named, with its answer.
struct Candidate {
  const AdminClient client_;
  const ControlStatus status_ = {};
};

state::Result<Candidate> ReadCandidate(const std::string& address,
                                       state::Millis timeout) {
  const auto parsed = protocol::ParseNumericAddress(address);
  if (!parsed.has_value()) {
    return state::MakeError(
        ErrorKind::kUsage,
        absl::StrCat("'", address,
                     "' is not a numeric IPv4 address with a port, as "
                     "127.0.0.1:8101"));
  }
  const AdminClient client(*parsed, timeout);
  const auto status = client.Get(kStatusPath, &protocol::ParseControlStatus);
  if (status.has_error()) {
    return status.error();
  }
  return Candidate{.client_ = client, .status_ = status.value()};
}

ControlMember MemberOf(const ControlStatus& status) {
  return ControlMember{.identity_ = status.identity_,
                       .instance_ = status.instance_,
                       .address_ = status.address_};
}

// Returns an error when the candidates cannot form a group.
state::Result<std::vector<ControlMember>> CheckMembers(
    const std::vector<Candidate>& candidates) {
  std::vector<ControlMember> members;
  std::set<std::string> identities;
  for (const Candidate& candidate : candidates) {
    if (!identities.insert(candidate.status_.identity_).second) {
      return state::MakeError(ErrorKind::kUsage,
                              absl::StrCat(candidate.client_.name(),
                                           " and another address lead "
                                           "to the same instance '",
                                           candidate.status_.instance_, "'"));
    }
    members.push_back(MemberOf(candidate.status_));
  }
  return members;
}

// Whether the instance was formed with exactly these voters: an earlier call of
// `control form` reached it and not the others.
bool IsFormedWith(const ControlStatus& status,
                  const std::vector<ControlMember>& members) {
  return status.formed_ &&
         std::is_permutation(status.members_.begin(), status.members_.end(),
                             members.begin(), members.end());
}

std::string MemberLine(const ControlMember& member) {
  return absl::StrCat("  ", member.identity_, "  ", member.instance_, "  ",
                      member.address_, "  ",
                      member.voter_ ? "voter" : "learner", "\n");
}

// Forms the group at one instance. A refusal is a success when the instance is
// in the group by now: the instances formed before it may be a majority, whose
// leader can reach it first.
state::Result<void> FormAt(const Candidate& candidate,
                           const std::vector<ControlMember>& members) {
  const auto answer = candidate.client_.Post("/-/control/form",
                                             protocol::PrintMembers(members));
  if (!answer.has_error()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  const auto status =
      candidate.client_.Get(kStatusPath, &protocol::ParseControlStatus);
  if (status.has_value() && IsFormedWith(status.value(), members)) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return answer.error();
}

state::Result<std::vector<Candidate>> ReadCandidates(
    const Invocation& invocation) {
  std::vector<Candidate> candidates;
  for (const std::string& address : invocation.arguments_) {
    auto candidate = ReadCandidate(address, invocation.timeout_);
    if (candidate.has_error()) {
      return candidate.error();
    }
    candidates.push_back(candidate.value());
  }
  return candidates;
}

}  // namespace

state::Result<Report> RunControlForm(const Invocation& invocation) {
  if (invocation.arguments_.size() % 2 == 0) {
    return state::MakeError(
        ErrorKind::kUsage,
        "A control group has 3 or 5 voters, or 1 for a trial");
  }
  // Every instance is read before the first is formed.
  const auto candidates = ReadCandidates(invocation);
  if (candidates.has_error()) {
    return candidates.error();
  }
  const auto members = CheckMembers(candidates.value());
  if (members.has_error()) {
    return members.error();
  }
  std::vector<const Candidate*> unformed;
  for (const Candidate& candidate : candidates.value()) {
    if (!candidate.status_.formed_) {
      unformed.push_back(&candidate);
    } else if (!IsFormedWith(candidate.status_, members.value())) {
      return state::MakeError(
          ErrorKind::kAlreadyFormed,
          absl::StrCat(candidate.client_.name(),
                       " already belongs to a group with other members"));
    }
  }
  if (unformed.empty()) {
    return state::MakeError(ErrorKind::kAlreadyFormed,
                            "These instances already form a group");
  }
  for (const Candidate* candidate : unformed) {
    const auto answer = FormAt(*candidate, members.value());
    if (answer.has_error()) {
      return state::Error{
          .kind_ = answer.error().kind_,
          .message_ = absl::StrCat(
              answer.error().message_,
              " Then repeat the command with the same addresses; instances "
              "that are already formed are left as they are.")};
    }
  }
  std::string text = "Formed a group of:\n";
  for (const ControlMember& member : members.value()) {
    absl::StrAppend(&text, MemberLine(member));
  }
  return Report{.output_ = text};
}

state::Result<Report> RunControlStatus(const Invocation& invocation) {
  const auto answer =
      invocation.Client().Get(kStatusPath, &protocol::ParseControlStatus);
  if (answer.has_error()) {
    return answer.error();
  }
  const ControlStatus& status = answer.value();
  std::string text = absl::StrCat(
      "identity      ", status.identity_, "\ninstance      ", status.instance_,
      "\naddress       ", status.address_, "\nformed        ",
      status.formed_ ? "yes" : "no", "\nrole          ", status.role_,
      "\nterm          ", status.term_, "\nleader        ",
      status.leader_.empty() ? "unknown" : status.leader_, "\ncommit index  ",
      status.commit_index_, status.error_.empty() ? "" : "\nerror         ",
      status.error_, "\nmembers\n");
  for (const ControlMember& member : status.members_) {
    absl::StrAppend(&text, MemberLine(member));
  }
  return Report{.output_ = text};
}

state::Result<Report> RunControlAdd(const Invocation& invocation) {
  const auto candidate =
      ReadCandidate(invocation.arguments_.front(), invocation.timeout_);
  if (candidate.has_error()) {
    return candidate.error();
  }
  const ControlStatus& status = candidate.value().status_;
  if (status.formed_) {
    return state::MakeError(
        ErrorKind::kAlreadyFormed,
        absl::StrCat(candidate.value().client_.name(),
                     " already belongs to a group; only an instance with an "
                     "empty data folder can be added"));
  }
  const auto answer = invocation.Client().Post(
      "/-/control/add", protocol::PrintMember(MemberOf(status)));
  if (answer.has_error()) {
    return answer.error();
  }
  return Report{.output_ = absl::StrCat("Adding ", status.instance_, " as ",
                                        status.identity_,
                                        "; it votes once it has caught up\n")};
}

state::Result<Report> RunControlRemove(const Invocation& invocation) {
  const std::string& identity = invocation.arguments_.front();
  const auto answer = invocation.Client().Post(
      "/-/control/remove", protocol::PrintIdentity(identity));
  if (answer.has_error()) {
    return answer.error();
  }
  return Report{.output_ = absl::StrCat("Removing ", identity, "\n")};
}

}  // namespace gooseberrygap::ctl
