#include "absl/strings/str_split.h"

#include "ctl/command.h"
#include "ctl/tests/fake_daemon.h"
#include "ctl/tests/tool_run.h"

namespace gooseberrygap::ctl {
namespace {

// Guards against a command line that is wrong and still acts, or that a script
// cannot tell from a refusal.
TEST_CASE("wrong use gives exit code 2 and points to the help") {
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{
           {},
           {"config"},
           {"config", "aply", "x"},
           {"drain", "now"},
           {"config", "check"},
           {"control", "form"},
           {"control", "form", "127.0.0.1:1", "127.0.0.1:2"},
           {"control", "form", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3",
            "127.0.0.1:4"},
           {"control", "add", "localhost:1"},
           {"targets", "--daemon=localhost:8101"},
           {"targets", "--timeout_ms=0"},
           {"targets", "--timeout_ms=soon"},
           {"targets", "--timeout_ms"},
           {"targets", "--submission=x"},
           {"targets", "--verbose"}}) {
    CAPTURE(arguments);
    CheckFails(RunWith(arguments), ExitCode::kUsage, "COMMAND --help");
  }
}

// Guards against a command without help, and against --help that acts.
TEST_CASE("every command has a page of help") {
  CheckSucceeds(RunWith({"--help"}), "EXIT CODES");
  for (const Command& command : Commands()) {
    std::vector<std::string> arguments = absl::StrSplit(command.name_, ' ');
    arguments.push_back("--help");
    const ToolRun run = RunWith(arguments);
    for (const char* const section :
         {"NAME\n", "SYNOPSIS\n", "DESCRIPTION\n", "FLAGS\n", "EXIT CODES\n",
          "EXAMPLES\n"}) {
      CheckSucceeds(run, section);
    }
    CheckSucceeds(RunWith({"--help"}), std::string(command.name_));
  }
}

// Guards against columns or labels that are lost between endpoint and page.
TEST_CASE("targets and counters are printed whole") {
  FakeDaemon daemon;
  const std::string flag = "--daemon=" + daemon.address();
  daemon.Play("GET /-/targets",
              {{.body_ = R"({"targets":[{"target":"t1","service":"catalogue",
        "instance":"i1","region":"cartago","failure_domain":"cartago-1",
        "slots":6,"state":"draining"}]})"}});
  CheckSucceeds(
      RunWith({"targets", flag}),
      "TARGET  SERVICE    INSTANCE  REGION   DOMAIN     SLOTS  STATE\n"
      "t1      catalogue  i1        cartago  cartago-1  6      draining\n");
  daemon.Play("GET /-/counters", {{.body_ = R"({"counters":[
        {"name":"a_total","labels":"","value":1},
        {"name":"b_total","labels":"reason=\"x\"","value":2}]})"}});
  CheckSucceeds(RunWith({"counters", flag}),
                "a_total 1\nb_total{reason=\"x\"} 2\n");
  daemon.Play("POST /-/drain", {{}});
  CheckSucceeds(RunWith({"drain", flag}), "is draining");
  CHECK(daemon.BodiesOf("POST /-/drain").size() == 1);
}

}  // namespace
}  // namespace gooseberrygap::ctl
