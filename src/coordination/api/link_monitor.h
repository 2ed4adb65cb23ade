#ifndef COORDINATION_API_LINK_MONITOR_H_
#define COORDINATION_API_LINK_MONITOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

// Finds connections that have gone silent: a request is outstanding, no byte
// has come for a while, and a probe got no answer either. A slow target alone
// does not make a link silent, since its guard answers the probe. Not
// thread-safe.
class LinkMonitor {
 public:
  // Records a message to `address` that will be answered.
  void OnSent(const std::string& address, state::Millis now);
  // Records any message that came back on the connection to `address`.
  void OnReceived(const std::string& address, state::Millis now);

  struct Step {
    Commands commands_;                // Probes, and resets of silent links.
    std::vector<std::string> silent_;  // Addresses whose link was reset.
  };
  // Asks `may_probe` before each probe. Without its consent a link stays
  // unjudged until a later tick.
  Step Tick(state::Millis now,
            absl::FunctionRef<bool(const std::string& address)> may_probe);

 private:
  struct Link {
    state::Millis waiting_since_;
    bool waiting_ = false;
    std::optional<state::Millis> probed_at_;
  };

  std::map<std::string, Link> links_;
  uint64_t next_probe_id_ = 1;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_LINK_MONITOR_H_
