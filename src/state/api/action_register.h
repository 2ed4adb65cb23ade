#ifndef STATE_API_ACTION_REGISTER_H_
#define STATE_API_ACTION_REGISTER_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "state/api/action.h"
#include "state/api/configuration.h"

namespace gooseberrygap::state {

// The register's entry for one action key.
struct RegisterEntry {
  const ActionState state_ = ActionState::kAbsent;
  const uint64_t attempt_ = 0;
  const std::string digest_ = {};
  // Guard, its incarnation and the nonce of the last granted start.
  const std::string guard_ = {};
  const uint64_t incarnation_ = 0;
  const std::string nonce_ = {};
  // Id of the request whose fence or release opened `attempt_`; empty when
  // kBegin opened it.
  const std::string opened_by_ = {};
  const HttpAnswer answer_ = {};
  // The answer was too large and was stored without headers and body.
  const bool answer_dropped_ = false;
  // Register time of the last change, in milliseconds; retention starts here.
  const uint64_t changed_at_ = 0;

  friend bool operator==(const RegisterEntry&, const RegisterEntry&) = default;
};

struct KeyedRegisterEntry {
  const std::string key_ = {};
  const RegisterEntry entry_ = {};

  friend bool operator==(const KeyedRegisterEntry&,
                         const KeyedRegisterEntry&) = default;
};

// The complete content of a register. Registers that applied the same commands
// have equal snapshots.
struct RegisterSnapshot {
  const uint64_t time_ = 0;  // Register time in milliseconds.
  const uint64_t last_wall_millis_ = 0;
  const std::vector<KeyedRegisterEntry> entries_ = {};  // Ordered by key.

  friend bool operator==(const RegisterSnapshot&,
                         const RegisterSnapshot&) = default;
};

// A guard with keys in kStarted.
struct GuardIncarnation {
  const std::string guard_ = {};
  const uint64_t incarnation_ = 0;  // Lowest incarnation of those keys.

  friend bool operator==(const GuardIncarnation&,
                         const GuardIncarnation&) = default;
};

// The register of action keys: a deterministic state machine, so that replicas
// that apply the same commands in the same order agree. Not thread-safe.
class ActionRegister {
 public:
  // Sets capacity, answer size limit and retention. Existing keys are kept even
  // if they exceed the capacity.
  void SetPolicy(const ActionPolicy& policy);

  // Applies one operation. `wall_millis` is the proposer's wall time from the
  // log entry. Operations are idempotent: a repeat returns the same result and
  // changes nothing. Results by operation:
  // - kBegin is granted unless the key was used for another request
  //   (kKeyReused), is new and the register is full (kRegisterFull), or its
  //   stored answer was too large (kAnswerTooLarge). When granted, the state
  //   determines the next step: kOpen: send attempt `attempt_`; kStarted: wait;
  //   kDone: `answer_` is the answer; kUnknown: the outcome is unknown.
  // - kStart, kFence and kRelease are refused with kStaleAttempt (the key is
  //   absent, or open for another attempt, given in `attempt_`) or with
  //   kAlreadyStarted (the action was started or has ended). A fence refused in
  //   kDone carries the stored answer.
  RegisterResult Apply(const RegisterCommand& command, uint64_t wall_millis);

  // Advances the register time to the leader's wall time and removes the keys
  // whose retention has passed.
  void Expire(uint64_t wall_millis);

  size_t size() const { return entries_.size(); }
  // Returns each guard with keys in kStarted.
  std::vector<GuardIncarnation> StartedGuards() const;

  RegisterSnapshot Snapshot() const;
  // Replaces the content; the policy stays as set.
  void Restore(const RegisterSnapshot& snapshot);

 private:
  using Operation = RegisterResult (ActionRegister::*)(const RegisterCommand&,
                                                       const RegisterEntry*);
  struct OperationRow;
  static const OperationRow kOperations[];

  RegisterResult Begin(const RegisterCommand& command,
                       const RegisterEntry* entry);
  RegisterResult Start(const RegisterCommand& command,
                       const RegisterEntry* entry);
  RegisterResult Fence(const RegisterCommand& command,
                       const RegisterEntry* entry);
  RegisterResult Release(const RegisterCommand& command,
                         const RegisterEntry* entry);
  RegisterResult Finish(const RegisterCommand& command,
                        const RegisterEntry* entry);
  RegisterResult Abandon(const RegisterCommand& command,
                         const RegisterEntry* entry);

  void AdvanceTime(uint64_t wall_millis);
  bool IsFull() const;
  RegisterResult Open(const RegisterCommand& command,
                      const RegisterEntry* entry,
                      uint64_t attempt);
  void Put(const std::string& key, const RegisterEntry& entry);
  void Remove(const std::string& key);

  int max_keys_ = ActionPolicy().max_keys_;
  int max_answer_bytes_ = ActionPolicy().max_answer_bytes_;
  uint64_t retention_ =
      static_cast<uint64_t>(ActionPolicy().retention_.value());
  // Register time in milliseconds. Follows the proposers' wall times, but a
  // jump of a wall clock advances it by a limited step only.
  uint64_t time_ = 0;
  uint64_t last_wall_millis_ = 0;
  std::unordered_map<std::string, RegisterEntry> entries_;
  // Register time of the last change and key of every entry, oldest first.
  std::set<std::pair<uint64_t, std::string>> keys_by_change_time_;
  // Guard and key of the entries in kStarted.
  std::set<std::pair<std::string, std::string>> started_keys_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_ACTION_REGISTER_H_
