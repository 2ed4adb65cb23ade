#include <algorithm>
#include <limits>

#include "state/state.h"

namespace gooseberrygap::state {

namespace {

// Limit in milliseconds on the advance of the register time between two
// commands. The leader proposes an expiry every minute, so a longer step means
// that the wall clock jumped or that the group was down; keys then expire
// later.
constexpr uint64_t kMaxTimeStepMillis = 120000;

RegisterResult Granted(const RegisterEntry& entry) {
  return RegisterResult{
      .granted_ = true, .state_ = entry.state_, .attempt_ = entry.attempt_};
}

RegisterResult Refused(RefusalReason reason, const RegisterEntry* entry) {
  if (entry == nullptr) {
    return RegisterResult{.refusal_ = reason};
  }
  return RegisterResult{
      .refusal_ = reason, .state_ = entry->state_, .attempt_ = entry->attempt_};
}

// Returns `result` with the stored answer of an entry in kDone, or a refusal if
// the answer was too large to store.
RegisterResult WithAnswer(const RegisterResult& result,
                          const RegisterEntry& entry) {
  if (entry.answer_dropped_) {
    return Refused(RefusalReason::kAnswerTooLarge, &entry);
  }
  return RegisterResult{.granted_ = result.granted_,
                        .refusal_ = result.refusal_,
                        .state_ = result.state_,
                        .attempt_ = result.attempt_,
                        .answer_ = entry.answer_};
}

size_t SizeOf(const HttpAnswer& answer) {
  size_t size = answer.body_.size();
  for (const HttpHeader& header : answer.headers_) {
    size += header.name_.size() + header.value_.size();
  }
  return size;
}

bool IsOtherRequest(const RegisterCommand& command,
                    const RegisterEntry& entry) {
  return !command.digest_.empty() && !entry.digest_.empty() &&
         command.digest_ != entry.digest_;
}

// Returns whether an earlier fence or release of the same attempt by the same
// request has already opened this entry.
bool IsRepeatedBySameRequest(const RegisterCommand& command,
                             const RegisterEntry& entry) {
  return entry.attempt_ == command.attempt_ + 1 &&
         !command.request_id_.empty() &&
         entry.opened_by_ == command.request_id_;
}

}  // namespace

struct ActionRegister::OperationRow {
  const RegisterOperation operation_;
  const bool checks_digest_;
  const Operation apply_;
};

const ActionRegister::OperationRow ActionRegister::kOperations[] = {
    {RegisterOperation::kBegin, true, &ActionRegister::Begin},
    {RegisterOperation::kStart, true, &ActionRegister::Start},
    {RegisterOperation::kFence, true, &ActionRegister::Fence},
    {RegisterOperation::kRelease, false, &ActionRegister::Release},
    {RegisterOperation::kFinish, false, &ActionRegister::Finish},
    {RegisterOperation::kAbandon, false, &ActionRegister::Abandon},
};

void ActionRegister::SetPolicy(const ActionPolicy& policy) {
  max_keys_ = policy.max_keys_;
  max_answer_bytes_ = policy.max_answer_bytes_;
  retention_ = static_cast<uint64_t>(std::max(0.0, policy.retention_.value()));
}

RegisterResult ActionRegister::Apply(const RegisterCommand& command,
                                     uint64_t wall_millis) {
  AdvanceTime(wall_millis);
  const auto found = entries_.find(command.key_);
  const RegisterEntry* entry =
      found == entries_.end() ? nullptr : &found->second;
  for (const OperationRow& row : kOperations) {
    if (row.operation_ != command.operation_) {
      continue;
    }
    if (row.checks_digest_ && entry != nullptr &&
        IsOtherRequest(command, *entry)) {
      return Refused(RefusalReason::kKeyReused, entry);
    }
    return (this->*row.apply_)(command, entry);
  }
  return Refused(RefusalReason::kBadRequest, entry);
}

RegisterResult ActionRegister::Begin(const RegisterCommand& command,
                                     const RegisterEntry* entry) {
  if (entry == nullptr) {
    return Open(command, nullptr, 1);
  }
  if (entry->state_ == ActionState::kDone) {
    return WithAnswer(Granted(*entry), *entry);
  }
  return Granted(*entry);
}

RegisterResult ActionRegister::Start(const RegisterCommand& command,
                                     const RegisterEntry* entry) {
  if (entry == nullptr) {
    return Refused(RefusalReason::kStaleAttempt, entry);
  }
  if (entry->state_ == ActionState::kStarted &&
      entry->attempt_ == command.attempt_ && entry->nonce_ == command.nonce_ &&
      entry->guard_ == command.guard_) {
    return Granted(*entry);
  }
  if (entry->state_ != ActionState::kOpen) {
    return Refused(RefusalReason::kAlreadyStarted, entry);
  }
  if (entry->attempt_ != command.attempt_) {
    return Refused(RefusalReason::kStaleAttempt, entry);
  }
  const RegisterEntry started{
      .state_ = ActionState::kStarted,
      .attempt_ = entry->attempt_,
      .digest_ = entry->digest_.empty() ? command.digest_ : entry->digest_,
      .guard_ = command.guard_,
      .incarnation_ = command.incarnation_,
      .nonce_ = command.nonce_,
      .changed_at_ = time_};
  Put(command.key_, started);
  return Granted(started);
}

RegisterResult ActionRegister::Fence(const RegisterCommand& command,
                                     const RegisterEntry* entry) {
  if (entry == nullptr) {
    return Open(command, nullptr, command.attempt_ + 1);
  }
  if (entry->state_ == ActionState::kDone) {
    return WithAnswer(Refused(RefusalReason::kAlreadyStarted, entry), *entry);
  }
  if (entry->state_ != ActionState::kOpen) {
    return Refused(RefusalReason::kAlreadyStarted, entry);
  }
  if (entry->attempt_ <= command.attempt_) {
    return Open(command, entry, command.attempt_ + 1);
  }
  // A repeat by the same request is granted again. A fence by another request
  // does not count, since that request may still send the attempt it opened.
  return IsRepeatedBySameRequest(command, *entry)
             ? Granted(*entry)
             : Refused(RefusalReason::kStaleAttempt, entry);
}

RegisterResult ActionRegister::Release(const RegisterCommand& command,
                                       const RegisterEntry* entry) {
  if (entry == nullptr) {
    return Refused(RefusalReason::kStaleAttempt, entry);
  }
  const bool is_own_start = entry->state_ == ActionState::kStarted &&
                            entry->attempt_ == command.attempt_ &&
                            entry->nonce_ == command.nonce_;
  const bool is_open_before = entry->state_ == ActionState::kOpen &&
                              entry->attempt_ == command.attempt_;
  if (is_own_start || is_open_before) {
    return Open(command, entry, command.attempt_ + 1);
  }
  if (entry->state_ != ActionState::kOpen) {
    return Refused(RefusalReason::kAlreadyStarted, entry);
  }
  return IsRepeatedBySameRequest(command, *entry)
             ? Granted(*entry)
             : Refused(RefusalReason::kStaleAttempt, entry);
}

RegisterResult ActionRegister::Finish(const RegisterCommand& command,
                                      const RegisterEntry* entry) {
  // At most one start is granted for each attempt number, so the number
  // identifies the start.
  if (entry == nullptr || entry->attempt_ != command.attempt_ ||
      entry->state_ == ActionState::kOpen) {
    return Refused(RefusalReason::kStaleAttempt, entry);
  }
  if (entry->state_ == ActionState::kDone) {
    return Granted(*entry);
  }
  const bool too_large =
      SizeOf(command.answer_) > static_cast<size_t>(max_answer_bytes_);
  const RegisterEntry done{
      .state_ = ActionState::kDone,
      .attempt_ = entry->attempt_,
      .digest_ = entry->digest_,
      .guard_ = entry->guard_,
      .incarnation_ = entry->incarnation_,
      .nonce_ = entry->nonce_,
      .answer_ = too_large ? HttpAnswer{.status_ = command.answer_.status_}
                           : command.answer_,
      .answer_dropped_ = too_large,
      .changed_at_ = time_};
  Put(command.key_, done);
  return Granted(done);
}

RegisterResult ActionRegister::Abandon(const RegisterCommand& command,
                                       const RegisterEntry*) {
  std::vector<std::string> keys;
  for (auto started = started_keys_.lower_bound({command.guard_, ""});
       started != started_keys_.end() && started->first == command.guard_;
       ++started) {
    if (entries_.at(started->second).incarnation_ < command.incarnation_) {
      keys.push_back(started->second);
    }
  }
  for (const std::string& key : keys) {
    const RegisterEntry& entry = entries_.at(key);
    Put(key, RegisterEntry{.state_ = ActionState::kUnknown,
                           .attempt_ = entry.attempt_,
                           .digest_ = entry.digest_,
                           .guard_ = entry.guard_,
                           .incarnation_ = entry.incarnation_,
                           .nonce_ = entry.nonce_,
                           .changed_at_ = time_});
  }
  return RegisterResult{.granted_ = true};
}

void ActionRegister::Expire(uint64_t wall_millis) {
  AdvanceTime(wall_millis);
  while (!keys_by_change_time_.empty() &&
         keys_by_change_time_.begin()->first + retention_ <= time_) {
    Remove(std::string(keys_by_change_time_.begin()->second));
  }
}

std::vector<GuardIncarnation> ActionRegister::StartedGuards() const {
  std::vector<GuardIncarnation> guards;
  auto started = started_keys_.begin();
  while (started != started_keys_.end()) {
    const std::string& guard = started->first;
    uint64_t lowest = std::numeric_limits<uint64_t>::max();
    for (; started != started_keys_.end() && started->first == guard;
         ++started) {
      lowest = std::min(lowest, entries_.at(started->second).incarnation_);
    }
    guards.push_back(GuardIncarnation{.guard_ = guard, .incarnation_ = lowest});
  }
  return guards;
}

RegisterSnapshot ActionRegister::Snapshot() const {
  std::vector<const std::string*> keys;
  keys.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    keys.push_back(&key);
  }
  std::sort(keys.begin(), keys.end(),
            [](const std::string* left, const std::string* right) {
              return *left < *right;
            });
  std::vector<KeyedRegisterEntry> entries;
  entries.reserve(keys.size());
  for (const std::string* key : keys) {
    entries.push_back(
        KeyedRegisterEntry{.key_ = *key, .entry_ = entries_.at(*key)});
  }
  return RegisterSnapshot{.time_ = time_,
                          .last_wall_millis_ = last_wall_millis_,
                          .entries_ = std::move(entries)};
}

