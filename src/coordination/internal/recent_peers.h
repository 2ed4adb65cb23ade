#ifndef COORDINATION_INTERNAL_RECENT_PEERS_H_
#define COORDINATION_INTERNAL_RECENT_PEERS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::coordination {

// The connections on which attempts were received recently. Not thread-safe.
class RecentPeers {
 public:
  void OnWork(const std::string& connection, state::Millis now) {
    Peer& peer = peers_[connection];
    peer.previous_work_ = peer.last_work_;
    peer.last_work_.emplace(now);
  }

  // Returns the connections that have received two attempts within kMaxAge, and
  // forgets those without a recent one. A daemon that has sent only one chooses
  // among many targets, and will hardly choose this one again while a report of
  // its load is fresh.
  std::vector<std::string> TakeFrequent(state::Millis now) {
    std::vector<std::string> frequent;
    for (auto entry = peers_.begin(); entry != peers_.end();) {
      const Peer& peer = entry->second;
      if (now - *peer.last_work_ > kMaxAge) {
        entry = peers_.erase(entry);
        continue;
      }
      if (peer.previous_work_.has_value() &&
          now - *peer.previous_work_ <= kMaxAge) {
        frequent.push_back(entry->first);
      }
      ++entry;
    }
    return frequent;
  }

 private:
  struct Peer {
    std::optional<state::Millis> previous_work_;
    std::optional<state::Millis> last_work_;
  };

  static constexpr state::Millis kMaxAge = state::Millis(3000);

  std::map<std::string, Peer> peers_;  // By connection.
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RECENT_PEERS_H_
