#ifndef DAEMON_NODE_DUTY_H_
#define DAEMON_NODE_DUTY_H_

#include <atomic>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "absl/random/random.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// A snapshot of the node's state for the administration endpoints.
struct NodeView {
  const coordination::NodeStatus status_ = {};
  const state::IndexedConfiguration configuration_ = {};
  const std::vector<state::TargetRecord> targets_ = {};
};

// Receives the node's answers and configurations for a front. Called on the
// node thread; must not block.
class NodeListener {
 public:
  virtual ~NodeListener() = default;
  // Called for each answered call, also for calls of other fronts.
  virtual void OnAnswer(uint64_t call_id,
                        const coordination::CallAnswer& answer) = 0;
  // Called for each answered announcement, also for those to other fronts.
  virtual void OnAnnouncementAnswered(uint64_t call_id, bool acknowledged) = 0;
  // Called when another configuration comes into force.
  virtual void OnConfiguration(
      const state::IndexedConfiguration& configuration) = 0;
};

using CallSlots = transport::AnswerSlots<coordination::CallAnswer>;

// The `node` duty: passes the events of its ring to the node, and executes the
// resulting commands through the peer endpoint, the target client, the answer
// slots and the listeners.
class NodeDuty {
 public:
  struct Options {
    const coordination::Node::Options node_ = {};
    const int target_workers_ = 16;
    // Accepts target answers without a length that end with their connection.
    const bool accepts_until_close_ = false;
    // Charged for the answers of the target.
    const std::shared_ptr<transport::ByteAccount> account_ = {};
    const state::Millis stall_ = {};  // See TargetClient::Options.
  };

  // `dialect`, `slots` and `counters` must outlive the duty.
  NodeDuty(const Options& options,
           const protocol::TargetDialect* dialect,
           CallSlots* slots,
           state::Counters* counters);
  ~NodeDuty();

  // Adds a listener, which must outlive the duty. Call it before Start.
  void AddListener(NodeListener* listener);
  // Starts the thread. `peers` must outlive the duty. Call it once.
  void Start(transport::PeerEndpoint* peers);
  // Stops the threads; events that are posted later are refused.
  void Stop();

  // Queues an event for the node. Returns false when the ring is full or
  // closed. Thread-safe.
  bool Post(coordination::NodeEvent event);

  // Hands an announcement to the node and returns whether it is acknowledged,
  // which for a withdrawal takes until the control group has stored it. Blocks
  // for at most 2 s. Thread-safe.
  bool Announce(const coordination::TargetAnnounced& announced);

  // Returns whether callers should be sent to this daemon. Thread-safe.
  bool is_ready() const { return ready_.load(); }
  // Returns a snapshot of the node, or nothing when the duty does not answer
  // within 2 s. Blocks. Thread-safe.
  std::optional<NodeView> View();

 private:
  using ViewSlot = transport::AnswerSlot<NodeView>;
  struct ViewRequest {
    std::shared_ptr<ViewSlot> slot_;
  };
  using Item = std::variant<coordination::NodeEvent, ViewRequest>;

  void Run();
  void Handle(const coordination::NodeEvent& event);
  // Logs the counters in kStatusFields every 10 s.
  void LogStatus();
  void CarryOut(const coordination::SendToPeer& command);
  void CarryOut(const coordination::ReplyToPeer& command);
  void CarryOut(const coordination::ResetLink& command);
  void CarryOut(const coordination::AnswerCall& command);
  void CarryOut(const coordination::DeliverToTarget& command);
  void CarryOut(const coordination::CancelDelivery& command);
  void CarryOut(const coordination::AnswerAnnouncement& command);
  void CarryOut(const coordination::WriteLog& command);

  const state::SteadyClock clock_;
  absl::BitGen random_;
  const protocol::TargetDialect* const dialect_;
  CallSlots* const slots_;
  transport::AnswerSlots<bool> announcement_slots_;
  std::vector<NodeListener*> listeners_;
  std::atomic<bool> ready_ = false;
  coordination::Node node_;
  transport::Ring<Item> ring_;
  std::unique_ptr<transport::TargetClient> target_client_;
  transport::PeerEndpoint* peers_ = nullptr;
  // Events that result from the commands carried out last.
  std::vector<coordination::NodeEvent> follow_ups_;
  uint64_t logged_index_ = 0;
  state::Counters* const counters_;
  state::Millis next_status_log_;
  std::unique_ptr<transport::DutyThread> thread_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_NODE_DUTY_H_
