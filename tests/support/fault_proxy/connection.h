#ifndef SUPPORT_FAULT_PROXY_CONNECTION_H_
#define SUPPORT_FAULT_PROXY_CONNECTION_H_

#include <array>
#include <cstdint>
#include <optional>

#include "state/state.h"
#include "support/fault_proxy/flow.h"

namespace gooseberrygap::test_support {

// The two ends of a proxied connection.
enum class Side { kClient, kServer };

inline Side OtherOf(Side side) {
  return side == Side::kClient ? Side::kServer : Side::kClient;
}

// A client's connection and the one to the server that belongs to it. Used by
// the epoll thread only.
class Connection {
 public:
  // Takes over the sockets, which must not block. Events of the sockets carry
  // `client_tag` and `client_tag + 1`.
  Connection(int epoll,
             uint64_t client_tag,
             std::array<int, 2> sockets,
             absl::string_view kind,
             LinkDirection* forward,
             LinkDirection* backward,
             state::Millis now);
  // Closes both sockets.
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Handles an epoll event of a side's socket.
  void OnEvent(Side side, uint32_t events, state::Millis now);
  // Passes on what has arrived and updates what epoll reports. Call it after
  // time has passed, or after faults have changed.
  void Update(state::Millis now);
  // Freezes the direction from `side`.
  void FreezeFrom(Side side) { end(side).flow_.Freeze(); }
  // Ends the connection at once.
  void Cut() { ended_ = true; }

  // Returns true when the connection has ended and can be deleted.
  bool ended() const { return ended_; }
  // Returns when Update must be called next without an event.
  std::optional<state::Millis> NextUpdate() const;

 private:
  struct End {
    const int socket_;
    const uint64_t tag_;
    Flow flow_;  // From this side to the other.
    uint32_t registered_ = 0;
    bool in_epoll_ = false;
    // The side has closed; noticed while its flow is stalled.
    bool gone_ = false;
    bool write_blocked_ = false;
    bool write_closed_ = false;
  };

  End& end(Side side) { return ends_[static_cast<size_t>(side)]; }
  const End& end(Side side) const { return ends_[static_cast<size_t>(side)]; }
  void Read(Side side, state::Millis now);
  void WriteTo(Side side, state::Millis now);
  void Fail(Side side);
  void Register(Side side);
  uint32_t WantedEvents(Side side) const;

  const int epoll_;
  std::array<End, 2> ends_;
  bool ended_ = false;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_CONNECTION_H_
