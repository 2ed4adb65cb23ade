#include "coordination/internal/raft_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrygap::coordination {

namespace {

// Estimated size of an entry in a message apart from its payload, and of each
// member that it lists.
constexpr uint64_t kEntryOverheadBytes = 32;
constexpr uint64_t kMemberBytes = 128;

uint64_t SizeOf(const state::LogEntry& entry) {
  return kEntryOverheadBytes + entry.payload_.size() +
         kMemberBytes * entry.members_.size();
}

}  // namespace

const state::ControlMember* FindMember(
    const std::vector<state::ControlMember>& members,
    absl::string_view identity) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const state::ControlMember& member) {
                                    return member.identity_ == identity;
                                  });
  return found == members.end() ? nullptr : &*found;
}

size_t CountVoters(const std::vector<state::ControlMember>& members) {
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(),
      [](const state::ControlMember& member) { return member.voter_; }));
}

RaftLog::RaftLog(const state::LoadedLog& log) {
  members_.try_emplace(0);
  if (log.snapshot_) {
    Restore(std::make_shared<const state::LogSnapshot>(*log.snapshot_));
  }
  for (const state::LogEntry& entry : log.entries_) {
    Append(entry);
  }
}

std::optional<uint64_t> RaftLog::TermAt(uint64_t index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term_;
}

const state::LogEntry& RaftLog::At(uint64_t index) const {
  return stored_entries_[index - first_index()].entry_;
}

std::vector<state::LogEntry> RaftLog::Slice(uint64_t from,
                                            uint64_t to,
                                            uint64_t max_entries,
                                            uint64_t max_bytes) const {
  std::vector<state::LogEntry> entries;
  for (uint64_t index = from; index <= to; ++index) {
    const bool over_limit = entries.size() >= max_entries ||
                            BytesBetween(from - 1, index) > max_bytes;
    if (over_limit && !entries.empty()) {
      break;
    }
    entries.push_back(At(index));
  }
  return entries;
}

uint64_t RaftLog::BytesUpTo(uint64_t index) const {
  if (index <= base_index_ || stored_entries_.empty()) {
    return base_bytes_;
  }
  return stored_entries_[std::min(index, last_index()) - first_index()]
      .cumulative_bytes_;
}

uint64_t RaftLog::BytesBetween(uint64_t after, uint64_t last) const {
  return after >= last ? 0 : BytesUpTo(last) - BytesUpTo(after);
}

uint64_t RaftLog::FirstIndexOfTermAt(uint64_t index) const {
  const std::optional<uint64_t> term = TermAt(index);
  while (index > first_index() && TermAt(index - 1) == term) {
    --index;
  }
  return index;
}

void RaftLog::Append(state::LogEntry entry) {
  if (entry.kind_ == state::LogEntryKind::kMembers) {
    state::Replace(&members_, entry.index_, entry.members_);
  }
  const uint64_t bytes = BytesUpTo(last_index()) + SizeOf(entry);
  stored_entries_.push_back(
      StoredEntry{.entry_ = std::move(entry), .cumulative_bytes_ = bytes});
}

void RaftLog::TruncateFrom(uint64_t index) {
  while (!stored_entries_.empty() && last_index() >= index) {
    stored_entries_.pop_back();
  }
  members_.erase(members_.lower_bound(index), members_.end());
}

void RaftLog::Restore(std::shared_ptr<const state::LogSnapshot> snapshot) {
  base_bytes_ = BytesUpTo(last_index());
  stored_entries_.clear();
  base_index_ = snapshot->index_;
  base_term_ = snapshot->term_;
  members_.clear();
  members_.emplace(snapshot->index_, snapshot->members_);
  snapshot_ = std::move(snapshot);
}

void RaftLog::Compact(std::shared_ptr<const state::LogSnapshot> snapshot,
                      uint64_t retained_entries,
                      uint64_t retained_bytes) {
  snapshot_ = std::move(snapshot);
  const uint64_t index = snapshot_->index_;
  while (!stored_entries_.empty() && first_index() <= index &&
         (index - base_index_ > retained_entries ||
          BytesBetween(base_index_, index) > retained_bytes)) {
    base_term_ = stored_entries_.front().entry_.term_;
    base_bytes_ = stored_entries_.front().cumulative_bytes_;
    stored_entries_.pop_front();
    ++base_index_;
  }
  // The list that applies at the first entry in memory is still needed.
  members_.erase(members_.begin(),
                 std::prev(members_.upper_bound(base_index_)));
}

const std::vector<state::ControlMember>& RaftLog::MembersAt(
    uint64_t index) const {
  return std::prev(members_.upper_bound(index))->second;
}

}  // namespace gooseberrygap::coordination
