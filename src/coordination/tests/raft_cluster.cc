#include "coordination/tests/raft_cluster.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <stdexcept>
#include <utility>
#include "absl/strings/str_cat.h"

namespace gooseberrygap::coordination {

namespace {

// A node makes a snapshot after this many entries; low, so that runs have many.
constexpr uint64_t kSnapshotEvery = 30;
constexpr int kTickMillis = 10;
constexpr int kElectionLimitMillis = 20000;

void Require(bool condition, const char* what) {
  if (!condition) {
    throw std::logic_error(what);
  }
}

std::set<std::string> VotersOf(
    const std::vector<state::ControlMember>& members) {
  std::set<std::string> voters;
  for (const state::ControlMember& member : members) {
    if (member.voter_) {
      voters.insert(member.identity_);
    }
  }
  return voters;
}

template <class Map>
std::optional<typename Map::mapped_type> Find(const Map& map, uint64_t key) {
  const auto entry = map.find(key);
  return entry == map.end()
             ? std::optional<typename Map::mapped_type>()
             : std::optional<typename Map::mapped_type>(entry->second);
}

}  // namespace

// What survives a crash.
struct RaftCluster::Disk {
  void Write(const RaftBatch& batch) {
    if (batch.truncate_from_ > 0) {
      entries_.erase(entries_.lower_bound(batch.truncate_from_),
                     entries_.end());
    }
    if (batch.snapshot_) {
      snapshot_ = std::make_unique<state::LogSnapshot>(*batch.snapshot_);
      entries_.erase(entries_.begin(), entries_.upper_bound(snapshot_->index_));
    }
    if (batch.vote_) {
      vote_ = std::make_unique<state::VoteRecord>(*batch.vote_);
    }
    for (const state::LogEntry& entry : batch.entries_) {
      Require(entry.index_ == last_index() + 1, "a batch leaves a gap");
      entries_.emplace(entry.index_, entry);
    }
  }
  uint64_t last_index() const {
    const uint64_t base = snapshot_ == nullptr ? 0 : snapshot_->index_;
    return entries_.empty() ? base : entries_.rbegin()->first;
  }
  state::LoadedLog Load() const {
    std::vector<state::LogEntry> entries;
    for (const auto& [index, entry] : entries_) {
      entries.push_back(entry);
    }
    return {.identity_ = identity_,
            .vote_ = *vote_,
            .snapshot_ = snapshot_ == nullptr
                             ? std::optional<state::LogSnapshot>()
                             : std::optional<state::LogSnapshot>(*snapshot_),
            .entries_ = std::move(entries)};
  }