void ActionRegister::Restore(const RegisterSnapshot& snapshot) {
  entries_.clear();
  keys_by_change_time_.clear();
  started_keys_.clear();
  time_ = snapshot.time_;
  last_wall_millis_ = snapshot.last_wall_millis_;
  for (const KeyedRegisterEntry& keyed : snapshot.entries_) {
    Put(keyed.key_, keyed.entry_);
  }
}

void ActionRegister::AdvanceTime(uint64_t wall_millis) {
  if (last_wall_millis_ != 0 && wall_millis > last_wall_millis_) {
    time_ += std::min(wall_millis - last_wall_millis_, kMaxTimeStepMillis);
  }
  last_wall_millis_ = wall_millis;
}

bool ActionRegister::IsFull() const {
  return entries_.size() >= static_cast<size_t>(std::max(0, max_keys_));
}

RegisterResult ActionRegister::Open(const RegisterCommand& command,
                                    const RegisterEntry* entry,
                                    uint64_t attempt) {
  if (entry == nullptr && IsFull()) {
    return Refused(RefusalReason::kRegisterFull, nullptr);
  }
  const bool has_digest = entry != nullptr && !entry->digest_.empty();
  const RegisterEntry open{
      .state_ = ActionState::kOpen,
      .attempt_ = attempt,
      .digest_ = has_digest ? entry->digest_ : command.digest_,
      .opened_by_ = command.operation_ == RegisterOperation::kBegin
                        ? std::string()
                        : command.request_id_,
      .changed_at_ = time_};
  Put(command.key_, open);
  return Granted(open);
}

void ActionRegister::Put(const std::string& key, const RegisterEntry& entry) {
  // Copy first: `key` and `entry` may refer to the entry that is removed.
  const KeyedRegisterEntry keyed{.key_ = key, .entry_ = entry};
  Remove(keyed.key_);
  keys_by_change_time_.emplace(keyed.entry_.changed_at_, keyed.key_);
  if (keyed.entry_.state_ == ActionState::kStarted) {
    started_keys_.emplace(keyed.entry_.guard_, keyed.key_);
  }
  entries_.emplace(keyed.key_, keyed.entry_);
}

void ActionRegister::Remove(const std::string& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  keys_by_change_time_.erase({found->second.changed_at_, key});
  started_keys_.erase({found->second.guard_, key});
  entries_.erase(found);
}

}  // namespace gooseberrygap::state
