#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "ctl/tests/tool_run.h"

namespace gooseberrygap::ctl {
namespace {

// A log file that lives as long as this object.
class LogFile {
 public:
  explicit LogFile(const std::string& text) {
    const int file = mkstemp(path_.data());
    REQUIRE(file >= 0);
    close(file);
    std::ofstream(path_) << text;
  }
  ~LogFile() { std::remove(path_.c_str()); }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/gooseberrygapctl-test-XXXXXX";
};

constexpr char kIngressLog[] =
    R"({"time":1000,"level":"info","instance":"a","event":"configuration_in_force","index":7,"version":12}
{"time":1010,"level":"info","instance":"a","event":"attempt_sent","request":"a-1-5","attempt":1,"target":"t-9","deadline_left_ms":500.0,"configuration":7,"load_age_ms":41.5,"in_flight":2,"queued":0,"slots":6,"pace":100,"state":"serving"}
{"time":1016,"level":"warning","instance":"a","event":"call_answered","request":"a-1-5","caller_id":"c0ffee","outcome":"not_run","reason":"overloaded","status":503,"latency_ms":6.1,"configuration":7,"knowledge_age_ms":80.0}
{"time":1017,"level":"info","instance":"a","event":"log_dropped","lines":3}
)";
constexpr char kGuardLog[] =
    R"(collector prefix {"time":1013,"level":"warning","instance":"b","event":"attempt_answered","request":"a-1-5","attempt":1,"target":"t-9","result":"refused","reason":"overloaded","status":0,"guard_ms":0.1,"in_flight":6,"queued":4,"slots":6,"pace":700,"state":"serving"}
{"time":1013,"level":"info","instance":"b","event":"attempt_answered","request":"other"}
not a log line
{"time":"soon","instance":"b","event":"started"}
)";

// Guards against an explanation that leaves out a daemon's lines, puts them in
// the order of the files, or hides that lines are missing.
TEST_CASE("explain joins the lines of a request from several files") {
  const LogFile guard(kGuardLog);
  const LogFile ingress(kIngressLog);
  for (const char* id : {"c0ffee", "a-1-5"}) {
    const ToolRun run = RunWith({"explain", id, guard.path(), ingress.path()});
    CheckSucceeds(run,
                  "outcome: not_run, reason overloaded, status 503 after "
                  "6.1 ms at a (configuration 7, knowledge 80 ms old)");
    CheckSucceeds(run,
                  "decided by: attempt 1 at t-9: refused, reason "
                  "overloaded, status 0 after 0.1 ms at the guard "
                  "(in_flight 6, queued 4, slots 6, pace 700, state "
                  "serving)");
    CheckSucceeds(run,
                  "believed in_flight 2, queued 0, slots 6, pace 100, "
                  "state serving, 41.5 ms old");
    CheckSucceeds(run, "2 lines could not be read");
    CheckSucceeds(run, "3 events were dropped");
    CheckSucceeds(run, "-10 ms  a  configuration_in_force index=7 version=12");
    const size_t sent = run.output_.find("attempt_sent");
    const size_t answered = run.output_.find("attempt_answered");
    const size_t ended = run.output_.find("call_answered");
    CHECK(sent < answered);
    CHECK(answered < ended);
    CHECK(run.output_.find("other") == std::string::npos);
  }
}

// Guards against a request that is explained although no line names it.
TEST_CASE("explain says when no line names the request") {
  const LogFile guard(kGuardLog);
  CheckFails(RunWith({"explain", "missing", guard.path()}), ExitCode::kFailed,
             "No log line names the request 'missing'");
  CheckFails(RunWith({"explain", "c0ffee"}), ExitCode::kUsage, "takes");
  CheckFails(RunWith({"explain", "c0ffee", "/nonexistent/file"}),
             ExitCode::kFailed, "Cannot read");
}

}  // namespace
}  // namespace gooseberrygap::ctl
