#ifndef SUPPORT_FAULT_PROXY_PROXY_H_
#define SUPPORT_FAULT_PROXY_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "state/state.h"
#include "support/connection_server.h"
#include "support/fault_proxy/connection.h"
#include "support/fault_proxy/fault_settings.h"
#include "support/fault_proxy/flow.h"
#include "transport/transport.h"

namespace gooseberrygap::test_support {

// The `proxy` duty: all links and their connections on one epoll thread.
class Proxy {
 public:
  // Starts the thread. The same seed strikes the same messages of a link.
  explicit Proxy(uint64_t seed);
  // Closes all connections and ends the thread.
  ~Proxy();

  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Answers a request of the control page, see control_page.h. Waits for the
  // epoll thread. Thread-safe.
  state::HttpAnswer Control(const state::HttpRequest& request);

 private:
  struct ControlCall;
  struct ControlRow;
  struct Link {
    const LinkPlan plan_;
    LinkDirection forward_;
    LinkDirection backward_;
    bool refuse_ = false;
    uint64_t accepted_ = 0;
    std::set<uint64_t> connections_ = {};
  };
  struct Listener {
    const int socket_;
    std::vector<Link*> links_ = {};
  };
  using Reply = state::Result<nlohmann::json>;

  // The epoll loop, in proxy.cc.
  void Run();
  void Dispatch(uint64_t tag, uint32_t events);
  void Accept(size_t listener_index);
  void Connect(Link* link, int client);
  void Refresh(uint64_t id);
  void RunTimers();
  state::Millis UntilNextTimer() const;

  // The control requests, in control_page.cc.
  static const std::vector<ControlRow>& ControlRows();
  void AnswerControlCalls();
  Reply AnswerControl(const state::HttpRequest& request);
  Reply ListLinks(const std::string& name, const nlohmann::json& body);
  Reply AddLinks(const std::string& name, const nlohmann::json& body);
  Reply ChangeLink(const std::string& name, const nlohmann::json& body);
  Reply SetGroups(const std::string& name, const nlohmann::json& body);
  state::Result<void> AddLink(const nlohmann::json& object);
  state::Result<void> ApplyPatch(const nlohmann::json& patch, Link* link);
  state::Result<Listener*> ListenerFor(const Address& address);

  const uint64_t seed_;
  const state::SteadyClock clock_;
  const int epoll_;
  WakeEvent wake_;
  transport::Ring<std::shared_ptr<ControlCall>> control_calls_;

  // Owned by the epoll thread.
  BandwidthGroups groups_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  std::vector<std::pair<Address, std::unique_ptr<Listener>>> listeners_;
  struct Entry {
    Link* link_;
    std::unique_ptr<Connection> connection_;
    // The entry's time in `timers_`, or none.
    std::optional<state::Millis> timer_ = {};
  };
  std::map<uint64_t, Entry> connections_;
  std::set<std::pair<state::Millis, uint64_t>> timers_;
  uint64_t next_id_ = 0;

  // Last, so that the thread sees everything above.
  std::unique_ptr<transport::DutyThread> thread_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_PROXY_H_
