#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "support/address.h"
#include "support/connection_server.h"
#include "support/stand_in_target/announcer.h"
#include "support/stand_in_target/behaviour.h"
#include "support/stand_in_target/execution_writer.h"
#include "support/stand_in_target/pace.h"
#include "support/stand_in_target/slots.h"
#include "support/stand_in_target/target_service.h"

ABSL_FLAG(std::string, name, "target", "unique name of the target");
ABSL_FLAG(std::string, service, "", "service that the target belongs to");
ABSL_FLAG(std::string, listen, "", "address to serve on, 127.0.0.1:8301");
ABSL_FLAG(std::string,
          announce_address,
          "",
          "address told to the daemon; empty means that of --listen");
ABSL_FLAG(std::string, daemon, "", "HTTP address of the target's daemon");
ABSL_FLAG(int, slots, 8, "requests that run at the same time");
ABSL_FLAG(double, service_time_mean_ms, 5, "mean service time");
ABSL_FLAG(std::string,
          service_time_distribution,
          "fixed",
          "fixed, exponential or lognormal");
ABSL_FLAG(uint64_t, seed, 1, "seed of service times, noise and shares");
ABSL_FLAG(double, ramp_ms, 0, "time for which the target starts cold");
ABSL_FLAG(double, ramp_factor, 4, "slowness of the cold target at its start");
ABSL_FLAG(std::string, state, "serving", "starting, serving or draining");
ABSL_FLAG(std::string, execution_log, "", "file for the execution log");
ABSL_FLAG(std::string,
          crash_marker,
          "",
          "a request whose path or body contains this ends the process");

namespace gooseberrygap::test_support {
namespace {

// Deliveries that the guard sent just before the withdrawal can still arrive
// for this long.
constexpr state::Millis kQuietBeforeExit(300);

int Fail(const state::Error& error) {
  std::fprintf(stderr, "stand_in_target: %s\n", error.message_.c_str());
  return 1;
}

state::Result<Behaviour> BehaviourFromFlags() {
  const Behaviour from_flags = {
      .state_ = absl::GetFlag(FLAGS_state),
      .service_time_distribution_ =
          absl::GetFlag(FLAGS_service_time_distribution),
      .service_time_mean_ms_ = absl::GetFlag(FLAGS_service_time_mean_ms)};
  // An empty patch checks the ranges.
  return PatchBehaviour(from_flags, "{}");
}

void WaitForTermination(const sigset_t& signals) {
  int signal = 0;
  while (sigwait(&signals, &signal) != 0) {
  }
}

int Run(const sigset_t& signals) {
  const state::Result<Behaviour> initial = BehaviourFromFlags();
  const state::Result<Address> listen =
      ParseAddress(absl::GetFlag(FLAGS_listen));
  const state::Result<Address> daemon =
      ParseAddress(absl::GetFlag(FLAGS_daemon));
  const auto writer = ExecutionWriter::Open(absl::GetFlag(FLAGS_execution_log));
  if (!initial.has_value()) {
    return Fail(initial.error());
  }
  if (!listen.has_value()) {
    return Fail(listen.error());
  }
  if (!daemon.has_value()) {
    return Fail(daemon.error());
  }
  if (!writer.has_value()) {
    return Fail(writer.error());
  }

  const state::SteadyClock clock;
  const int slot_count = absl::GetFlag(FLAGS_slots);
  BehaviourHolder behaviour(initial.value());
  Pace pace(absl::GetFlag(FLAGS_seed),
            Ramp{.duration_ = state::Millis(absl::GetFlag(FLAGS_ramp_ms)),
                 .factor_ = absl::GetFlag(FLAGS_ramp_factor)},
            clock.Now());
  Slots slots(slot_count, &clock);
  TargetService service({.clock_ = &clock,
                         .behaviour_ = &behaviour,
                         .pace_ = &pace,
                         .slots_ = &slots,
                         .writer_ = writer.value().get()},
                        absl::GetFlag(FLAGS_name),
                        absl::GetFlag(FLAGS_crash_marker));
  const std::string announced = absl::GetFlag(FLAGS_announce_address);
  std::unique_ptr<Announcer> announcer;
  absl::Mutex announcer_ready;
  ConnectionServer server;
  service.Register(&server, [&] {
    absl::MutexLock lock(&announcer_ready);
    if (announcer != nullptr) {
      announcer->AnnounceNow();
    }
  });
  const state::Result<void> started = server.Start(listen.value());
  if (!started.has_value()) {
    return Fail(started.error());
  }
  {
    absl::MutexLock lock(&announcer_ready);
    announcer = std::make_unique<Announcer>(
        Announcer::Options{.service_ = absl::GetFlag(FLAGS_service),
                           .target_ = absl::GetFlag(FLAGS_name),
                           .address_ = announced.empty()
                                           ? ToString(listen.value())
                                           : announced,
                           .slots_ = slot_count,
                           .daemon_ = daemon.value()},
        &behaviour, &slots);
  }
  WaitForTermination(signals);
  behaviour.Patch(R"({"state":"draining"})").assume_value();
  announcer->Leave();
  service.EndSilence();
  slots.WaitUntilQuiet(kQuietBeforeExit);
  server.Stop();
  return 0;
}

}  // namespace
}  // namespace gooseberrygap::test_support

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Plays a target of gooseberrygap.");
  absl::ParseCommandLine(argc, argv);
  // A crash on request must not fill the disk with core files.
  const rlimit no_core = {.rlim_cur = 0, .rlim_max = 0};
  setrlimit(RLIMIT_CORE, &no_core);
  // Blocked in all threads and taken by sigwait. Further signals stay pending,
  // so a second one does not cut work short.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return gooseberrygap::test_support::Run(signals);
}
