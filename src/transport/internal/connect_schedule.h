#ifndef TRANSPORT_INTERNAL_CONNECT_SCHEDULE_H_
#define TRANSPORT_INTERNAL_CONNECT_SCHEDULE_H_

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include "state/state.h"

namespace gooseberrygap::transport {

// Times after which connects to an address are begun again. While an instance
// has no power the packets of a connect are lost, and the kernel repeats the
// first one only after a second: a short time finds an instance soon after its
// start. Each further link to an address that has not answered gets more time,
// so that a host that is slow to accept is reached too. Not thread-safe.
class ConnectSchedule {
 public:
  struct Times {
    // Time after which a connect is given up and begun again.
    const state::Millis connect_ = {};
    // Longest pause between two connects.
    const state::Millis pause_ = {};
    // Whether a link on which nothing comes gives way to one with other times.
    const bool is_replaced_ = false;

    friend bool operator==(const Times&, const Times&) = default;
  };

  // Returns the times for a new link to the address.
  Times OnLinkOpened(const std::string& address) {
    size_t& unanswered = unanswered_links_[address];
    const Times times = kTimes.at(unanswered);
    unanswered = std::min(unanswered + 1, kTimes.size() - 1);
    return times;
  }

  // A message has come on a link to the address.
  void OnReceived(const std::string& address) {
    unanswered_links_.erase(address);
  }

 private:
  // Longer than a round trip between regions of 60 ms with its variation.
  static constexpr std::array<Times, 3> kTimes = {
      {{.connect_ = state::Millis(300),
        .pause_ = state::Millis(100),
        .is_replaced_ = true},
       {.connect_ = state::Millis(1000),
        .pause_ = state::Millis(500),
        .is_replaced_ = true},
       {.connect_ = state::Millis(3500),
        .pause_ = state::Millis(500),
        .is_replaced_ = false}}};

  // Links opened since the last message, by address; at most the last index of
  // kTimes.
  std::map<std::string, size_t> unanswered_links_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_CONNECT_SCHEDULE_H_
