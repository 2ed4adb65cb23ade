#ifndef COORDINATION_TESTS_RAFT_CLUSTER_H_
#define COORDINATION_TESTS_RAFT_CLUSTER_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// How messages and writes fare. Times are in milliseconds.
struct FaultOptions {
  const double drop_ = 0;
  const double duplicate_ = 0;
  const int min_delay_ = 1;
  const int max_delay_ = 3;
  const int max_write_ = 4;

  friend bool operator==(const FaultOptions&, const FaultOptions&) = default;
};

// Members of one control group with an in-memory network and disks, on one
// thread, in simulated time. All choices come from the seed. Every step checks
// the promises of the log; a broken one throws std::logic_error.
class RaftCluster {
 public:
  RaftCluster(size_t size, unsigned seed, RaftOptions options = {});
  ~RaftCluster();

  // Starts one more member with an empty data folder, and returns its number.
  size_t AddNode();
  // Forms the group from all nodes.
  void Form();
  void SetFaults(const FaultOptions& faults);
  // Lets time pass, in steps of a millisecond.
  void Run(int millis);
  // Lets time pass until the condition holds; returns whether it did in time.
  template <class Condition>
  bool RunUntil(const Condition& condition, int limit) {
    for (int passed = 0; passed < limit && !condition(); ++passed) {
      Run(1);
    }
    return condition();
  }

  // Cuts all links between the node and the others, or joins them again.
  void Cut(size_t node, bool cut);
  bool IsCut(size_t node) const { return cut_.contains(node); }
  // Stops the node; of the batches not yet reported as durable, only some at
  // the start are written.
  void Crash(size_t node);
  void Restart(size_t node) { Start(node); }
  // Stops the node and starts it with an empty data folder.
  void LoseDisk(size_t node);
  bool IsUp(size_t node) const;

  Raft& raft(size_t node);
  state::ControlMember MemberOf(size_t node) const;
  const std::string& IdentityOf(size_t node) const;
  size_t size() const { return nodes_.size(); }
  // Returns the voters in the node's member list.
  std::set<std::string> Voters(size_t node) const;
  // Returns the node that leads the highest term among those that are up.
  std::optional<size_t> Leader() const;
  size_t WaitForLeader();

  // Hands one event to the node.
  void Give(size_t node, const RaftEvent& event);
  // These return the tag of the proposal, which is also its value.
  uint64_t Propose(size_t node);
  uint64_t Add(size_t node, size_t added);
  uint64_t Remove(size_t node, const std::string& identity);
  std::optional<ProposalEnd> EndOf(uint64_t tag) const;
  // Begins a read at the node; returns its id.
  uint64_t Read(size_t node);
  std::optional<ReadAnswer> AnswerOf(uint64_t read_id) const;
  // Returns whether all nodes that are up have applied everything.
  bool IsQuiet() const;
  // Returns how many proposals were committed, and how many reads confirmed.
  size_t Acknowledged() const;
  size_t Confirmed() const;
  // Checks that no lost proposal was applied and members changed singly.
  void CheckHistory() const;
  std::mt19937& random() { return random_; }

 private:
  struct Disk;
  struct Node;
  struct Flight;

  bool Chance(double probability);
  int Between(int low, int high);
  void Start(size_t node);
  void Carry(size_t node, const Raft::Step& step);
  void CheckDurable(const Node& node, const PeerMessage& message) const;
  void Post(size_t from, const std::string& to, const PeerMessage& message);
  void Apply(Node* node, const state::LogEntry& entry);
  void Deliver();
  void FinishWrites(size_t node);

  std::mt19937 random_;
  const RaftOptions options_;
  std::unique_ptr<FaultOptions> faults_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Flight> flights_;
  std::set<size_t> cut_;
  int now_ = 0;
  uint64_t next_number_ = 1;
  // What was seen of the group.
  std::map<uint64_t, std::string> leaders_;        // By term.
  std::map<uint64_t, state::LogEntry> committed_;  // By index.
  std::map<uint64_t, ProposalEnd> ends_;           // By tag.
  std::map<uint64_t, ReadAnswer> answers_;         // By read id.
  std::map<uint64_t, uint64_t> read_floors_;       // By read id.
  uint64_t acknowledged_index_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_TESTS_RAFT_CLUSTER_H_
