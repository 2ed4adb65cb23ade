#ifndef COORDINATION_API_NODE_H_
#define COORDINATION_API_NODE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "coordination/api/commands.h"
#include "coordination/api/control_client.h"
#include "coordination/api/events.h"
#include "coordination/api/guard.h"
#include "coordination/api/policies.h"

namespace gooseberrygap::coordination {

// A daemon's report of its own status.
struct NodeStatus {
  const uint64_t configuration_index_ = 0;
  const uint64_t configuration_version_ = 0;
  const state::Millis staleness_ = {};
  const state::TargetRecord record_ = {};
  const state::GuardLoad load_ = {};
  const size_t calls_in_progress_ = 0;
  // Attempts that are queued, held back or running at the guard.
  const size_t work_in_progress_ = 0;
  // Reports of finished actions that the register has not confirmed.
  const size_t reports_in_progress_ = 0;
};

// All decisions of a daemon's call path: joins the ingress, the guard, the
// router, the register client, the link monitor and the control client, and
// dispatches events to them. Not thread-safe: the node duty owns it.
class Node {
 public:
  struct Options {
    // This daemon without a target; its version carries the incarnation.
    const state::TargetRecord self_ = {};
    const std::vector<ControlAddress> control_instances_ = {};
    // Time without an announcement after which the target counts as stopped.
    const state::Millis announcement_lifetime_ = kAnnouncementLifetime;
    // Time in which an accepted configuration must be in force here.
    const state::Millis configuration_apply_ = state::Millis(2000);
    const RevocationPolicy revocation_ = {};
    const QuotaPolicy quota_ = {};
    const WarmupTolerance warmup_ = {};
  };

  // `random` and `counters` must outlive the node.
  Node(const Options& options,
       absl::BitGenRef random,
       state::Counters* counters);
  ~Node();

  // Handles an event. The caller must send a Ticked by the time that NextTick
  // returns.
  Commands Handle(const NodeEvent& event, state::Millis now);

  // Returns the time by which the next Ticked must be sent. It is near while a
  // hedge, a deadline or a probe is due, and far when idle, so that an idle
  // daemon rarely wakes.
  state::Millis NextTick(state::Millis now) const;

  // Returns whether this daemon should receive calls: it has a configuration
  // and the targets, both recent enough for actions, and is not draining.
  bool IsReady(state::Millis now) const;

  NodeStatus Status(state::Millis now) const;
  const state::IndexedConfiguration& configuration() const;
  std::vector<state::TargetRecord> Targets() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_NODE_H_
