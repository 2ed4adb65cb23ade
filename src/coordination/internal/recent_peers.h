#ifndef COORDINATION_INTERNAL_RECENT_PEERS_H_
#define COORDINATION_INTERNAL_RECENT_PEERS_H_

#include <map>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// The connections on which attempts were received recently, and the time of the
// last one. Not thread-safe.
class RecentPeers {
 public:
  void OnWork(const std::string& connection, state::Millis now) {
    last_work_[connection] = now;
  }

  // Returns the connections whose last attempt is at most kMaxAge old, and
  // removes the others.
  std::vector<std::string> Take(state::Millis now) {
    std::vector<std::string> recent;
    for (auto entry = last_work_.begin(); entry != last_work_.end();) {
      if (now - entry->second > kMaxAge) {
        entry = last_work_.erase(entry);
        continue;
      }
      recent.push_back(entry->first);
      ++entry;
    }
    return recent;
  }

 private:
  static constexpr state::Millis kMaxAge = state::Millis(3000);

  std::map<std::string, state::Millis> last_work_;  // By connection.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RECENT_PEERS_H_
