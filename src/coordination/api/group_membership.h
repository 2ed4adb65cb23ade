#ifndef COORDINATION_API_GROUP_MEMBERSHIP_H_
#define COORDINATION_API_GROUP_MEMBERSHIP_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/api/commands.h"
#include "coordination/api/raft.h"

namespace gooseberrygap::coordination {

// What the rules of membership see of the replicated log.
struct GroupView {
  const state::ControlMember self_ = {};
  const bool formed_ = false;  // The log of this instance is not empty.
  const bool leads_ = false;
  const std::string leader_address_ = {};  // Empty when unknown.
  // Time since the last contact with a leader or, as the leader, a quorum.
  const state::Millis staleness_ = {};
  const uint64_t last_index_ = 0;
  const std::vector<MemberStatus> members_ = {};
};

// Forms the control group at the first start, and keeps its members without an
// operator: an instance asks to join, takes the place of a voter that is
// silent, and replaces at once the identity that was lost with the disk of its
// own address. The number of voters never falls below the wanted one except
// while a replacement is under way. Not thread-safe.
class GroupMembership {
 public:
  struct Options {
    // Peer addresses at which the group may be found. At the first start of
    // the system the instance at the first address forms the group.
    const std::vector<std::string> seeds_ = {};
    const bool first_start_ = false;
    const int voters_ = 5;
  };
  struct Step {
    Commands commands_;
    // Changes for the log; one that cannot be made now is tried again.
    std::vector<RaftEvent> events_;
  };

  explicit GroupMembership(const Options& options);

  // Call it about every 10 ms.
  Step Tick(const GroupView& view, state::Millis now);
  Step OnJoin(const JoinRequest& request,
              const GroupView& view,
              state::Millis now);
  // Takes other seeds into use.
  void SetSeeds(const std::vector<std::string>& seeds);

 private:
  Step AskToJoin(const GroupView& view, state::Millis now);
  // Returns the identity to remove so that the group has its wanted voters.
  std::optional<std::string> Superfluous(const GroupView& view) const;

  std::vector<std::string> seeds_;
  const bool first_start_;
  const size_t voters_;
  bool asked_to_form_ = false;
  size_t next_address_ = 0;
  state::Millis ask_at_;
  state::Millis tidy_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_GROUP_MEMBERSHIP_H_
