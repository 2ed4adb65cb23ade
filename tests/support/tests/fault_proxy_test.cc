#include <zmq.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "protocol/protocol.h"
#include "support/deployment.h"

namespace gooseberrygap::test_support {
namespace {

using nlohmann::json;
using state::Millis;

constexpr Millis kShort(200);
constexpr uint64_t kMessages = 200;

// Two instances, of which only the target of "a" and the proxy run.
std::unique_ptr<Deployment> StartTarget() {
  auto created = Deployment::Create(
      {.instances_ = {{.name_ = "a",
                       .target_ = TargetSpec{.service_ = "s",
                                             .service_time_mean_ = Millis(0)}},
                      {.name_ = "b"}},
       .proxied_ = {.peer_ = true, .target_ = true}});
  REQUIRE(created.has_value());
  REQUIRE(created.value()->Start(TargetNameOf("a")).has_value());
  return std::move(created.value());
}

json CountsOf(const Deployment& deployment, const std::string& link) {
  return json::parse(deployment.ReadLinks())[link];
}

Address ProxiedTarget(const Deployment& deployment) {
  return deployment.AddressesOf("a").target_for_daemon_;
}

// Guards against a proxy that changes, loses or miscounts bytes.
TEST_CASE("the proxy passes bytes unchanged and counts them") {
  const auto deployment = StartTarget();
  std::mt19937_64 random(1);
  std::string body(3 << 20, '\0');
  std::generate(body.begin(), body.end(),
                [&random] { return static_cast<char>(random()); });
  REQUIRE(deployment
              ->SetLink("target:a", R"({"forward":{"delay_ms":3,"jitter_ms":2},
                                        "backward":{"delay_ms":3}})")
              .has_value());
  const CallAnswer answer =
      CallOnce(ProxiedTarget(*deployment),
               {.method_ = "POST", .path_ = "/x", .body_ = body});
  CHECK(answer.status_ == 200);
  CHECK((answer.body_ == ExpectedEcho("POST", "/x", body)));
  // Two delays of 3 ms cannot take less.
  CHECK(answer.latency_ >= Millis(6));
  const json counts = CountsOf(*deployment, "target:a");
  CHECK(counts["forward"]["bytes"] > body.size());
  CHECK(counts["forward"]["bytes"] < body.size() + 1000);
  CHECK(counts["backward"]["bytes"] > body.size());
  CHECK(counts["forward"]["messages"] == 0);
  CHECK(counts["accepted"] == 1);
}

// Guards against a freeze that also silences new connections, or that ends.
TEST_CASE("only established connections freeze") {
  const auto deployment = StartTarget();
  for (const char* direction : {"forward", "backward", "both"}) {
    Caller established(ProxiedTarget(*deployment));
    CHECK(established.Call({.path_ = "/x"}).status_ == 200);
    REQUIRE(deployment
                ->SetLink("target:a",
                          json({{"freeze_established", direction}}).dump())
                .has_value());
    CHECK(established.Call({.path_ = "/x", .timeout_ = kShort}).status_ == 0);
    CHECK(CallOnce(ProxiedTarget(*deployment), {.path_ = "/x"}).status_ == 200);
  }
}

// Guards against a block that leaks bytes or does not heal.
TEST_CASE("a blocked link passes nothing until it is unblocked") {
  const auto deployment = StartTarget();
  for (const char* direction : {"forward", "backward"}) {
    Caller caller(ProxiedTarget(*deployment));
    CHECK(caller.Call({.path_ = "/x"}).status_ == 200);
    REQUIRE(deployment
                ->SetLink("target:a",
                          json({{direction, {{"blocked", true}}}}).dump())
                .has_value());
    CHECK(CallOnce(ProxiedTarget(*deployment),
                   {.path_ = "/x", .timeout_ = kShort})
              .status_ == 0);
    REQUIRE(deployment
                ->SetLink("target:a",
                          json({{direction, {{"blocked", false}}}}).dump())
                .has_value());
    CHECK(caller.Call({.path_ = "/x"}).status_ == 200);
  }
}

// Guards against refusals that touch open connections, and cuts that do not.
TEST_CASE("refuse closes new connections and cut closes open ones") {
  const auto deployment = StartTarget();
  Caller caller(ProxiedTarget(*deployment));
  CHECK(caller.Call({.path_ = "/x"}).status_ == 200);
  REQUIRE(deployment->SetLink("target:a", R"({"refuse":true})").has_value());
  CHECK(CallOnce(ProxiedTarget(*deployment), {.path_ = "/x"}).status_ == 0);
  CHECK(caller.Call({.path_ = "/x"}).status_ == 200);
  REQUIRE(deployment->SetLink("target:a", R"({"cut":true})").has_value());
  CHECK(CountsOf(*deployment, "target:a")["open"] == 0);
  CHECK(caller.Call({.path_ = "/x"}).status_ == 0);
  REQUIRE(deployment->SetLink("target:a", R"({"refuse":false})").has_value());
  CHECK(caller.Call({.path_ = "/x"}).status_ == 200);
}

// Guards against a control page that ends the proxy or ignores mistakes.
TEST_CASE("the proxy refuses wrong settings") {
  const auto deployment = StartTarget();
  for (const char* wrong :
       {"", "[]", R"({"refuse":1})", R"({"freeze_established":"up"})",
        R"({"forward":{"delay":1}})", R"({"forward":{"delay_ms":-1}})",
        R"({"backward":{"blocked":"yes"}})"}) {
    CHECK_FALSE(deployment->SetLink("target:a", wrong).has_value());
  }
  CHECK_FALSE(deployment->SetLink("nowhere", "{}").has_value());
  CHECK(CallOnce(ProxiedTarget(*deployment), {.path_ = "/x"}).status_ == 200);
}

// A ZeroMQ socket of its own context.
class ZmqSocket {
 public:
  explicit ZmqSocket(int type)
      : context_(zmq_ctx_new()), socket_(zmq_socket(context_, type)) {
    const int linger = 0;
    const int timeout = static_cast<int>(kPatience.value());
    zmq_setsockopt(socket_, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(socket_, ZMQ_RCVTIMEO, &timeout, sizeof(timeout));
  }
  ~ZmqSocket() {
    zmq_close(socket_);
    zmq_ctx_term(context_);
  }
  ZmqSocket(const ZmqSocket&) = delete;
  ZmqSocket& operator=(const ZmqSocket&) = delete;

  void* get() { return socket_; }

  bool Send(const std::string& part, int flags = 0) {
    return zmq_send(socket_, part.data(), part.size(), flags) >= 0;
  }
  std::string Receive() {
    std::string part(4096, '\0');
    const int size = zmq_recv(socket_, part.data(), part.size(), 0);
    part.resize(static_cast<size_t>(std::max(0, size)));
    return part;
  }

 private:
  void* const context_;
  void* const socket_;
};

std::string EncodedProbe(uint64_t id) {
  return protocol::EncodePeerMessage(coordination::Probe{.probe_id_ = id});
}

// Guards against message faults that break a ZeroMQ connection, and against
// counts by which the cost of probes could not be checked.
TEST_CASE("messages of a ZeroMQ connection are struck and counted as a whole") {
  const auto deployment = StartTarget();
  const InstanceAddresses& addresses = deployment->AddressesOf("b");
  REQUIRE(deployment
              ->SetLink("peer:b", R"({"forward":{"duplicate_share":0.2,
                                                 "reorder_share":0.2}})")
              .has_value());
  ZmqSocket router(ZMQ_ROUTER);
  ZmqSocket dealer(ZMQ_DEALER);
  REQUIRE(zmq_bind(router.get(),
                   ("tcp://" + ToString(addresses.peer_)).c_str()) == 0);
  REQUIRE(zmq_connect(
              dealer.get(),
              ("tcp://" + ToString(addresses.peer_for_peers_)).c_str()) == 0);
  size_t sent_bytes = 0;
  for (uint64_t id = 1; id <= kMessages; ++id) {
    REQUIRE(dealer.Send(EncodedProbe(id)));
    sent_bytes += 2 + EncodedProbe(id).size();
  }
  REQUIRE(WaitUntil("messages at the proxy", [&] {
            return CountsOf(*deployment, "peer:b")["forward"]["messages"] ==
                   kMessages;
          }).has_value());
  const json forward = CountsOf(*deployment, "peer:b")["forward"];
  CHECK(forward["duplicated"] > 0);
  CHECK(forward["reordered"] > 0);
  CHECK(forward["kinds"]["5"]["messages"] == kMessages);
  CHECK(forward["kinds"]["5"]["bytes"] == sent_bytes);

