#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/match.h"
#include "absl/synchronization/mutex.h"
#include "support/caller.h"
#include "support/connection_server.h"
#include "support/deployment_plan.h"
#include "support/execution_log.h"
#include "support/loopback.h"
#include "support/process.h"
#include "support/temporary_folder.h"
#include "support/waiting.h"

namespace gooseberrygap::test_support {
namespace {

using nlohmann::json;
using state::Millis;

// Records what a target announces to its daemon.
class FakeDaemon {
 public:
  explicit FakeDaemon(const Address& address) {
    server_.Post("/-/.*", [this](const httplib::Request& request,
                                 httplib::Response& response) {
      absl::MutexLock lock(&mutex_);
      const json body = json::parse(request.body);
      states_.push_back(request.path == "/-/withdraw"
                            ? "withdrawn"
                            : body.value("state", ""));
      last_ = body;
      response.status = 200;
    });
    REQUIRE(server_.Start(address).has_value());
  }

  std::vector<std::string> states() {
    absl::MutexLock lock(&mutex_);
    return states_;
  }
  json last() {
    absl::MutexLock lock(&mutex_);
    return last_;
  }
  bool HasSeen(const std::string& state) {
    const std::vector<std::string> seen = states();
    return std::find(seen.begin(), seen.end(), state) != seen.end();
  }

 private:
  absl::Mutex mutex_;
  std::vector<std::string> states_;
  json last_;
  ConnectionServer server_;
};

// A stand-in target with a recording daemon.
class Fixture {
 public:
  explicit Fixture(const TargetSpec& spec)
      : addresses_(PlanAddresses({.instances_ = {{.name_ = "a"}}}).at("a")),
        daemon_(addresses_.http_) {
    auto started = Process::Start(TargetCommand({.name_ = "a", .target_ = spec},
                                                addresses_, folder_.path()));
    REQUIRE(started.has_value());
    process_ = std::move(started.value());
    REQUIRE(WaitUntil("target", [this] {
              return IsListening(addresses_.target_);
            }).has_value());
  }

