#ifndef COORDINATION_TESTS_RAFT_HISTORY_H_
#define COORDINATION_TESTS_RAFT_HISTORY_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>
#include "absl/strings/str_cat.h"

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

inline void Require(bool condition, const char* what) {
  if (!condition) {
    throw std::logic_error(what);
  }
}

inline std::set<std::string> VotersOf(
    const std::vector<state::ControlMember>& members) {
  std::set<std::string> voters;
  for (const state::ControlMember& member : members) {
    if (member.voter_) {
      voters.insert(member.identity_);
    }
  }
  return voters;
}

inline bool HasMember(const std::vector<state::ControlMember>& members,
                      const std::string& identity) {
  return std::any_of(members.begin(), members.end(),
                     [&](const state::ControlMember& member) {
                       return member.identity_ == identity;
                     });
}

// What was seen of a whole group, checked against the promises of the log; a
// broken one throws std::logic_error. A proposal's value is its tag.
class RaftHistory {
 public:
  void OnApplied(const state::LogEntry& entry) {
    const auto [seen, inserted] = committed_.emplace(entry.index_, entry);
    Require(seen->second == entry, "a committed entry changed");
  }
  void OnEnded(const ProposalResult& end) {
    ends_.emplace(end.tag_, end);
    acknowledged_index_ = std::max(acknowledged_index_, end.index_);
  }
  void OnLeader(uint64_t term, const std::string& identity) {
    Require(leaders_.emplace(term, identity).first->second == identity,
            "a term has two leaders");
  }
  void OnReadBegun(uint64_t read_id) {
    read_floors_.emplace(read_id, acknowledged_index_);
  }
  void OnReadAnswered(const ReadIndexResult& answer, uint64_t applied) {
    Require(!answer.confirmed_ ||
                (answer.index_ >= read_floors_.at(answer.read_id_) &&
                 applied >= answer.index_),
            "a read went back");
    answers_.emplace(answer.read_id_, answer);
  }

  // These return nothing while there is no answer.
  std::optional<ProposalStatus> StatusOf(uint64_t tag) const {
    const auto end = ends_.find(tag);
    return end == ends_.end() ? std::optional<ProposalStatus>()
                              : end->second.status_;
  }
  std::optional<bool> IsConfirmed(uint64_t read_id) const {
    const auto answer = answers_.find(read_id);
    return answer == answers_.end() ? std::optional<bool>()
                                    : answer->second.confirmed_;
  }
  bool IsCommitted(uint64_t tag) const {
    return StatusOf(tag) == ProposalStatus::kCommitted;
  }
  uint64_t last_index() const { return committed_.rbegin()->first; }
  size_t Acknowledged() const {
    return static_cast<size_t>(
        std::count_if(ends_.begin(), ends_.end(),
                      [&](const auto& row) { return IsCommitted(row.first); }));
  }
  size_t Confirmed() const {
    return static_cast<size_t>(
        std::count_if(answers_.begin(), answers_.end(),
                      [](const auto& row) { return row.second.confirmed_; }));
  }

  // Checks that acknowledged values are there, that no lost one was applied and
  // that voters changed singly.
  void Check() const {
    std::set<std::string> voters;
    std::set<std::string> values;
    for (const auto& [index, entry] : committed_) {
      if (entry.kind_ == state::LogEntryKind::kMembers) {
        const std::set<std::string> next = VotersOf(entry.members_);
        std::vector<std::string> changed;
        std::set_symmetric_difference(voters.begin(), voters.end(),
                                      next.begin(), next.end(),
                                      std::back_inserter(changed));
        Require(voters.empty() || changed.size() <= 1,
                "more than one voter changed at once");
        voters = next;
      }
      Require(entry.payload_.empty() ||
                  values.insert(entry.payload_.ToString()).second,
              "a value was applied twice");
    }
    for (const auto& [tag, end] : ends_) {
      const bool applied = values.contains(absl::StrCat(tag));
      if (end.status_ == ProposalStatus::kCommitted) {
        const state::LogEntry& entry = committed_.at(end.index_);
        Require(entry.kind_ == state::LogEntryKind::kMembers ||
                    entry.payload_.view() == absl::StrCat(tag),
                "an acknowledged value was lost");
      } else {
        Require(end.status_ == ProposalStatus::kUnknown || !applied,
                "a value that was reported as not applied was applied");
      }
    }
  }

 private:
  std::map<uint64_t, std::string> leaders_;        // By term.
  std::map<uint64_t, state::LogEntry> committed_;  // By index.
  std::map<uint64_t, ProposalResult> ends_;        // By tag.
  std::map<uint64_t, ReadIndexResult> answers_;    // By read id.
  std::map<uint64_t, uint64_t> read_floors_;       // By read id.
  uint64_t acknowledged_index_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_TESTS_RAFT_HISTORY_H_
