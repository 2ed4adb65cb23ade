#ifndef COORDINATION_API_GROUP_MEMBERSHIP_H_
#define COORDINATION_API_GROUP_MEMBERSHIP_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/raft.h"

namespace gooseberrygap::coordination {

// State of the replicated log from which GroupMembership makes its decisions.
struct GroupView {
  const state::ControlMember self_ = {};
  const bool formed_ = false;  // This instance's log is not empty.
  const bool leads_ = false;
  const std::string leader_address_ = {};  // Empty when unknown.
  // Time since the last contact with a leader or, as the leader, a quorum.
  const state::Millis contact_age_ = {};
  const uint64_t last_index_ = 0;
  const std::vector<MemberStatus> members_ = {};
  const bool members_committed_ = false;
  // This instance was in a group and lost what it had stored. It joins, and
  // never forms a group: to the others that group still exists.
  const bool lost_data_ = false;
};

// Forms the control group at the first start, and maintains its members without
// an operator: an instance requests to join, and becomes a voter in place of
// one that is unresponsive or leaving. An instance that lost its disk
// immediately replaces the identity that it had at the same address. The number
// of voters falls below the configured number only during the replacement of an
// unresponsive one. Not thread-safe.
class GroupMembership {
 public:
  struct Options {
    // Peer addresses at which the group may be found. At the first start of
    // the system the instance at the first address forms the group, unless it
    // lost its data.
    const std::vector<std::string> seeds_ = {};
    const bool first_start_ = false;
    const int voters_ = 5;  // Number of voters to maintain.
  };
  struct Step {
    Commands commands_;
    // Changes to propose to the log. A change that cannot be made now is
    // proposed again by a later step.
    std::vector<RaftEvent> events_;
  };

  explicit GroupMembership(const Options& options);

  // Call it about every 10 ms.
  Step Tick(const GroupView& view, state::Millis now);
  // Handles a request to join: forwards it to the leader, or on the leader adds
  // the instance or removes the identity that it replaces.
  Step OnJoin(const JoinRequest& request,
              const GroupView& view,
              state::Millis now);
  // Handles a request to leave: forwards it to the leader, or on the leader
  // records that the voter is leaving, or removes the learner.
  Step OnLeave(const LeaveRequest& request, const GroupView& view) const;
  void OnLeft(const LeaveReply& reply, const GroupView& view);
  // From now on, this instance requests to leave instead of to join. Call it
  // when the process begins to stop.
  void Leave();
  // Returns whether the process need not wait for the group any longer: this
  // instance is removed, or the group has noted that it leaves and has no
  // learner that could take its place.
  bool HasLeft(const GroupView& view) const;
  // Replaces the seeds.
  void SetSeeds(const std::vector<std::string>& seeds);

 private:
  Step RequestToJoin(const GroupView& view, state::Millis now);
  Step RequestToLeave(const GroupView& view, state::Millis now);
  // Returns the next address at which to ask for the leader; empty when none is
  // known.
  std::string NextAddress(const GroupView& view);
  // Returns the change of its own mark that the leader proposes, if any: set
  // while it is leaving, cleared when it has returned.
  Step UpdateOwnMark(const GroupView& view) const;
  // Returns the identity of a member to remove: an unresponsive learner, or a
  // voter that is leaving or unresponsive and whose place is taken. Returns
  // nothing when there is none.
  std::optional<std::string> MemberToRemove(const GroupView& view) const;
  // Returns whether the voter may be removed: it is surplus, or a ready learner
  // takes its place.
  bool MayRemove(const GroupView& view, const MemberStatus& voter) const;

  std::vector<std::string> seeds_;
  const bool first_start_;
  const size_t voters_;
  bool has_proposed_group_ = false;
  bool leaving_ = false;
  bool has_left_ = false;
  size_t next_address_ = 0;
  state::Millis request_at_;  // Of the next request to join or to leave.
  state::Millis removal_check_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_GROUP_MEMBERSHIP_H_