  const uint64_t expected = kMessages + forward["duplicated"].get<uint64_t>();
  std::vector<uint64_t> ids;
  std::string identity;
  for (uint64_t i = 0; i < expected; ++i) {
    identity = router.Receive();
    const auto message = protocol::DecodePeerMessage(router.Receive());
    REQUIRE(message.has_value());
    ids.push_back(std::get<coordination::Probe>(message.value()).probe_id_);
  }
  CHECK_FALSE(std::is_sorted(ids.begin(), ids.end()));
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  CHECK(ids.size() == kMessages);

  // The same connection still carries replies.
  REQUIRE(router.Send(identity, ZMQ_SNDMORE));
  REQUIRE(router.Send("reply"));
  CHECK(dealer.Receive() == "reply");
  CHECK(CountsOf(*deployment, "peer:b")["backward"]["messages"] == 1);
  CHECK(CountsOf(*deployment, "peer:b")["accepted"] == 1);
}

// Guards against faults between two daemons that strike other daemons too.
TEST_CASE("a link with a source takes only the connections from there") {
  const auto deployment = StartTarget();
  const InstanceAddresses& addresses = deployment->AddressesOf("b");
  REQUIRE(deployment->SetLink("peer:a>b", R"({"refuse":true})").has_value());
  ZmqSocket router(ZMQ_ROUTER);
  ZmqSocket other(ZMQ_DEALER);
  ZmqSocket a(ZMQ_DEALER);
  REQUIRE(zmq_bind(router.get(),
                   ("tcp://" + ToString(addresses.peer_)).c_str()) == 0);
  const std::string address = ToString(addresses.peer_for_peers_);
  const std::string source = deployment->AddressesOf("a").peer_.host_;
  REQUIRE(zmq_connect(other.get(), ("tcp://" + address).c_str()) == 0);
  REQUIRE(zmq_connect(a.get(), ("tcp://" + source + ":0;" + address).c_str()) ==
          0);
  REQUIRE(other.Send("from other"));
  REQUIRE(a.Send("from a"));
  router.Receive();
  CHECK(router.Receive() == "from other");
  CHECK(CountsOf(*deployment, "peer:a>b")["accepted"] == 0);
  REQUIRE(deployment->SetLink("peer:a>b", R"({"refuse":false})").has_value());
  router.Receive();
  CHECK(router.Receive() == "from a");
  CHECK(CountsOf(*deployment, "peer:a>b")["forward"]["messages"] == 1);
  CHECK(CountsOf(*deployment, "peer:b")["forward"]["messages"] == 1);
}

}  // namespace
}  // namespace gooseberrygap::test_support
