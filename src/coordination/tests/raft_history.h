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

// Throws std::logic_error with the message `what` unless `condition` holds.
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

// Records what all members of a group applied and reported, and checks it
// against the guarantees of the log; a violation throws std::logic_error. The
// payload of a proposal is its tag. Not thread-safe.
class RaftHistory {
 public:
  void OnApplied(const state::LogEntry& entry) {
    const auto [seen, inserted] = committed_.emplace(entry.index_, entry);
    Require(seen->second == entry, "a committed entry changed");
  }
  void OnProposalResult(const ProposalResult& result) {
    proposal_results_.emplace(result.tag_, result);
    acknowledged_index_ = std::max(acknowledged_index_, result.index_);
  }
  void OnLeaderElected(uint64_t term, const std::string& identity) {
    Require(leaders_.emplace(term, identity).first->second == identity,
            "a term has two leaders");
  }
  void OnReadStarted(uint64_t read_id) {
    min_read_indexes_.emplace(read_id, acknowledged_index_);
  }
  void OnReadResult(const ReadIndexResult& result, uint64_t applied) {
    Require(!result.confirmed_ ||
                (result.index_ >= min_read_indexes_.at(result.read_id_) &&
                 applied >= result.index_),
            "a confirmed read was stale or not yet applied");
    read_results_.emplace(result.read_id_, result);
  }

  // These return nothing while the proposal or read is pending.
  std::optional<ProposalStatus> StatusOf(uint64_t tag) const {
    const auto result = proposal_results_.find(tag);
    return result == proposal_results_.end() ? std::optional<ProposalStatus>()
                                             : result->second.status_;
  }
  std::optional<bool> IsConfirmed(uint64_t read_id) const {
    const auto result = read_results_.find(read_id);
    return result == read_results_.end() ? std::optional<bool>()
                                         : result->second.confirmed_;
  }
  bool IsCommitted(uint64_t tag) const {
    return StatusOf(tag) == ProposalStatus::kCommitted;
  }
  uint64_t last_index() const { return committed_.rbegin()->first; }
  size_t Acknowledged() const {
    return static_cast<size_t>(
        std::count_if(proposal_results_.begin(), proposal_results_.end(),
                      [&](const auto& row) { return IsCommitted(row.first); }));
  }
  size_t Confirmed() const {
    return static_cast<size_t>(
        std::count_if(read_results_.begin(), read_results_.end(),
                      [](const auto& row) { return row.second.confirmed_; }));
  }

  // Checks that every acknowledged value was applied, that no value was applied
  // twice or although it was reported as not applied, and that each membership
  // change affected at most one voter.
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
    for (const auto& [tag, result] : proposal_results_) {
      const bool applied = values.contains(absl::StrCat(tag));
      if (result.status_ == ProposalStatus::kCommitted) {
        const state::LogEntry& entry = committed_.at(result.index_);
        Require(entry.kind_ == state::LogEntryKind::kMembers ||
                    entry.payload_.view() == absl::StrCat(tag),
                "an acknowledged value was lost");
      } else {
        Require(result.status_ == ProposalStatus::kUnknown || !applied,
                "a value that was reported as not applied was applied");
      }
    }
  }

 private:
  std::map<uint64_t, std::string> leaders_;              // By term.
  std::map<uint64_t, state::LogEntry> committed_;        // By index.
  std::map<uint64_t, ProposalResult> proposal_results_;  // By tag.
  std::map<uint64_t, ReadIndexResult> read_results_;     // By read id.
  std::map<uint64_t, uint64_t> min_read_indexes_;        // By read id.
  uint64_t acknowledged_index_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_TESTS_RAFT_HISTORY_H_
