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

#include "transport/internal/body_exchange.h"
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

inline constexpr state::Millis kLinkCheckInterval(1000);

// Follow the peer's routing id in the connections that the handler gets, so
// that a reply needs no table of the peers' builds.
constexpr char kNoOffers = '0';
constexpr char kAcceptsOffers = '1';

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
    state::Millis reported_at_;  // Activity.
    bool is_replaced_if_silent_ = false;
    bool has_received_ = false;
    int unanswered_ = 0;  // Attempts sent without an answer or a cancel.
    // Whether the peer's build knows body offers, once a message has come.
    std::optional<bool> accepts_offers_;

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
  // Sends the message, and its body as far as the peer's build and memory
  // allow. Precondition: the link is a peer's.
  void SendTo(Link* link, const coordination::SendToPeer& command);
  // Delivers the refusal of an attempt that was not sent.
  void RefuseUnsent(const std::string& address,
                    const coordination::Attempt& attempt,
                    state::RefusalReason reason);
  // Reports that a part of a body, or a credit for one, has come on the link.
  void ReportActivity(Link* link);
  // Sends `frames` and the encoded message.
  void SendOn(Link* link,
              const std::vector<absl::string_view>& frames,
              const coordination::PeerMessage& message);
  // Returns false when it could not be sent.
  bool SendEncoded(Link* link,
                   const std::vector<absl::string_view>& frames,
                   std::string payload);

  // What the exchange of bodies sends and delivers.
  BodyExchange::Port ExchangePort();
  // Return the link, or nullptr if it is closed, and the frames before the
  // payload.
  Link* LinkOf(const TransferLink& link);
  static std::vector<absl::string_view> FramesOf(const TransferLink& link);
  void ReceiveAll();
  // Returns true when the socket has no message left.
  bool ReceiveSome(Link* link);
  void HandleFrames(Link* link, std::vector<std::string> frames);
  // Handles a message that has come as a whole; the body of an attempt without
  // room in the account is left out.
  void HandleMessage(Link* link,
                     const std::string& connection,
                     coordination::PeerMessage message,
                     bool has_room);
  // Sends the attempts whole that were offered to a peer of an older build.
  void SendUnansweredWhole(Link* link);
  void Deliver(const TransferLink& from, coordination::PeerMessage message);
  // Returns the message, with the body of an attempt charged to the account;
  // `has_room` tells whether it fits.
  state::Result<protocol::PeerFrame> Decode(const std::string& payload,
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
  BodyExchange bodies_;
  uint64_t account_waiter_ = 0;
  // Poll descriptors of sockets that may have messages.
  std::set<int> touched_;
  state::Millis next_link_check_;

  std::unique_ptr<DutyThread> thread_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_PEER_ENDPOINT_IMPL_H_
