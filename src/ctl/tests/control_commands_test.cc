#include <array>

#include "ctl/tests/fake_daemon.h"
#include "ctl/tests/tool_run.h"
#include "protocol/protocol.h"

namespace gooseberrygap::ctl {
namespace {

using protocol::ControlStatus;
using state::ControlMember;

ControlMember Member(const std::string& name) {
  return ControlMember{.identity_ = "id-" + name,
                       .instance_ = name,
                       .address_ = "10.0.0.1:9101"};
}

// The status of an instance; formed with these members if there are any.
FakeAnswer Status(const std::string& name,
                  const std::vector<ControlMember>& members = {}) {
  return {.body_ = protocol::PrintControlStatus(
              ControlStatus{.identity_ = "id-" + name,
                            .instance_ = name,
                            .address_ = "10.0.0.1:9101",
                            .formed_ = !members.empty(),
                            .role_ = "follower",
                            .members_ = members})};
}

constexpr char kStatus[] = "GET /-/control/status";
constexpr char kForm[] = "POST /-/control/form";
const std::vector<ControlMember> kGroup = {Member("a"), Member("b"),
                                           Member("c")};

// Three control instances that have not been formed.
class ThreeDaemons {
 public:
  ThreeDaemons() {
    for (size_t i = 0; i < kGroup.size(); ++i) {
      daemons_.at(i).Play(kStatus, {Status(kGroup[i].instance_)});
      daemons_.at(i).Play(kForm, {{}});
    }
  }
  FakeDaemon& at(size_t i) { return daemons_.at(i); }
  size_t FormsOf(size_t i) { return at(i).BodiesOf(kForm).size(); }
  ToolRun Form() {
    return RunWith(
        {"control", "form", at(0).address(), at(1).address(), at(2).address()});
  }

 private:
  std::array<FakeDaemon, 3> daemons_;
};

// Guards against instances that are formed with different members.
TEST_CASE("control form sends the same members to each instance") {
  ThreeDaemons daemons;
  CheckSucceeds(daemons.Form(), "id-a");
  for (size_t i = 0; i < kGroup.size(); ++i) {
    REQUIRE(daemons.FormsOf(i) == 1);
    const auto members =
        protocol::ParseMembers(daemons.at(i).BodiesOf(kForm).front());
    REQUIRE(members.has_value());
    CHECK(members.value() == kGroup);
  }
}

// Guards against a second group formed over the members of another: two groups
// could then both accept the same action.
TEST_CASE("control form changes nothing when one instance has a group") {
  ThreeDaemons daemons;
  daemons.at(2).Play(kStatus, {Status("c", {Member("c"), Member("x")})});
  CheckFails(daemons.Form(), ExitCode::kFailed, "group with other members");
  daemons.at(2).Play(kStatus, {{.status_ = 500}});
  CheckFails(daemons.Form(), ExitCode::kFailed, "status 500");
  CHECK(daemons.FormsOf(0) + daemons.FormsOf(1) + daemons.FormsOf(2) == 0);
}

// Guards against a form that was interrupted and cannot be completed, and
// against one that is sent twice to an instance.
TEST_CASE("control form can be repeated after an interruption") {
  ThreeDaemons daemons;
  daemons.at(1).Play(kForm, {{.lost_ = true}});
  CheckFails(daemons.Form(), ExitCode::kUnreachable, "repeat the command");
  daemons.at(0).Play(kStatus, {Status("a", kGroup)});
  daemons.at(1).Play(kForm, {{}});
  CheckSucceeds(daemons.Form(), "id-b");
  CHECK(daemons.FormsOf(0) == 1);
  CHECK(daemons.FormsOf(1) == 2);
  CHECK(daemons.FormsOf(2) == 1);
  daemons.at(1).Play(kStatus, {Status("b", kGroup)});
  daemons.at(2).Play(kStatus, {Status("c", kGroup)});
  CheckFails(daemons.Form(), ExitCode::kFailed, "already form a group");
}

// Guards against a form that fails because the first instances, which are a
// majority, elected a leader that reached a later one before the tool did.
TEST_CASE("control form accepts an instance that its group has reached") {
  ThreeDaemons daemons;
  const std::string refusal = protocol::PrintError(state::MakeError(
      state::ErrorKind::kAlreadyFormed, "The data folder belongs to a group"));
  daemons.at(2).Play(kForm, {{.status_ = 409, .body_ = refusal}});
  daemons.at(2).Play(kStatus, {Status("c"), Status("c", kGroup)});
  CheckSucceeds(daemons.Form(), "id-c");
  daemons.at(2).Play(kStatus,
                     {Status("c"), Status("c", {Member("c"), Member("x")})});
  CheckFails(daemons.Form(), ExitCode::kFailed, "belongs to a group");
}

// Guards against a group that counts one instance twice.
TEST_CASE("control form refuses the same instance twice") {
  ThreeDaemons daemons;
  daemons.at(1).Play(kStatus, {Status("a")});
  CheckFails(daemons.Form(), ExitCode::kUsage, "the same instance 'a'");
  CHECK(daemons.FormsOf(0) == 0);
}

// Guards against adding a member of some group, which could then vote in two.
TEST_CASE("control add takes only an instance without a group") {
  FakeDaemon leader;
  FakeDaemon added;
  leader.Play("POST /-/control/add", {{}});
  added.Play(kStatus, {Status("d")});
  const std::vector<std::string> command = {"control", "add", added.address(),
                                            "--daemon", leader.address()};
  CheckSucceeds(RunWith(command), "id-d");
  const auto bodies = leader.BodiesOf("POST /-/control/add");
  REQUIRE(bodies.size() == 1);
  CHECK(protocol::ParseMember(bodies[0]).value() == Member("d"));
  added.Play(kStatus, {Status("d", kGroup)});
  CheckFails(RunWith(command), ExitCode::kFailed, "empty data folder");
  CHECK(leader.BodiesOf("POST /-/control/add").size() == 1);
}

// Guards against a refusal whose reason and remedy are lost on the way.
TEST_CASE("a daemon's error reaches the operator") {
  FakeDaemon daemon;
  const auto error =
      state::MakeError(state::ErrorKind::kNoQuorum, "2 of 3 are silent");
  daemon.Play("POST /-/control/remove",
              {{.status_ = 503, .body_ = protocol::PrintError(error)}});
  CheckFails(
      RunWith({"control", "remove", "id-a", "--daemon", daemon.address()}),
      ExitCode::kFailed, "2 of 3 are silent. Restore a majority");
  CHECK(daemon.BodiesOf("POST /-/control/remove").front() ==
        R"({"identity":"id-a"})");
}

// Guards against a member or role that the status page leaves out.
TEST_CASE("control status shows the group") {
  FakeDaemon daemon;
  daemon.Play(kStatus, {Status("a", kGroup)});
  const ToolRun run =
      RunWith({"control", "status", "--daemon", daemon.address()});
  CheckSucceeds(run, "role          follower");
  CheckSucceeds(run, "id-c  c  10.0.0.1:9101  voter");
}

}  // namespace
}  // namespace gooseberrygap::ctl
