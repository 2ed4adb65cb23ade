#ifndef TRANSPORT_INTERNAL_CALL_SERVER_IMPL_H_
#define TRANSPORT_INTERNAL_CALL_SERVER_IMPL_H_

#include <sys/epoll.h>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/synchronization/notification.h"
#include "transport/api/call_server.h"
#include "transport/api/duty_thread.h"
#include "transport/api/ring.h"
#include "transport/internal/accept_pause.h"
#include "transport/internal/call_connection.h"
#include "transport/internal/listen_socket.h"
#include "transport/internal/memory_relief.h"
#include "transport/internal/poller.h"

namespace gooseberrygap::transport {

inline constexpr uint32_t kAlways = EPOLLRDHUP;
inline constexpr uint32_t kReadable = EPOLLIN;
inline constexpr uint32_t kWritable = EPOLLOUT;
inline constexpr uint32_t kNone = 0;

struct GivenAnswer {
  uint64_t request_id_ = 0;
  state::HttpAnswer answer_;
};
struct NewLimits {
  size_t listener_ = 0;
  state::CallerLimits limits_;
};
struct CloseAfterAnswer {};
struct StopAccepting {};
using Order =
    std::variant<GivenAnswer, NewLimits, CloseAfterAnswer, StopAccepting>;

// The state of a call server. call_server.cc runs the thread, its orders and
// its regular checks, call_server_connections.cc accepts, reads and continues
// connections.
class CallServerImpl : public CallServer {
 public:
  CallServerImpl(const Options& options,
                 std::vector<ListenSocket> listeners,
                 std::unique_ptr<Poller> poller,
                 Handler* handler,
                 state::Counters* counters);
  ~CallServerImpl() override;

  void Answer(uint64_t request_id, state::HttpAnswer answer) override;
  void SetLimits(size_t listener, const state::CallerLimits& limits) override;
  void CloseAfterAnswers() override { Give(CloseAfterAnswer{}); }
  void StopGracefully() override;
  const std::vector<std::string>& addresses() const override {
    return addresses_;
  }

 private:
  // Limits cannot be assigned, since their members are constant.
  using Limits = std::shared_ptr<const state::CallerLimits>;

  static Limits MakeLimits(const state::CallerLimits& limits);
  void Give(Order order);
  void Run();
  // Returns how long to sleep at most; nothing when only an event needs work.
  std::optional<state::Millis> NextWait() const;

  void WatchListeners(uint32_t events);
  void On(const GivenAnswer& given);
  void On(const NewLimits& order);
  void On(const CloseAfterAnswer&);
  void On(const StopAccepting&);
  void CloseAfterPending();
  void OnReady(int descriptor);
  void Accept(size_t listener);
  void PauseAccepting();
  void Read(CallConnection* connection);

  // Reads what has arrived and passes whole requests to the handler.
  void TakeRequests(CallConnection* connection);

  CallConnection::Take TakeFor(CallConnection* connection);

  // Goes on with the requests that waited for room, the oldest first.
  void ReadHeld();

  // Sends what is ready, reads what was left, and removes what has ended.
  void Continue(CallConnection* connection);

  void Remove(CallConnection* connection);
  void CheckTime();

  // Closes connections that hold room while others need it.
  void Relieve(state::Millis now);

  void CloseIdle();
  std::vector<CallConnection*> All() const;

  const Options options_;
  Handler* const handler_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  const std::unique_ptr<Poller> poller_;
  std::vector<ListenSocket> listeners_;
  std::vector<std::string> addresses_;
  Ring<Order> ring_;
  std::vector<Limits> limits_;  // By index of the listener.
  std::map<int, std::unique_ptr<CallConnection>> connections_;
  std::map<uint64_t, CallConnection*> requests_;  // Without an answer.
  uint64_t next_request_ = 1;
  bool closes_ = false;
  bool stopping_ = false;
  state::Millis check_at_;
  AcceptPause pause_;
  MemoryRelief relief_;
  size_t refused_for_room_ = 0;  // Since the last check of the time.
  uint64_t next_connection_ = 1;
  uint64_t waiter_ = 0;
  // Bytes were given back to the account after a refusal.
  std::atomic<bool> has_room_ = false;
  absl::Notification all_answered_;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_CALL_SERVER_IMPL_H_
