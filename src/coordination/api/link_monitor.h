#ifndef COORDINATION_API_LINK_MONITOR_H_
#define COORDINATION_API_LINK_MONITOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

// Detects unresponsive connections: a request is outstanding, no message is
// received within a time limit, and a probe remains unanswered too. A slow
// target alone does not make a link unresponsive, since its guard answers the
// probe. Not thread-safe.
class LinkMonitor {
 public:
  // Records a message sent to `address` that expects an answer.
  void OnSent(const std::string& address, state::Millis now);
  // Records any message received on the connection to `address`.
  void OnReceived(const std::string& address, state::Millis now);

  struct Step {
    // Probes, and resets of unresponsive links. A link on which nothing has
    // come since its last reset is kept for a while, so that a slow connect
    // comes through.
    Commands commands_;
    // All links that were found unresponsive, those that are kept too.
    std::vector<std::string> reset_addresses_;
  };
  // Calls `may_probe` before a probe. If it returns false, the link is checked
  // again at a later tick, and probed in any case after 1 s without a message.
  Step Tick(state::Millis now,
            absl::FunctionRef<bool(const std::string& address)> may_probe);

 private:
  struct Link {
    state::Millis waiting_since_;
    bool waiting_ = false;
    std::optional<state::Millis> probed_at_;
    // How long the link is kept after its last reset; 0 when a message has come
    // since.
    state::Millis keep_;
    state::Millis keep_until_;
  };

  std::map<std::string, Link> links_;
  uint64_t next_probe_id_ = 1;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_LINK_MONITOR_H_
