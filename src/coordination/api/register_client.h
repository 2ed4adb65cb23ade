#ifndef COORDINATION_API_REGISTER_CLIENT_H_
#define COORDINATION_API_REGISTER_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

// The end of a register call, with the tag that was passed to Call.
struct RegisterEnd {
  const uint64_t tag_ = 0;
  const state::RegisterCommand command_ = {};
  // False when no leader with a quorum answered before the deadline: the
  // operation may or may not have been applied.
  const bool answered_ = false;
  // True when no request was ever sent, so that the operation was certainly not
  // applied.
  const bool never_sent_ = false;
  const state::RegisterResult result_ = {};
};

// Sends register operations to the control group's leader and resends them
// until an answer or their deadline. Operations are idempotent in the register,
// so resending is safe. Not thread-safe.
class RegisterClient {
 public:
  // `control_addresses` are the control instances listed in the settings.
  // `counters` must outlive the client.
  RegisterClient(std::vector<std::string> control_addresses,
                 state::Counters* counters);

  // Sets the leader's address that the daemon's lease reports; an empty one is
  // ignored.
  void SetLeader(const std::string& address);

  // Starts an operation; its end is returned by OnReply or Tick under `tag`.
  Commands Call(const state::RegisterCommand& command,
                uint64_t tag,
                state::Millis deadline,
                state::Millis now);

  // The commands and the ended calls that result from a reply or a tick.
  struct Step {
    Commands commands_;
    std::vector<RegisterEnd> ends_;
  };
  Step OnReply(const RegisterReply& reply, state::Millis now);
  Step Tick(state::Millis now);

 private:
  struct Pending {
    uint64_t tag_ = 0;
    state::RegisterCommand command_;
    state::Millis deadline_;
    state::Millis next_send_;
    bool sent_ = false;
  };

  Commands Send(uint64_t call_id, Pending* pending, state::Millis now);

  std::vector<std::string> control_addresses_;
  state::Counters* counters_;
  std::string leader_;
  size_t next_address_ = 0;
  uint64_t next_call_id_ = 1;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_REGISTER_CLIENT_H_
