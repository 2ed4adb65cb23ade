#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "support/address.h"
#include "support/connection_server.h"
#include "support/fault_proxy/control_page.h"
#include "support/fault_proxy/proxy.h"

ABSL_FLAG(std::string, listen, "", "address of the control page");
ABSL_FLAG(uint64_t, seed, 1, "seed of jitter and of message faults");

namespace gooseberrygap::test_support {
namespace {

int Fail(const state::Error& error) {
  std::fprintf(stderr, "fault_proxy: %s\n", error.message_.c_str());
  return 1;
}

int Run(const sigset_t& signals) {
  const state::Result<Address> listen =
      ParseAddress(absl::GetFlag(FLAGS_listen));
  if (!listen.has_value()) {
    return Fail(listen.error());
  }
  Proxy proxy(absl::GetFlag(FLAGS_seed));
  ConnectionServer server;
  RegisterControlPage(&server, &proxy);
  const state::Result<void> started = server.Start(listen.value());
  if (!started.has_value()) {
    return Fail(started.error());
  }
  int signal = 0;
  while (sigwait(&signals, &signal) != 0) {
  }
  server.Stop();
  return 0;
}

}  // namespace
}  // namespace gooseberrygap::test_support

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Forwards connections and injects faults.");
  absl::ParseCommandLine(argc, argv);
  // Each connection takes two descriptors; the usual limit is 1024.
  rlimit descriptors = {};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
  // Blocked in all threads and taken by sigwait.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return gooseberrygap::test_support::Run(signals);
}
