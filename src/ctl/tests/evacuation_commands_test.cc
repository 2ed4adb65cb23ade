#include "ctl/tests/fake_daemon.h"
#include "ctl/tests/tool_run.h"

namespace gooseberrygap::ctl {
namespace {

// Guards against an order for another failure domain than named, and against
// one that is not certain and yet reported as accepted.
TEST_CASE("evacuation commands send the order and report its result") {
  FakeDaemon daemon;
  const std::string flag = "--daemon=" + daemon.address();
  daemon.Play("POST /-/evacuations/start",
              {{.body_ = R"({"failure_domain":"z1","evacuated":true,)"
                         R"("index":7})"}});
  CheckSucceeds(RunWith({"evacuation", "start", "z1", flag}),
                "'z1' is evacuated, by the order with index 7");
  CHECK(daemon.BodiesOf("POST /-/evacuations/start") ==
        std::vector<std::string>{R"({"failure_domain":"z1"})"});
  daemon.Play("POST /-/evacuations/stop",
              {{.status_ = 503,
                .body_ = R"({"error":"no_quorum","message":"repeat it"})"}});
  CheckFails(RunWith({"evacuation", "stop", "z1", flag}), ExitCode::kFailed,
             "repeat it");
  daemon.Play("GET /-/evacuations",
              {{.body_ = R"({"index":7,"evacuations":[{"failure_domain":)"
                         R"("z1","evacuated":true,"index":7}]})"}});
  CheckSucceeds(RunWith({"evacuation", "list", flag}),
                "z1  evacuated  index 7");
}

}  // namespace
}  // namespace gooseberrygap::ctl