  std::string identity_;
  std::unique_ptr<state::VoteRecord> vote_ =
      std::make_unique<state::VoteRecord>();
  std::unique_ptr<state::LogSnapshot> snapshot_;
  std::map<uint64_t, state::LogEntry> entries_;
};

struct RaftCluster::Node {
  std::string address_;
  std::unique_ptr<Disk> disk_ = std::make_unique<Disk>();
  std::unique_ptr<Raft> raft_;
  std::deque<std::pair<int, RaftBatch>> writing_;  // With the time of the end.
  std::string value_;  // The state machine: the values so far.
  uint64_t applied_ = 0;
  uint64_t snapshot_index_ = 0;
};

struct RaftCluster::Flight {
  int due_ = 0;
  size_t from_ = 0;
  size_t to_ = 0;
  std::shared_ptr<const RaftMessageReceived> message_;
};

RaftCluster::RaftCluster(size_t size, unsigned seed, RaftOptions options)
    : random_(seed),
      options_(options),
      faults_(std::make_unique<FaultOptions>()) {
  for (size_t i = 0; i < size; ++i) {
    AddNode();
  }
}

RaftCluster::~RaftCluster() = default;

bool RaftCluster::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

int RaftCluster::Between(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

size_t RaftCluster::AddNode() {
  nodes_.push_back(std::make_unique<Node>());
  nodes_.back()->address_ = absl::StrCat("node-", nodes_.size());
  LoseDisk(size() - 1);
  return size() - 1;
}

void RaftCluster::Start(size_t node) {
  Node& started = *nodes_[node];
  started.value_.clear();
  started.applied_ = 0;
  started.snapshot_index_ = 0;
  started.raft_ = std::make_unique<Raft>(options_, started.disk_->Load(),
                                         random_, state::Millis(now_));
}

void RaftCluster::Form() {
  std::vector<state::ControlMember> members;
  for (size_t i = 0; i < size(); ++i) {
    members.push_back(MemberOf(i));
  }
  for (size_t i = 0; i < size(); ++i) {
    Give(i, RaftForm{.tag_ = next_number_++, .members_ = members});
  }
}

void RaftCluster::SetFaults(const FaultOptions& faults) {
  faults_ = std::make_unique<FaultOptions>(faults);
}

void RaftCluster::Run(int millis) {
  for (const int end = now_ + millis; now_ < end;) {
    ++now_;
    Deliver();
    for (size_t i = 0; i < size(); ++i) {
      FinishWrites(i);
      if (IsUp(i) && now_ % kTickMillis == 0) {
        Give(i, RaftTick{});
      }
    }
  }
}

void RaftCluster::Deliver() {
  std::vector<Flight> due;
  std::vector<Flight> later;
  for (Flight& flight : flights_) {
    (flight.due_ <= now_ ? due : later).push_back(std::move(flight));
  }
  flights_.swap(later);
  for (const Flight& flight : due) {
    if (IsUp(flight.to_) && !IsCut(flight.to_) && !IsCut(flight.from_)) {
      Give(flight.to_, *flight.message_);
    }
  }
}

void RaftCluster::FinishWrites(size_t node) {
  Node& writer = *nodes_[node];
  while (!writer.writing_.empty() && writer.writing_.front().first <= now_) {
    const uint64_t sequence = writer.writing_.front().second.sequence_;
    writer.disk_->Write(writer.writing_.front().second);
    writer.writing_.pop_front();
    Give(node, RaftPersisted{.sequence_ = sequence});
  }
}

void RaftCluster::Cut(size_t node, bool cut) {
  if (cut) {
    cut_.insert(node);
  } else {
    cut_.erase(node);
  }
}

void RaftCluster::Crash(size_t node) {
  Node& crashed = *nodes_[node];
  crashed.raft_.reset();
  const int written = Between(0, static_cast<int>(crashed.writing_.size()));
  for (int i = 0; i < written; ++i) {
    crashed.disk_->Write(crashed.writing_[static_cast<size_t>(i)].second);
  }
  crashed.writing_.clear();
}

void RaftCluster::LoseDisk(size_t node) {
  Crash(node);
  nodes_[node]->disk_ = std::make_unique<Disk>();
  nodes_[node]->disk_->identity_ = absl::StrCat("id-", next_number_++);
  Start(node);
}

bool RaftCluster::IsUp(size_t node) const {
  return nodes_[node]->raft_ != nullptr;
}

Raft& RaftCluster::raft(size_t node) {
  return *nodes_[node]->raft_;
}

state::ControlMember RaftCluster::MemberOf(size_t node) const {
  return {.identity_ = IdentityOf(node),
          .instance_ = nodes_[node]->address_,
          .address_ = nodes_[node]->address_};
}

const std::string& RaftCluster::IdentityOf(size_t node) const {
  return nodes_[node]->disk_->identity_;
}

std::set<std::string> RaftCluster::Voters(size_t node) const {
  return VotersOf(nodes_[node]->raft_->members());
}

std::optional<size_t> RaftCluster::Leader() const {
  std::optional<size_t> leader;
  for (size_t i = 0; i < size(); ++i) {
    if (IsUp(i) && nodes_[i]->raft_->role() == RaftRole::kLeader &&
        (!leader ||
         nodes_[*leader]->raft_->term() < nodes_[i]->raft_->term())) {
      leader = i;
    }
  }
  return leader;
}

size_t RaftCluster::WaitForLeader() {
  Require(RunUntil([&] { return Leader().has_value(); }, kElectionLimitMillis),
          "no leader is elected");
  return *Leader();
}

void RaftCluster::Give(size_t node, const RaftEvent& event) {
  Carry(node, nodes_[node]->raft_->Handle(event, state::Millis(now_)));
}

void RaftCluster::Carry(size_t node, const Raft::Step& step) {
  Node& owner = *nodes_[node];
  if (step.batch_) {
    const int begin =
        owner.writing_.empty() ? now_ : owner.writing_.back().first;
    owner.writing_.emplace_back(begin + Between(1, faults_->max_write_),
                                *step.batch_);
  }
  for (const Command& command : step.commands_) {
    const auto* send = std::get_if<SendToPeer>(&command);
    const auto* reply = std::get_if<ReplyToPeer>(&command);
    const PeerMessage& message =
        send != nullptr ? send->message_ : reply->message_;
    CheckDurable(owner, message);
    Post(node, send != nullptr ? send->address_ : reply->connection_, message);
  }
  if (step.restore_) {
    owner.value_ = step.restore_->content_.ToString();
    owner.applied_ = step.restore_->index_;
    owner.snapshot_index_ = step.restore_->index_;
  }
  for (const state::LogEntry& entry : step.committed_) {
    Apply(&owner, entry);
  }
  for (const ProposalEnd& end : step.ended_) {
    ends_.emplace(end.tag_, end);
    acknowledged_index_ = std::max(acknowledged_index_, end.index_);
  }
  for (const ReadAnswer& answer : step.reads_) {
    Require(
        !answer.confirmed_ || (answer.index_ >= read_floors_[answer.read_id_] &&
                               owner.applied_ >= answer.index_),
        "a read went back");
    answers_.emplace(answer.read_id_, answer);
  }
  if (step.role_change_ && step.role_change_->role_ == RaftRole::kLeader) {
    const auto [entry, inserted] =
        leaders_.emplace(step.role_change_->term_, IdentityOf(node));
    Require(entry->second == IdentityOf(node), "a term has two leaders");
  }
  if (owner.applied_ >= owner.snapshot_index_ + kSnapshotEvery) {
    owner.snapshot_index_ = owner.applied_;
    Carry(node, owner.raft_->Handle(
                    RaftSnapshotMade{.index_ = owner.applied_,
                                     .content_ = state::Bytes(owner.value_)},
                    state::Millis(now_)));
  }
}

// A message must not promise what a crash would undo.
void RaftCluster::CheckDurable(const Node& node,
                               const PeerMessage& message) const {
  const state::VoteRecord& vote = *node.disk_->vote_;
  if (const auto* reply = std::get_if<VoteReply>(&message)) {
    Require(!reply->granted_ || reply->pre_vote_ ||
                vote == state::VoteRecord{.term_ = reply->term_,
                                          .voted_for_ = reply->to_},
            "a vote left before it was durable");
    const auto& members = node.raft_->members();
    Require(std::any_of(members.begin(), members.end(),
                        [&](const state::ControlMember& member) {
                          return member.identity_ == node.disk_->identity_;
                        }),
            "a member outside the list voted");
  }
  if (const auto* request = std::get_if<VoteRequest>(&message)) {
    Require(request->pre_vote_ || vote.voted_for_ == node.disk_->identity_,
            "a candidate may forget its own vote");
  }
  if (const auto* reply = std::get_if<AppendReply>(&message)) {
    Require(reply->term_ <= vote.term_, "a term left before it was durable");
    Require(!reply->success_ || reply->index_ <= node.disk_->last_index(),
            "an entry was acknowledged before it was durable");
  }
}

void RaftCluster::Post(size_t from,
                       const std::string& to,
                       const PeerMessage& message) {
  const auto target =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const auto& node) { return node->address_ == to; });
  if (target == nodes_.end() || Chance(faults_->drop_)) {
    return;
  }
  const auto received =
      std::make_shared<const RaftMessageReceived>(RaftMessageReceived{
          .connection_ = nodes_[from]->address_, .message_ = message});
  for (int copy = Chance(faults_->duplicate_) ? 0 : 1; copy < 2; ++copy) {
    flights_.push_back(
        Flight{.due_ = now_ + Between(faults_->min_delay_, faults_->max_delay_),
               .from_ = from,
               .to_ = static_cast<size_t>(target - nodes_.begin()),
               .message_ = received});
  }
}

