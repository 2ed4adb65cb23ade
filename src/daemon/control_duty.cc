#include "daemon/control_duty.h"

#include <algorithm>

namespace gooseberrygap::daemon {

namespace {

using coordination::RaftEvent;

constexpr size_t kRingCapacity = 16384;
// Results of the disk duty. While the control duty stands still, the disk duty
// has at most the batches in its ring to report.
constexpr size_t kRingReserve = 512;
constexpr state::Millis kTickInterval(10);
// Ring items that are handled together and share one write to the disk.
constexpr size_t kMaxBatch = 512;
// Set in the ids of reads for operators, to distinguish them from the ids of
// the control service's reads.
constexpr uint64_t kOperatorReadBit = uint64_t{1} << 63;
// The log in memory and on the disk may have this size, and this many times the
// size of the last snapshot, so that snapshots do not take most of the writes.
constexpr uint64_t kMinLogBytes = uint64_t{8} * 1024 * 1024;
constexpr uint64_t kLogPerSnapshot = 2;

coordination::RaftOptions RaftOptionsFor(const ControlDuty::Options& options) {
  const uint64_t max_voters =
      options.membership_.has_value() ? options.membership_->voters_ : 0;
  return coordination::RaftOptions{.max_voters_ = max_voters};
}

}  // namespace

ControlDuty::ControlDuty(const Options& options, state::Counters* counters)
    : options_(options),
      counters_(counters),
      opener_(options.settings_.data_dir_, counters),
      service_(options.self_,
               options.control_instances_,
               options.incarnation_,
               counters,
               clock_.Now(),
               options.quota_),
      ring_(kRingCapacity, kRingReserve) {
  if (options.membership_.has_value()) {
    seeds_ = options.membership_->seeds_;
    membership_.emplace(*options.membership_);
  }
  raft_.emplace(RaftOptionsFor(options_), state::LoadedLog{}, random_,
                clock_.Now());
  OpenFolder();
}

ControlDuty::~ControlDuty() {
  Stop();
}

void ControlDuty::Stop() {
  ring_.Close();
  if (thread_ != nullptr) {
    thread_->Join();
  }
}

void ControlDuty::Start(transport::PeerEndpoint* peers) {
  peers_ = peers;
  thread_ =
      std::make_unique<transport::DutyThread>("control", [this] { Run(); });
}

bool ControlDuty::CanRejoin() const {
  return std::any_of(seeds_.begin(), seeds_.end(),
                     [this](const std::string& address) {
                       return address != options_.self_.address_;
                     });
}

void ControlDuty::OpenFolder() {
  auto opened = opener_.Open(CanRejoin());
  if (!opened) {
    error_ = opened.error().message_;
    open_at_ = clock_.Now() +
               DataFolderOpener::RetryIntervalAfter(opened.error().kind_);
    return;
  }
  store_ = std::move(opened).value();
  error_.clear();
  lost_data_ = store_->has_damaged_content();
  raft_.emplace(RaftOptionsFor(options_), store_->Load(), random_,
                clock_.Now());
}

void ControlDuty::StartRole() {
  disk_ = std::make_unique<DiskDuty>(
      std::move(store_),
      [this](const state::Result<uint64_t>& result) { OnDiskResult(result); },
      counters_);
  // The ages of what is stored are reckoned from the wall time.
  RaftEvents first_events;
  ProcessControlEvent(
      coordination::ControlTick{.wall_millis_ = state::WallMillis()},
      &first_events);
  // The first step restores the snapshot in the data folder.
  first_events.emplace_back(coordination::RaftTick{});
  ProcessRaftEvents(std::move(first_events));
}

void ControlDuty::OpenFolderIfDue() {
  if (disk_ != nullptr) {
    return;
  }
  if (store_ == nullptr && clock_.Now() >= open_at_) {
    OpenFolder();
  }
  if (store_ != nullptr) {
    StartRole();
  }
}

bool ControlDuty::Post(transport::ReceivedPeerMessage arrival) {
  return ring_.TryPush(Item(std::move(arrival)));
}

void ControlDuty::OnDiskResult(const state::Result<uint64_t>& result) {
  // A lost result would keep a vote or the last entries from counting until the
  // next write.
  if (result) {
    ring_.TryPushReserved(Item(
        RaftEvent(coordination::RaftPersisted{.sequence_ = result.value()})));
  } else {
    ring_.TryPushReserved(Item(DiskFailed{.error_ = result.error()}));
  }
}

void ControlDuty::Run() {
  OpenFolderIfDue();
  state::Millis next_tick = clock_.Now();
  while (!ring_.closed()) {
    const state::Millis wait =
        std::max(state::Millis(0), next_tick - clock_.Now());
    RaftEvents events;
    std::optional<Item> item = ring_.Pop(wait);
    for (size_t i = 0; i < kMaxBatch && item.has_value(); ++i) {
      Dispatch(*item, &events);
      const std::optional<Item> next = ring_.TryPop();
      item.reset();
      if (next.has_value()) {
        item.emplace(*next);
      }
    }
    if (item.has_value()) {
      Dispatch(*item, &events);
    }
    if (clock_.Now() >= next_tick) {
      next_tick = clock_.Now() + kTickInterval;
      OpenFolderIfDue();
      if (works()) {
        Tick(&events);
      }
      if (disk_ != nullptr) {
        disk_->Flush();
      }
      LogOutage(clock_.Now());
    }
    ProcessRaftEvents(std::move(events));
  }
}

void ControlDuty::Dispatch(const Item& item, RaftEvents* raft_events) {
  if (const auto* request = std::get_if<StatusRequest>(&item)) {
    AnswerStatus(request->slot_.get());
    return;
  }
  if (const auto* request = std::get_if<QuotaRequest>(&item)) {
    request->slot_->Put(service_.Quotas(clock_.Now()));
    return;
  }
  if (const auto* seeds = std::get_if<NewSeeds>(&item)) {
    SetSeedsNow(seeds->addresses_);
    return;
  }
  if (std::holds_alternative<LeaveGroup>(item)) {
    // Only the log tells which member leaves; without it, this waits for the
    // folder.
    leaves_ = true;
    next_membership_tick_ = state::Millis(0);
    if (membership_.has_value()) {
      membership_->Leave();
    }
    return;
  }
  if (!works()) {
    return;
  }
  if (const auto* disk_failed = std::get_if<DiskFailed>(&item)) {
    LogDiskFailed(disk_failed->error_);
    return;
  }
  if (const auto* event = std::get_if<RaftEvent>(&item)) {
    if (std::holds_alternative<coordination::RaftPersisted>(*event)) {
      LogDiskWorks();
    }
    raft_events->push_back(*event);
    return;
  }
  if (const auto* request = std::get_if<ReadRequest>(&item)) {
    const uint64_t read_id = next_read_id_++ | kOperatorReadBit;
    pending_reads_.emplace(read_id, request->slot_);
    raft_events->emplace_back(coordination::RaftReadIndex{.read_id_ = read_id});
    return;
  }
  const auto& arrival = std::get<transport::ReceivedPeerMessage>(item);
  if (DispatchMembership(arrival.message_, raft_events)) {
    return;
  }
  const std::string& connection =
      arrival.connection_.empty() ? arrival.address_ : arrival.connection_;
  if (coordination::RecipientOf(arrival.message_) ==
      coordination::MessageRecipient::kLog) {
    raft_events->emplace_back(coordination::RaftMessageReceived{
        .connection_ = connection, .message_ = arrival.message_});
    return;
  }
  ProcessControlEvent(
      coordination::ControlMessage{.connection_ = connection,
                                   .message_ = arrival.message_},
      raft_events);
}

void ControlDuty::Tick(RaftEvents* raft_events) {
  const state::Millis now = clock_.Now();
  raft_events->emplace_back(coordination::RaftTick{});
  TickMembership(now, raft_events);
  ProcessControlEvent(CurrentLogStatus(clock_.Now()), raft_events);
  ProcessControlEvent(
      coordination::ControlTick{.wall_millis_ = state::WallMillis()},
      raft_events);
  if (IsSnapshotDue()) {
    const state::Bytes content(
        protocol::EncodeReplicatedState(service_.Snapshot()));
    snapshot_bytes_ = content.view().size();
    snapshot_made_ = service_.applied_index();
    raft_events->emplace_back(coordination::RaftSnapshotMade{
        .index_ = service_.applied_index(), .content_ = content});
  }
}

bool ControlDuty::IsSnapshotDue() const {
  const auto max_entries =
      static_cast<uint64_t>(options_.settings_.snapshot_entries_);
  const uint64_t max_bytes =
      std::max<uint64_t>(kMinLogBytes, kLogPerSnapshot * snapshot_bytes_);
  return service_.applied_index() > snapshot_made_ &&
         (raft_->EntriesSinceSnapshot() > max_entries ||
          raft_->BytesSinceSnapshot() > max_bytes);
}

}  // namespace gooseberrygap::daemon
