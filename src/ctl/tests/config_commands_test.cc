#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "ctl/tests/fake_daemon.h"
#include "ctl/tests/tool_run.h"
#include "protocol/protocol.h"

namespace gooseberrygap::ctl {
namespace {

// A document in a temporary file.
class DocumentFile {
 public:
  explicit DocumentFile(const std::string& text) {
    const int file = mkstemp(path_.data());
    REQUIRE(file >= 0);
    close(file);
    std::ofstream(path_) << text;
  }
  ~DocumentFile() { std::remove(path_.c_str()); }
  DocumentFile(const DocumentFile&) = delete;
  DocumentFile& operator=(const DocumentFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/gooseberrygapctl-test-XXXXXX";
};

constexpr char kDocument[] = R"({"version": 5, "services": []})";
constexpr char kPut[] = "PUT /-/config";

FakeAnswer Reply(const std::string& status, uint64_t index, int http = 200) {
  return {.status_ = http,
          .body_ = absl::StrCat(R"({"status":")", status, R"(","index":)",
                                index, R"(,"current_version":7,)",
                                R"("winner_submission":"first"})")};
}

FakeAnswer InForce(uint64_t index) {
  return {.body_ = absl::StrCat(R"({"index":)", index, R"(,"configuration":)",
                                kDocument, "}")};
}

ToolRun Apply(const FakeDaemon& daemon) {
  const DocumentFile file(kDocument);
  return RunWith({"config", "apply", file.path(), "--submission", "mine",
                  "--timeout_ms=20000", "--daemon=" + daemon.address()});
}

// Guards against a lost answer that makes the tool give up, or repeat under
// another submission id, so that its own document would be a conflict.
TEST_CASE("config apply repeats the same submission after a lost answer") {
  FakeDaemon daemon;
  daemon.Play("GET /-/config", {InForce(8)});
  daemon.Play(kPut, {{.lost_ = true}, Reply("accepted", 9)});
  CheckSucceeds(Apply(daemon),
                "Accepted: version 5 is index 9 (submission "
                "'mine', answered on try 2)");
  const auto bodies = daemon.BodiesOf(kPut);
  REQUIRE(bodies.size() == 2);
  CHECK(bodies[0] == bodies[1]);
  const auto submission = protocol::ParseConfigSubmission(bodies[0]);
  REQUIRE(submission.has_value());
  CHECK(submission.value().submission_ == "mine");
  CHECK(submission.value().configuration_.version_ == 5);
}

// Guards against a repeat that is reported as a new acceptance.
TEST_CASE("config apply tells a repeat by its index") {
  FakeDaemon daemon;
  daemon.Play("GET /-/config", {InForce(9)});
  daemon.Play(kPut, {Reply("accepted", 9)});
  CheckSucceeds(Apply(daemon),
                "Repeat: version 5 had been accepted before "
                "with equal content, as index 9");
}

// Guards against a conflict that passes for another failure, or that hides the
// winner.
TEST_CASE("config apply reports conflicts with exit code 4") {
  FakeDaemon daemon;
  daemon.Play(kPut, {Reply("conflict", 6, 409)});
  CheckFails(Apply(daemon), ExitCode::kConflict, "submission 'first'");
  daemon.Play(kPut, {Reply("wrong_version", 0, 409)});
  CheckFails(Apply(daemon), ExitCode::kConflict, "the next must be 8");
  CHECK(daemon.BodiesOf(kPut).size() == 2);
}

// Guards against giving up during an election, and against repeating what no
// repeat can change.
TEST_CASE("config apply waits for a quorum but not for a group") {
  FakeDaemon daemon;
  daemon.Play(kPut, {Reply("no_quorum", 0, 503), Reply("not_leader", 0, 503),
                     Reply("accepted", 3)});
  CheckSucceeds(Apply(daemon), "answered on try 3");
  daemon.Play(kPut, {Reply("not_formed", 0, 503)});
  CheckFails(Apply(daemon), ExitCode::kFailed, "control form");
  CHECK(daemon.BodiesOf(kPut).size() == 4);
  daemon.Play(kPut, {Reply("no_quorum", 0, 503)});
  CheckFails(Apply(daemon), ExitCode::kFailed, "Restore a majority");
}

// Guards against an unknown fate reported as a failure, without the id that a
// safe repeat needs.
TEST_CASE("config apply without any answer exits with 3 and names its id") {
  FakeDaemon daemon;
  daemon.Play(kPut, {{.lost_ = true}});
  CheckFails(Apply(daemon), ExitCode::kUnreachable, "--submission=mine");
}

// Guards against answers that end the tool or pass for success.
TEST_CASE("unreadable answers exit with 1 and name the remedy") {
  FakeDaemon daemon;
  for (const char* const body :
       {"", "<html>", R"({"status":"accepted"})", R"({"status":"perhaps",
        "index":1,"current_version":1})",
        "[[[[", "\xff"}) {
    CAPTURE(body);
    daemon.Play(kPut, {{.body_ = body}});
    CheckFails(Apply(daemon), ExitCode::kFailed, "compatible version");
    daemon.Play("GET /-/config", {{.body_ = body}});
    CheckFails(RunWith({"config", "show", "--daemon", daemon.address()}),
               ExitCode::kFailed, "compatible version");
  }
  daemon.Play(kPut, {{.status_ = 500, .body_ = "oops"}});
  CheckFails(Apply(daemon), ExitCode::kFailed, "answered with status 500");
}

// Guards against an answer of a newer daemon that the tool refuses.
TEST_CASE("unknown keys in answers are ignored") {
  FakeDaemon daemon;
  daemon.Play(kPut, {{.body_ = R"({"status":"accepted","index":2,
      "current_version":5,"since":1})"}});
  CheckSucceeds(Apply(daemon), "Accepted: version 5 is index 2");
}

// Returns an address on which nothing listens, as long as the socket is open.
std::string ClosedAddress(int bound_socket) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(bound_socket, generic, size) == 0);
  REQUIRE(getsockname(bound_socket, generic, &size) == 0);
  return absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
}