void RaftCluster::Apply(Node* node, const state::LogEntry& entry) {
  Require(entry.index_ == node->applied_ + 1, "entries are applied with a gap");
  const auto [seen, inserted] = committed_.emplace(entry.index_, entry);
  Require(seen->second == entry, "a committed entry changed");
  node->applied_ = entry.index_;
  if (entry.kind_ == state::LogEntryKind::kCommand) {
    absl::StrAppend(&node->value_, entry.payload_.view(), ",");
  }
}

uint64_t RaftCluster::Propose(size_t node) {
  const uint64_t tag = next_number_++;
  Give(node,
       RaftPropose{.tag_ = tag, .payload_ = state::Bytes(absl::StrCat(tag))});
  return tag;
}

uint64_t RaftCluster::Add(size_t node, size_t added) {
  const uint64_t tag = next_number_++;
  Give(node, RaftAddMember{.tag_ = tag, .member_ = MemberOf(added)});
  return tag;
}

uint64_t RaftCluster::Remove(size_t node, const std::string& identity) {
  const uint64_t tag = next_number_++;
  Give(node, RaftRemoveMember{.tag_ = tag, .identity_ = identity});
  return tag;
}

std::optional<ProposalEnd> RaftCluster::EndOf(uint64_t tag) const {
  return Find(ends_, tag);
}

