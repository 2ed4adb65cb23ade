#ifndef DAEMON_CONTROL_DUTY_H_
#define DAEMON_CONTROL_DUTY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/random/random.h"
#include "daemon/control_outage_log.h"
#include "daemon/data_folder_opener.h"
#include "daemon/disk_duty.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// The `control` duty: connects the replicated log and the control service of
// one control instance, and executes their commands through the peer endpoint
// and the disk duty.
class ControlDuty {
 public:
  struct Options {
    const coordination::ControlAddress self_ = {};
    const std::vector<coordination::ControlAddress> control_instances_ = {};
    const uint64_t incarnation_ = 0;
    const protocol::ControlSettings settings_ = {};
    const coordination::QuotaPolicy quota_ = {};
    // Set for a group that is formed from seeds and replaces its members
    // itself.
    const std::optional<coordination::GroupMembership::Options> membership_ =
        {};
  };

  // Opens the data folder in the settings. If that fails, the duty shows the
  // error in its status, takes no part in the group, and tries again until it
  // stops: the process also serves calls, which need no data folder. `counters`
  // must outlive the duty.
  ControlDuty(const Options& options, state::Counters* counters);
  ~ControlDuty();

  // Starts the threads. `peers` must outlive the duty. Call it once.
  void Start(transport::PeerEndpoint* peers);
  // Stops the threads; events that are posted later are refused.
  void Stop();

  // Queues a peer's message to the control role. Returns false when the ring is
  // full or closed. Thread-safe.
  bool Post(transport::ReceivedPeerMessage arrival);

  // Change the members of the control group. They block for at most a
  // few seconds. Thread-safe.
  state::Result<void> Form(const std::vector<state::ControlMember>& members);
  state::Result<void> AddMember(const state::ControlMember& member);
  state::Result<void> RemoveMember(const std::string& identity);

  // Returns the newest configuration after a quorum has confirmed that it is
  // the newest, or nothing without a confirmation within `timeout`. Blocks.
  // Thread-safe.
  std::optional<state::IndexedConfiguration> ReadConfiguration(
      state::Millis timeout);
  // Returns the last evacuation orders, confirmed in the same way; nothing
  // without a confirmation within `timeout`. Blocks. Thread-safe.
  std::optional<state::Evacuations> ReadEvacuations(state::Millis timeout);
  // Replaces the peer addresses of the seeds. Thread-safe.
  void SetSeeds(const std::vector<std::string>& seeds);

  // Begins to leave a group that replaces its members itself, so that a ready
  // learner takes this member's place before the process ends. Thread-safe.
  void Leave();
  // Waits until the group knows that this member leaves and has replaced it if
  // it can, for at most `timeout`. Returns whether it has; also true for a
  // group whose members an operator changes. Call it after Leave. Blocks.
  // Thread-safe.
  bool WaitUntilLeft(state::Millis timeout);

  // Returns the use of the tenants' quotas, or nothing when the duty does not
  // answer within 2 s. Blocks. Thread-safe.
  std::optional<coordination::QuotaOverview> Quotas();

  // Returns the state of the control role, or nothing when the duty does not
  // answer within 2 s. Blocks. Thread-safe.
  std::optional<protocol::ControlStatus> Status();

 private:
  using StatusSlot = transport::AnswerSlot<protocol::ControlStatus>;
  struct StatusRequest {
    std::shared_ptr<StatusSlot> slot_;
  };
  // What operators read from the replicated state.
  struct OperatorView {
    const state::IndexedConfiguration configuration_ = {};
    const state::Evacuations evacuations_ = {};
  };
  using ReadSlot = transport::AnswerSlot<OperatorView>;
  using QuotaSlot = transport::AnswerSlot<coordination::QuotaOverview>;
  struct QuotaRequest {
    std::shared_ptr<QuotaSlot> slot_;
  };
  struct ReadRequest {
    std::shared_ptr<ReadSlot> slot_;
  };
  struct NewSeeds {
    std::vector<std::string> addresses_;
  };
  struct LeaveGroup {};
  struct DiskFailed {
    const state::Error error_ = {};
  };
  using Item = std::variant<transport::ReceivedPeerMessage,
                            coordination::RaftEvent,
                            StatusRequest,
                            QuotaRequest,
                            ReadRequest,
                            NewSeeds,
                            LeaveGroup,
                            DiskFailed>;
  using RaftEvents = std::vector<coordination::RaftEvent>;

