#include "ctl/tests/fake_daemon.h"
#include "ctl/tests/tool_run.h"
#include "protocol/protocol.h"

namespace gooseberrygap::ctl {
namespace {

constexpr char kQuota[] = "GET /-/quota";

// Guards against a figure that is lost between the leader and the operator.
TEST_CASE("quota lists the tenants with rate, use and refused calls") {
  const coordination::QuotaOverview quotas{
      .is_owner_ = true,
      .leader_address_ = "10.0.0.1:9101",
      .tenants_ = {coordination::QuotaUse{.tenant_ = "gold",
                                          .rate_ = 12.5,
                                          .demand_ = 20.25,
                                          .available_ = 3,
                                          .spent_ = 7001,
                                          .refused_ = 42}}};
  CHECK(protocol::ParseQuotas(protocol::PrintQuotas(quotas)).value() == quotas);
  FakeDaemon daemon;
  daemon.Play(kQuota, {{.body_ = protocol::PrintQuotas(quotas)}});
  const ToolRun run = RunWith({"--daemon=" + daemon.address(), "quota"});
  for (const char* text : {"gold", "12.5", "20.2", "7001", "42"}) {
    CheckSucceeds(run, text);
  }
}

// Guards against an empty list that reads as if no tenant had a quota.
TEST_CASE("quota names the leader when another instance is asked") {
  FakeDaemon daemon;
  daemon.Play(kQuota,
              {{.body_ = protocol::PrintQuotas(coordination::QuotaOverview{
                    .leader_address_ = "10.0.0.2:9101"})}});
  CheckFails(RunWith({"--daemon=" + daemon.address(), "quota"}),
             ExitCode::kFailed, "10.0.0.2:9101");
}

}  // namespace
}  // namespace gooseberrygap::ctl
