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

// What the administration endpoints read of the node.
struct NodeView {
  const coordination::NodeStatus status_ = {};
  const state::IndexedConfiguration configuration_ = {};
  const std::vector<state::TargetRecord> targets_ = {};
};

// Learns what the node decides for the fronts. Called on the node thread; must
// not block.
class NodeListener {
 public:
  virtual ~NodeListener() = default;
  // A call has its answer. Calls of other fronts are told too.
  virtual void OnAnswer(uint64_t call_id,
                        const coordination::CallAnswer& answer) = 0;
  virtual void OnConfiguration(
      const state::IndexedConfiguration& configuration) = 0;
};

using CallSlots = transport::AnswerSlots<coordination::CallAnswer>;

// The `node` duty: feeds the node's decisions from its ring, and passes their
// commands to the peer endpoint, the target client and the waiting callers.
class NodeDuty {
 public:
  struct Options {
    const coordination::Node::Options node_ = {};
    const int target_workers_ = 16;
    // Takes answers of the target that end with their connection for whole.
    const bool accepts_until_close_ = false;
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

  // Hands an event to the node. Returns false when the ring is full.
  // Thread-safe.
  bool Post(coordination::NodeEvent event);

  // Returns whether callers should be sent to this daemon. Thread-safe.
  bool is_ready() const { return ready_.load(); }
  // Returns what the node reports, or nothing when it does not answer in time.
  // Thread-safe.
  std::optional<NodeView> View();

 private:
  using ViewSlot = transport::AnswerSlot<NodeView>;
  struct ViewRequest {
    std::shared_ptr<ViewSlot> slot_;
  };
  using Item = std::variant<coordination::NodeEvent, ViewRequest>;

  void Run();
  void Handle(const coordination::NodeEvent& event);
  // Logs the counters that tell most, from time to time.
  void LogStatus();
  void CarryOut(const coordination::SendToPeer& command);
  void CarryOut(const coordination::ReplyToPeer& command);
  void CarryOut(const coordination::ResetLink& command);
  void CarryOut(const coordination::AnswerCall& command);
  void CarryOut(const coordination::DeliverToTarget& command);
  void CarryOut(const coordination::CancelDelivery& command);
  void CarryOut(const coordination::WriteLog& command);

  const state::SteadyClock clock_;
  absl::BitGen random_;
  const protocol::TargetDialect* const dialect_;
  CallSlots* const slots_;
  std::vector<NodeListener*> listeners_;
  std::atomic<bool> ready_ = false;
  coordination::Node node_;
  transport::Ring<Item> ring_;
  std::unique_ptr<transport::TargetClient> target_client_;
  transport::PeerEndpoint* peers_ = nullptr;
  // Events that carrying out commands gave rise to.
  std::vector<coordination::NodeEvent> follow_ups_;
  uint64_t logged_index_ = 0;
  state::Counters* const counters_;
  state::Millis status_at_;
  std::unique_ptr<transport::DutyThread> thread_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_NODE_DUTY_H_