  // Returns whether a seed is the address of another instance.
  bool CanRejoin() const;
  // Tries once to open the data folder.
  void OpenFolder();
  // Begins to take part in the group. Precondition: the data folder is open.
  void StartRole();
  // Tries again to open the data folder, if it is time, and starts the role
  // once it is open.
  void OpenFolderIfDue();
  // Returns whether the role has its log and was not stopped by an error.
  bool works() const { return disk_ != nullptr && !failed_; }
  void SetSeedsNow(const std::vector<std::string>& seeds);
  void Run();
  // Handles an item, or appends it to `raft_events` if it is one for the log.
  void Dispatch(const Item& item, RaftEvents* raft_events);
  void Tick(RaftEvents* raft_events);
  void TickMembership(state::Millis now, RaftEvents* raft_events);
  // Handles a message that concerns the members of the group. Returns whether
  // it is one.
  bool DispatchMembership(const coordination::PeerMessage& message,
                          RaftEvents* raft_events);
  // Handles events of the log, then the events that result from them.
  void ProcessRaftEvents(RaftEvents events);
  void Apply(coordination::Raft::Step step, RaftEvents* raft_events);
  void Apply(const coordination::ControlStep& step, RaftEvents* raft_events);
  void ProcessControlEvent(const coordination::ControlEvent& event,
                           RaftEvents* raft_events);
  void CarryOut(const coordination::Commands& commands);
  void Apply(const coordination::GroupMembership::Step& step,
             RaftEvents* raft_events);
  coordination::GroupView CurrentGroupView(state::Millis now) const;
  void CompleteRead(const coordination::ReadIndexResult& read,
                    RaftEvents* raft_events);
  void CompleteProposal(const coordination::ProposalResult& end,
                        RaftEvents* raft_events);
  coordination::LogStatus CurrentLogStatus(state::Millis now) const;
  // Name of the role for log lines and the status; `failed` while the role or
  // its disk does not work.
  std::string RoleName() const;
  // The error of the stopped role, or of the disk that refuses writes or hangs;
  // empty without one.
  std::string CurrentError() const;
  void AnswerStatus(StatusSlot* slot) const;
  // Returns whether the log since the last snapshot is so long that the next
  // one is due.
  bool IsSnapshotDue() const;
  std::optional<OperatorView> ReadConfirmed(state::Millis timeout);
  void LogOutage(state::Millis now);
  // Proposes a membership change with a new tag and waits for its outcome.
  state::Result<void> ChangeMembership(
      const std::function<coordination::RaftEvent(uint64_t tag)>& make_event);
  void OnDiskResult(const state::Result<uint64_t>& result);
  // Logs a configuration that the committed entries have brought into force.
  void LogConfiguration();
  // Logs the first failed write, and that the disk takes writes again.
  void LogDiskFailed(const state::Error& error);
  void LogDiskWorks();
  // Stops the control role of this daemon, which then sends and answers nothing
  // but its status. Calls are still served.
  void Fail(const state::Error& error);

  const state::SteadyClock clock_;
  const Options options_;
  state::Counters* const counters_;
  absl::BitGen random_;
  DataFolderOpener opener_;
  state::Millis open_at_;  // Of the next try to open the data folder.
  // The open data folder, until the disk duty has it.
  std::unique_ptr<state::LogStore> store_;
  bool lost_data_ = false;  // Damaged content was set aside, now or earlier.
  // Without a member and an identity until the data folder is open.
  std::optional<coordination::Raft> raft_;
  coordination::ControlService service_;
  std::optional<coordination::GroupMembership> membership_;
  std::vector<std::string> seeds_;
  state::Millis next_membership_tick_;
  bool leaves_ = false;
  transport::AnswerSlot<bool> left_slot_;
  // Reads that wait for a quorum, by read id.
  std::map<uint64_t, std::shared_ptr<ReadSlot>> pending_reads_;
  uint64_t next_read_id_ = 1;
  transport::Ring<Item> ring_;
  transport::AnswerSlots<coordination::ProposalResult> change_slots_;
  transport::PeerEndpoint* peers_ = nullptr;
  bool failed_ = false;
  bool disk_failed_ = false;  // The disk refuses writes, which are repeated.
  // Of the stopped role, the failed disk or the data folder.
  std::string error_;
  ControlOutageLog outage_log_;
  uint64_t logged_configuration_ = 0;  // Index.
  uint64_t snapshot_made_ = 0;         // Index of the last snapshot made here.
  uint64_t snapshot_bytes_ = 0;        // Its size.
  std::unique_ptr<DiskDuty> disk_;     // Null until the data folder is open.
  std::unique_ptr<transport::DutyThread> thread_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_CONTROL_DUTY_H_
