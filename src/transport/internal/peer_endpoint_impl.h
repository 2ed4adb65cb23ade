#ifndef TRANSPORT_INTERNAL_PEER_ENDPOINT_IMPL_H_
#define TRANSPORT_INTERNAL_PEER_ENDPOINT_IMPL_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>
#include "absl/strings/string_view.h"

#include "transport/internal/connect_schedule.h"
#include "transport/internal/poller.h"
#include "transport/internal/zmq_socket.h"
#include "transport/transport.h"

namespace gooseberrygap::transport {

// Owns a ZeroMQ context. Ending it waits until closed sockets have sent what
// their linger time allows.
class ZmqContext {
 public:
  ZmqContext();
  ~ZmqContext();

  ZmqContext(const ZmqContext&) = delete;
  ZmqContext& operator=(const ZmqContext&) = delete;

  void* get() const { return context_; }

 private:
  void* const context_;
};

class PeerEndpointImpl : public PeerEndpoint {
 public:
  PeerEndpointImpl(const Options& options,
                   Handler handler,
                   state::Counters* counters,
                   std::unique_ptr<Poller> poller);
  ~PeerEndpointImpl() override;

  // Binds the ROUTER. Call before StartThread, once.
  state::Result<void> Bind();
  void StartThread();

  bool Send(coordination::SendToPeer command) override;
  bool Reply(coordination::ReplyToPeer command) override;
  bool Reset(coordination::ResetLink command) override;
  std::string address() const override { return address_; }

 private:
  using PeerCommand = std::variant<coordination::SendToPeer,
                                   coordination::ReplyToPeer,
                                   coordination::ResetLink>;

  struct Link {
    Link(std::string address, int fd, ZmqSocket socket)
        : address_(std::move(address)), fd_(fd), socket_(std::move(socket)) {}

    const std::string address_;  // Empty for the ROUTER.
    const int fd_;               // Poll descriptor.
    ZmqSocket socket_;
    state::Millis last_used_;
    state::Millis opened_at_;
    bool is_replaced_if_silent_ = false;
    bool has_received_ = false;
    int unanswered_ = 0;  // Attempts sent without an answer or a cancel.

    void OnAttemptEnded() { unanswered_ = std::max(0, unanswered_ - 1); }
  };

  bool Push(PeerCommand command);

  // All below run on the peer thread.
  void Run();
  // Returns how long to sleep at most; nothing when only an event needs work.
  std::optional<state::Millis> NextWait() const;
  void ExecuteCommands();
  void Execute(const coordination::SendToPeer& command);
  void Execute(const coordination::ReplyToPeer& command);
  void Execute(const coordination::ResetLink& command);
  // Sends `frames` and the encoded message.
  void SendOn(Link* link,
              const std::vector<absl::string_view>& frames,
              const coordination::PeerMessage& message);
  void ReceiveAll();
  // Returns true when the socket has no message left.
  bool ReceiveSome(Link* link);
  void HandleFrames(Link* link, std::vector<std::string> frames);
  // Returns the message, with the body of an attempt charged to the account;
  // `has_room` tells whether it fits.
  state::Result<coordination::PeerMessage> Decode(const std::string& payload,
                                                  bool* has_room);
  // Returns nullptr when the address is not valid.
  Link* DealerFor(const std::string& address);
  Link* AddLink(const std::string& address, ZmqSocket socket);
  void CloseLink(Link* link);
  void CloseUnusedLinks();
  // Returns whether a link to a peer should be closed. The next message opens
  // another one.
  bool IsToBeClosed(const Link& link, state::Millis now) const;

  const Options options_;
  const Handler handler_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  const std::unique_ptr<Poller> poller_;
  Ring<PeerCommand> ring_;
  std::string address_;

  ZmqContext context_;
  std::map<int, std::unique_ptr<Link>> links_;  // By poll descriptor.
  std::map<std::string, Link*> dealers_;        // By address.
  Link* router_ = nullptr;
  ConnectSchedule connect_schedule_;
  // Poll descriptors of sockets that may have messages.
  std::set<int> touched_;
  state::Millis next_link_check_;

  std::unique_ptr<DutyThread> thread_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_PEER_ENDPOINT_IMPL_H_
