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

// What the register holds for one action key.
struct RegisterEntry {
  const ActionState state_ = ActionState::kAbsent;
  const uint64_t attempt_ = 0;
  const std::string digest_ = {};
  // Of the last granted start.
  const std::string guard_ = {};
  const uint64_t incarnation_ = 0;
  const std::string nonce_ = {};
  // Request whose fence or release led to `open(attempt_)`; empty after begin.
  const std::string opened_by_ = {};
  const HttpAnswer answer_ = {};
  // The answer was too large and was stored without headers and body.
  const bool answer_dropped_ = false;
  // Register time of the last change; retention counts from here.
  const uint64_t changed_at_ = 0;

  friend bool operator==(const RegisterEntry&, const RegisterEntry&) = default;
};

struct KeyedRegisterEntry {
  const std::string key_ = {};
  const RegisterEntry entry_ = {};

  friend bool operator==(const KeyedRegisterEntry&,
                         const KeyedRegisterEntry&) = default;
};

// The whole register; equal for registers that applied the same commands.
struct RegisterSnapshot {
  const uint64_t time_ = 0;
  const uint64_t last_wall_millis_ = 0;
  const std::vector<KeyedRegisterEntry> entries_ = {};  // Ordered by key.

  friend bool operator==(const RegisterSnapshot&,
                         const RegisterSnapshot&) = default;
};

// A guard that holds `started` keys.
struct GuardIncarnation {
  const std::string guard_ = {};
  const uint64_t incarnation_ = 0;  // The lowest among those keys.

  friend bool operator==(const GuardIncarnation&,
                         const GuardIncarnation&) = default;
};

// The register of action keys: a deterministic state machine, so that replicas
// that apply the same commands in the same order agree. Not thread-safe.
class ActionRegister {
 public:
  // Takes capacity and limits into force; existing keys are kept.
  void SetPolicy(const ActionPolicy& policy);

  // Applies one operation. `wall_millis` is the proposer's wall time from the
  // log entry. Repeating an operation gives the same result and no further
  // change. How to read the result of each operation:
  // - begin is granted unless the key was used for another request
  //   (kKeyReused), is new and the register is full (kRegisterFull), or its
  //   stored answer was too large (kAnswerTooLarge). When granted, the state
  //   says what to do: open: attempt `attempt_` may be sent; started: wait;
  //   done: `answer_` is the answer; unknown: the end is not known.
  // - start, fence and release that are not granted say kStaleAttempt (the key
  //   is open for another attempt, which `attempt_` names, or absent) or
  //   kAlreadyStarted (it was started, or has ended). A fence refused in
  //   `done` carries the stored answer.
  RegisterResult Apply(const RegisterCommand& command, uint64_t wall_millis);

  // Removes the keys whose retention has passed at the leader's wall time.
  void Expire(uint64_t wall_millis);

  // Returns the number of keys.
  size_t size() const { return entries_.size(); }
  // Returns each guard with keys in `started`.
  std::vector<GuardIncarnation> StartedGuards() const;

  RegisterSnapshot Snapshot() const;
  // Replaces the content. The policy is kept.
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
  // Milliseconds that advance with the proposers' wall times, but not with
  // their jumps.
  uint64_t time_ = 0;
  uint64_t last_wall_millis_ = 0;
  std::unordered_map<std::string, RegisterEntry> entries_;
  // Time of the last change and key, oldest first.
  std::set<std::pair<uint64_t, std::string>> by_age_;
  // Guard and key of the entries in `started`.
  std::set<std::pair<std::string, std::string>> started_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_ACTION_REGISTER_H_