uint64_t RaftCluster::Read(size_t node) {
  const uint64_t read_id = next_number_++;
  read_floors_.emplace(read_id, acknowledged_index_);
  Give(node, RaftReadIndex{.read_id_ = read_id});
  return read_id;
}

std::optional<ReadAnswer> RaftCluster::AnswerOf(uint64_t read_id) const {
  return Find(answers_, read_id);
}

bool RaftCluster::IsQuiet() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node->raft_ == nullptr ||
           (node->applied_ == committed_.rbegin()->first &&
            node->value_ == nodes_.front()->value_);
  });
}

size_t RaftCluster::Acknowledged() const {
  return static_cast<size_t>(
      std::count_if(ends_.begin(), ends_.end(), [](const auto& row) {
        return row.second.status_ == ProposalStatus::kCommitted;
      }));
}

size_t RaftCluster::Confirmed() const {
  return static_cast<size_t>(
      std::count_if(answers_.begin(), answers_.end(),
                    [](const auto& row) { return row.second.confirmed_; }));
}

void RaftCluster::CheckHistory() const {
  std::set<std::string> voters;
  std::set<std::string> values;
  for (const auto& [index, entry] : committed_) {
    if (entry.kind_ == state::LogEntryKind::kMembers) {
      std::set<std::string> next = VotersOf(entry.members_);
      std::vector<std::string> changed;
      std::set_symmetric_difference(voters.begin(), voters.end(), next.begin(),
                                    next.end(), std::back_inserter(changed));
      Require(voters.empty() || changed.size() <= 1,
              "more than one voter changed at once");
      voters.swap(next);
    }
    Require(entry.payload_.empty() ||
                values.insert(entry.payload_.ToString()).second,
            "a value was applied twice");
  }
  for (const auto& [tag, end] : ends_) {
    if (end.status_ == ProposalStatus::kCommitted) {
      const state::LogEntry& entry = committed_.at(end.index_);
      Require(entry.kind_ == state::LogEntryKind::kMembers ||
                  entry.payload_.view() == absl::StrCat(tag),
              "an acknowledged value was lost");
    } else {
      Require(end.status_ == ProposalStatus::kUnknown ||
                  !values.contains(absl::StrCat(tag)),
              "a value that was reported as not applied was applied");
    }
  }
}

}  // namespace gooseberrygap::coordination
