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

// Returns the member of that identity, or null. Thread-safe.
const state::ControlMember* FindMember(
    const std::vector<state::ControlMember>& members,
    absl::string_view identity);

// Returns how many of `members` vote. Thread-safe.
size_t CountVoters(const std::vector<state::ControlMember>& members);

// The entries in memory: those behind the snapshot and a tail before it, and
// the member lists that they hold. Not thread-safe.
class RaftLog {
 public:
  explicit RaftLog(const state::LoadedLog& log);

  uint64_t first_index() const { return base_index_ + 1; }
  uint64_t last_index() const { return base_index_ + items_.size(); }
  uint64_t last_term() const { return *TermAt(last_index()); }
  bool empty() const { return last_index() == 0; }
  // Returns the term of an entry, also of the one before the first; nothing
  // when it is not known.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  // Precondition: first_index() <= index <= last_index().
  const state::LogEntry& At(uint64_t index) const;
  // Returns the entries from `from` on, up to `to` and to the limits, but at
  // least one. Precondition: first_index() <= from <= to <= last_index().
  std::vector<state::LogEntry> Slice(uint64_t from,
                                     uint64_t to,
                                     uint64_t max_entries,
                                     uint64_t max_bytes) const;
  // Returns the size of the entries behind `after`, up to `last`.
  uint64_t BytesBetween(uint64_t after, uint64_t last) const;
  // Returns the first index of the run of entries with the term of `index`.
  uint64_t FirstOfTermAt(uint64_t index) const;

  // Precondition: the entry has the index last_index() + 1.
  void Append(state::LogEntry entry);
  void TruncateFrom(uint64_t index);
  // Replaces everything by the snapshot.
  void Restore(std::shared_ptr<const state::LogSnapshot> snapshot);
  // Takes over a snapshot of the entries up to its index and drops entries
  // that it covers, but for a tail of the given size.
  void Compact(std::shared_ptr<const state::LogSnapshot> snapshot,
               uint64_t tail_entries,
               uint64_t tail_bytes);

  // Null when there is none.
  const std::shared_ptr<const state::LogSnapshot>& snapshot() const {
    return snapshot_;
  }
  uint64_t snapshot_index() const {
    return snapshot_ == nullptr ? 0 : snapshot_->index_;
  }
  // The latest member list, and the index of its entry or snapshot.
  const std::vector<state::ControlMember>& members() const {
    return members_.rbegin()->second;
  }
  uint64_t members_index() const { return members_.rbegin()->first; }
  // Returns the list in force at `index`.
  const std::vector<state::ControlMember>& MembersAt(uint64_t index) const;

 private:
  struct Item {
    state::LogEntry entry_;
    uint64_t bytes_to_here_ = 0;  // Of all entries up to and with this one.
  };

  uint64_t BytesUpTo(uint64_t index) const;

  uint64_t base_index_ = 0;  // Of the entry before the first.
  uint64_t base_term_ = 0;
  uint64_t base_bytes_ = 0;
  std::deque<Item> items_;
  std::map<uint64_t, std::vector<state::ControlMember>> members_;
  std::shared_ptr<const state::LogSnapshot> snapshot_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_LOG_H_
