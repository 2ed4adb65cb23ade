#ifndef COORDINATION_INTERNAL_RAFT_LOG_H_
#define COORDINATION_INTERNAL_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/state.h"

namespace gooseberrygap::coordination {

// Returns the member with that identity, or null. Thread-safe.
const state::ControlMember* FindMember(
    const std::vector<state::ControlMember>& members,
    absl::string_view identity);

// Returns the number of voters among `members`. Thread-safe.
size_t CountVoters(const std::vector<state::ControlMember>& members);

// The part of the log in memory: the entries after the snapshot, a limited
// number of the last entries that it covers, and the member lists that they
// contain. Not thread-safe.
class RaftLog {
 public:
  explicit RaftLog(const state::LoadedLog& log);

  uint64_t first_index() const { return base_index_ + 1; }
  uint64_t last_index() const { return base_index_ + stored_entries_.size(); }
  uint64_t last_term() const { return *TermAt(last_index()); }
  bool empty() const { return last_index() == 0; }
  // Returns the term of the entry at `index`, also for first_index() - 1;
  // nothing outside of that range.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  // Precondition: first_index() <= index <= last_index().
  const state::LogEntry& At(uint64_t index) const;
  // Returns the entries from `from` to `to`, or fewer to stay within the
  // limits, but at least one.
  // Precondition: first_index() <= from <= to <= last_index().
  std::vector<state::LogEntry> Slice(uint64_t from,
                                     uint64_t to,
                                     uint64_t max_entries,
                                     uint64_t max_bytes) const;
  // Returns the size in bytes of the entries after `after` up to `last`.
  uint64_t BytesBetween(uint64_t after, uint64_t last) const;
  // Returns the first of the consecutive indexes with the term of `index`.
  uint64_t FirstIndexOfTermAt(uint64_t index) const;

  // Precondition: the entry has the index last_index() + 1.
  void Append(state::LogEntry entry);
  // Removes the entries from `index` on.
  void TruncateFrom(uint64_t index);
  // Replaces the whole content by the snapshot.
  void Restore(std::shared_ptr<const state::LogSnapshot> snapshot);
  // Adopts a snapshot of this log and removes the entries that it covers,
  // except for the last ones within the given limits.
  void Compact(std::shared_ptr<const state::LogSnapshot> snapshot,
               uint64_t retained_entries,
               uint64_t retained_bytes);

  // The latest snapshot; null when there is none.
  const std::shared_ptr<const state::LogSnapshot>& snapshot() const {
    return snapshot_;
  }
  uint64_t snapshot_index() const {
    return snapshot_ == nullptr ? 0 : snapshot_->index_;
  }
  // The latest member list and the index of the entry or snapshot that contains
  // it.
  const std::vector<state::ControlMember>& members() const {
    return members_.rbegin()->second;
  }
  uint64_t members_index() const { return members_.rbegin()->first; }
  // Returns the member list that applies at `index`.
  const std::vector<state::ControlMember>& MembersAt(uint64_t index) const;

 private:
  struct StoredEntry {
    state::LogEntry entry_;
    // Size of all entries up to and including this one.
    uint64_t cumulative_bytes_ = 0;
  };

  uint64_t BytesUpTo(uint64_t index) const;

  // Index, term and cumulative size at the entry before the first in memory.
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  uint64_t base_bytes_ = 0;
  std::deque<StoredEntry> stored_entries_;
  // Member lists by the index of their entry or snapshot.
  std::map<uint64_t, std::vector<state::ControlMember>> members_;
  std::shared_ptr<const state::LogSnapshot> snapshot_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_LOG_H_