// Guards against a daemon that does not run being reported as a refusal.
TEST_CASE("an unreachable daemon gives exit code 3") {
  const int bound_socket = socket(AF_INET, SOCK_STREAM, 0);
  const std::string daemon = "--daemon=" + ClosedAddress(bound_socket);
  const DocumentFile file(kDocument);
  for (const std::vector<std::string>& command :
       {std::vector<std::string>{"config", "show"},
        {"config", "apply", file.path()},
        {"targets"},
        {"drain"},
        {"counters"},
        {"control", "status"},
        {"control", "remove", "x"}}) {
    CAPTURE(command);
    std::vector<std::string> arguments = command;
    arguments.push_back(daemon);
    CheckFails(RunWith(arguments), ExitCode::kUnreachable,
               "Check that the instance runs");
  }
  close(bound_socket);
}

// Guards against a document with faults that reaches a daemon.
TEST_CASE("config check and apply report every fault") {
  FakeDaemon daemon;
  const DocumentFile file(R"({"version": 0, "services": [{"name": "-"}]})");
  for (const char* const command : {"check", "apply"}) {
    const ToolRun run =
        RunWith({"config", command, file.path(), "--daemon", daemon.address()});
    CheckFails(run, ExitCode::kFailed, "version: found 0");
    CheckFails(run, ExitCode::kFailed, "services[0].name: found \"-\"");
    CheckFails(run, ExitCode::kFailed, "services[0].rules: found nothing");
  }
  CHECK(daemon.BodiesOf(kPut).empty());
  CheckFails(RunWith({"config", "check", "/nonexistent"}), ExitCode::kFailed,
             "Cannot read '/nonexistent'");
  const DocumentFile valid(kDocument);
  CheckFails(RunWith({"config", "apply", valid.path(), "--submission=a b"}),
             ExitCode::kUsage, "--submission is 'a b'");
  CheckSucceeds(RunWith({"config", "check", valid.path()}),
                "Valid: version 5 with 0 service(s)");
}

// Guards against a printed document that cannot be submitted again, and against
// an index mixed into it.
TEST_CASE("config show prints a document that can be submitted") {
  FakeDaemon daemon;
  daemon.Play("GET /-/config", {InForce(9)});
  const ToolRun run = RunWith({"config", "show", "--daemon", daemon.address()});
  CHECK(run.errors_ == "index 9\n");
  const auto shown = protocol::ParseConfiguration(run.output_);
  REQUIRE(shown.has_value());
  CHECK(shown.value() == protocol::ParseConfiguration(kDocument).value());
  daemon.Play("GET /-/config", {{.body_ = R"({"index":0})"}});
  CheckFails(RunWith({"config", "show", "--daemon", daemon.address()}),
             ExitCode::kFailed, "config apply");
}

}  // namespace
}  // namespace gooseberrygap::ctl