  CallAnswer Call(const CallRequest& request) const {
    return CallOnce(addresses_.target_, request);
  }
  // Sends a request and returns its socket without waiting for the answer.
  int Begin(const std::string& path) const {
    const int sent = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = ToSocketAddress(addresses_.target_);
    REQUIRE(connect(sent, reinterpret_cast<const sockaddr*>(&name),
                    sizeof(name)) == 0);
    const std::string request = "GET " + path + " HTTP/1.1\r\n\r\n";
    REQUIRE(send(sent, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
    return sent;
  }
  void SetBehaviour(const std::string& patch) const {
    REQUIRE(
        Call(
            {.method_ = "POST", .path_ = "/stand-in/behaviour", .body_ = patch})
            .status_ == 200);
  }
  bool HasLoad(int in_flight, int queued) const {
    const json load = json::parse(Call({.path_ = "/stand-in/load"}).body_);
    return load["in_flight"] == in_flight && load["queued"] == queued;
  }
  std::vector<Execution> Log() const {
    return ReadExecutionLog(ExecutionLogPath(folder_.path(), "a"));
  }
  FakeDaemon& daemon() { return daemon_; }
  Process& process() { return *process_; }
  const Address& address() const { return addresses_.target_; }

 private:
  const TemporaryFolder folder_;
  const InstanceAddresses addresses_;
  FakeDaemon daemon_;
  std::unique_ptr<Process> process_;
};

// Guards against answers that do not tell which request they belong to, and
// executions that the log misses.
TEST_CASE("the target echoes the request and logs its execution") {
  const Fixture fixture({.service_ = "assay"});
  const CallAnswer answer =
      fixture.Call({.method_ = "POST",
                    .path_ = "/certify/7?x=1",
                    .headers_ = {{.name_ = "Idempotency-Key", .value_ = "k"}},
                    .body_ = "payload"});
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == ExpectedEcho("POST", "/certify/7?x=1", "payload"));
  const std::vector<Execution> log = fixture.Log();
  REQUIRE(log.size() == 2);
  CHECK(CountBegun(log, "k") == 1);
  CHECK(log[1].event_ == "end");
  CHECK(log[1].result_ == "complete");
}

// Guards against a target that keeps announcing its old state, or that leaves
// without a withdrawal.
TEST_CASE("the target announces changes at once and withdraws on SIGTERM") {
  Fixture fixture({.service_ = "assay", .arguments_ = {"--state=starting"}});
  REQUIRE(WaitUntil("first announcement", [&] {
            return fixture.daemon().HasSeen("starting");
          }).has_value());
  CHECK(fixture.daemon().last()["service"] == "assay");
  CHECK(fixture.daemon().last()["address"] == ToString(fixture.address()));
  fixture.SetBehaviour(R"({"state":"serving"})");
  REQUIRE(WaitUntil("serving", [&] {
            return fixture.daemon().HasSeen("serving");
          }).has_value());
  fixture.process().Signal(SIGTERM);
  CHECK(fixture.process().Wait(kPatience) == 0);
  const std::vector<std::string> states = fixture.daemon().states();
  REQUIRE(states.size() >= 2);
  CHECK(states.back() == "withdrawn");
  CHECK(states[states.size() - 2] == "draining");
}

// Guards against a planned stop, or a second signal, that cuts work short.
TEST_CASE("the target finishes what it runs before it exits") {
  Fixture fixture({.service_ = "assay", .service_time_mean_ = Millis(500)});
  // Assertions stay on the test's thread: Catch2's are not thread-safe.
  std::atomic<int> status = -1;
  std::thread caller(
      [&] { status = fixture.Call({.path_ = "/slow"}).status_; });
  REQUIRE(WaitUntil("execution", [&] {
            return fixture.HasLoad(1, 0);
          }).has_value());
  fixture.process().Signal(SIGTERM);
  fixture.process().Signal(SIGTERM);
  caller.join();
  CHECK(status == 200);
  CHECK(fixture.process().Wait(kPatience) == 0);
}

// Guards against work that goes on after its deadline or its caller has gone.
TEST_CASE("the target stops work at the deadline and when it is cancelled") {
  const Fixture fixture(
      {.service_ = "assay", .service_time_mean_ = Millis(60000)});
  const CallAnswer late = fixture.Call(
      {.path_ = "/late",
       .headers_ = {{.name_ = "Gooseberrygap-Deadline-Ms", .value_ = "20"}}});
  CHECK(late.status_ == 504);
  const int gone = fixture.Begin("/gone");
  REQUIRE(WaitUntil("execution", [&] {
            return fixture.HasLoad(1, 0);
          }).has_value());
  close(gone);
  REQUIRE(WaitUntil("end of the cancelled execution", [&] {
            return fixture.Log().size() == 4;
          }).has_value());
  const std::vector<Execution> log = fixture.Log();
  CHECK(log[1].result_ == "deadline");
  CHECK(log[3].result_ == "cancelled");
}

// Guards against a target that runs more requests than it has slots.
TEST_CASE("requests above the slots wait in the target") {
  const Fixture fixture(
      {.service_ = "assay", .slots_ = 2, .service_time_mean_ = Millis(60000)});
  std::vector<std::thread> callers;
  std::atomic<int> answered = 0;
  for (int i = 0; i < 5; ++i) {
    callers.emplace_back(
        [&] { answered += fixture.Call({.path_ = "/x"}).status_ == 200; });
  }
  CHECK(WaitUntil("full slots and a queue", [&] {
          return fixture.HasLoad(2, 3);
        }).has_value());
  // Work in progress follows changes of its speed.
  fixture.SetBehaviour(R"({"slow_factor":0})");
  fixture.SetBehaviour(R"({"service_time_mean_ms":1})");
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(answered == 5);
  CHECK(fixture.HasLoad(0, 0));
}

// Guards against a shed request that counts as executed, and against fast
// failures that do not.
TEST_CASE("the control page sheds, fails, cuts and refuses wrong values") {
  const Fixture fixture({.service_ = "assay"});
  fixture.SetBehaviour(R"({"shed_share":1})");
  const CallAnswer shed = fixture.Call({.path_ = "/x"});
  CHECK(shed.status_ == 503);
  CHECK(shed.Header("Gooseberrygap-Shed") == "1");
  CHECK(fixture.Log().empty());

  fixture.SetBehaviour(R"({"shed_share":0,"fail_share":1})");
  CHECK(fixture.Call({.path_ = "/x"}).status_ == 500);
  CHECK(fixture.Log().size() == 2);

  fixture.SetBehaviour(R"({"fail_share":0,"cut_answers":true})");
  CHECK(fixture.Call({.path_ = "/x"}).status_ == 0);

  for (const char* wrong : {"[]", R"({"shed_share":2})", R"({"sluggish":1})",
                            R"({"state":"gone"})", R"({"silent":1})"}) {
    CHECK(fixture
              .Call({.method_ = "POST",
                     .path_ = "/stand-in/behaviour",
                     .body_ = wrong})
              .status_ == 400);
  }
}

// Guards against a soak that plays no stray answers.
TEST_CASE("a stray answer follows the answer on its connection") {
  const Fixture fixture({.service_ = "assay"});
  fixture.SetBehaviour(R"({"stray_answers":true})");
  const int connection = fixture.Begin("/x");
  std::string received;
  std::array<char, 1024> bytes;
  const auto came = WaitUntil("the stray answer", [&] {
    const ssize_t count =
        recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
      received.append(bytes.data(), static_cast<size_t>(count));
    }
    return absl::EndsWith(received, "\r\n\r\nstray");
  });
  close(connection);
  CHECK(came.has_value());
  CHECK(absl::StrContains(received, "GET /x\nHTTP/1.1 200 OK"));
}

// Guards against a silent target that cannot be stopped.
TEST_CASE("a silent target begins requests, never answers, and still stops") {
  Fixture fixture({.service_ = "assay"});
  fixture.SetBehaviour(R"({"silent":true})");
  const int gone = fixture.Begin("/x");
  REQUIRE(WaitUntil("silent execution", [&] {
            return fixture.HasLoad(1, 0);
          }).has_value());
  close(gone);
  const int silent = fixture.Begin("/y");
  REQUIRE(WaitUntil("second silent execution", [&] {
            return fixture.Log().size() == 3;
          }).has_value());
  fixture.process().Signal(SIGTERM);
  CHECK(fixture.process().Wait(kPatience) == 0);
  char answer = 0;
  CHECK(recv(silent, &answer, 1, 0) == 0);
  close(silent);
}

// Guards against a crash that leaves no trace in the execution log.
TEST_CASE("a marked request ends the target after its execution began") {
  Fixture fixture({.service_ = "assay", .arguments_ = {"--crash_marker=BOOM"}});
  CHECK(fixture.Call({.method_ = "POST", .path_ = "/x", .body_ = "..BOOM.."})
            .status_ == 0);
  CHECK(fixture.process().Wait(kPatience) == 128 + SIGABRT);
  REQUIRE(fixture.Log().size() == 1);
  CHECK(fixture.Log()[0].event_ == "begin");
}

// Guards against honest reports where a test asked for misleading ones.
TEST_CASE("announced load can be honest, idle or late") {
  Fixture fixture({.service_ = "assay", .service_time_mean_ = Millis(60000)});
  const auto announced_in_flight = [&](int expected) {
    return WaitUntil("announced load",
                     [&] {
                       return fixture.daemon().last()["load"]["in_flight"] ==
                              expected;
                     })
        .has_value();
  };
  const int running = fixture.Begin("/x");
  CHECK(announced_in_flight(1));
  fixture.SetBehaviour(R"({"load_report":"idle"})");
  CHECK(announced_in_flight(0));
  fixture.SetBehaviour(R"({"load_report":"honest"})");
  CHECK(announced_in_flight(1));
  fixture.SetBehaviour(R"({"load_lag_ms":3600000})");
  CHECK(announced_in_flight(0));
  close(running);
}

// Guards against refused connections at the number that a target may hold.
TEST_CASE("the target serves 260 open connections") {
  const Fixture fixture(
      {.service_ = "assay", .slots_ = 260, .service_time_mean_ = Millis(0)});
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 260; ++i) {
    callers.push_back(std::make_unique<Caller>(fixture.address()));
    CHECK(callers.back()->Call({.path_ = "/x"}).status_ == 200);
  }
  for (const std::unique_ptr<Caller>& caller : callers) {
    CHECK(caller->Call({.path_ = "/y"}).body_ == ExpectedEcho("GET", "/y", ""));
  }
}

}  // namespace
}  // namespace gooseberrygap::test_support
