#include <malloc.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "daemon/daemon.h"
#include "daemon/logging.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file (JSON).");
ABSL_FLAG(bool, check, false, "Check the settings file and exit.");

namespace gooseberrygap::daemon {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// Interval at which the settings file is read again for changes made without a
// signal.
constexpr int kSettingsCheckSeconds = 2;
// Limit of the wait at the start for settings that cannot be read or parsed,
// for example while the file is being replaced.
constexpr state::Millis kMaxSettingsWait(3000);
constexpr double kNanosPerMilli = 1e6;

// Of the allocator, where the memory is limited. Memory that it keeps for later
// counts towards the limit: large buffers go back to the system at once.
// Buffers of 16 KiB and more of one burst of callers would otherwise stay in
// the heap, between others, when the next burst is admitted.
constexpr int kMappedBytes = 16384;
constexpr int kTrimBytes = 1048576;

int ReportError(const state::Error& error, int exit_code) {
  std::fprintf(stderr, "gooseberrygapd: %s\n", error.message_.c_str());
  return exit_code;
}

state::Result<protocol::Settings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return state::MakeError(
        state::ErrorKind::kFileUnreadable,
        "The settings file \"" + path +
            "\" cannot be read; pass a readable JSON file with --settings");
  }
  std::stringstream text;
  text << file.rdbuf();
  const std::string content = text.str();
  if (!absl::EndsWith(absl::StripTrailingAsciiWhitespace(content), "}")) {
    return state::MakeError(
        state::ErrorKind::kFileIncomplete,
        "The settings file \"" + path + "\" ends before its last brace");
  }
  return protocol::ParseSettings(content);
}

void LimitAllocator() {
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

// Blocks SIGTERM, SIGINT and SIGHUP for all threads started later, and ignores
// SIGPIPE and SIGXFSZ. Returns the blocked signals.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the file-size limit then returns an error that names it.
  std::signal(SIGXFSZ, SIG_IGN);
  return signals;
}

// Waits for a stop signal. Meanwhile applies changed settings, on SIGHUP and on
// a periodic check of the file.
void WaitForStop(const sigset_t& signals,
                 const protocol::Settings& initial,
                 Daemon* daemon) {
  auto current = std::make_unique<const protocol::Settings>(initial);
  while (true) {
    const timespec wait = {.tv_sec = kSettingsCheckSeconds, .tv_nsec = 0};
    const int signal = sigtimedwait(&signals, nullptr, &wait);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    const auto settings = ReadSettings(absl::GetFlag(FLAGS_settings));
    if (!settings) {
      Log({.level_ = state::LogLevel::kWarning,
           .event_ = "settings_refused",
           .fields_ = {{"error", settings.error().message_}}});
      continue;
    }
    if (!(settings.value() == *current)) {
      Log({.event_ = "settings_changed"});
      current = std::make_unique<const protocol::Settings>(settings.value());
      daemon->Reload(*current);
    }
  }
}

// Waits for a signal to stop; returns whether one has come. Others stay
// pending.
bool WaitForStopFor(state::Millis time) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  const timespec wait = {
      .tv_sec = 0,
      .tv_nsec = static_cast<int64_t>(time.value() * kNanosPerMilli)};
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

// Shows an error that ends the start in the log, too, where the lines of a
// process are collected.
int FailStart(const state::Error& error) {
  Log({.level_ = state::LogLevel::kError,
       .event_ = "start_failed",
       .fields_ = {{"kind", std::string(NameOf(error.kind_))},
                   {"error", error.message_}}});
  StopLogging();
  return ReportError(error, kExitFailed);
}

// Ends the process once all duties have ended. Skips the destructors of the
// libraries' static objects: on the users' platform they did not return, which
// delayed each restart until the process was killed.
[[noreturn]] void Exit() {
  StopLogging();
  std::_Exit(0);
}

int CheckSettings() {
  const auto settings = ReadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings) {
    return ReportError(settings.error(), kExitUsage);
  }
  std::puts("The settings are valid.");
  return 0;
}

int Run(const sigset_t& signals) {
  StartRetry retry(WaitForStopFor);
  const auto settings =
      retry.Run([] { return ReadSettings(absl::GetFlag(FLAGS_settings)); },
                kMaxSettingsWait);
  if (retry.stopped()) {
    Exit();
  }
  if (!settings) {
    return ReportError(settings.error(), kExitUsage);
  }
  if (settings.value().memory_mb_.has_value()) {
    LimitAllocator();
  }
  StartLogging(settings.value().log_level_, settings.value().instance_);
  auto daemon = Daemon::Start(settings.value(), &retry);
  if (retry.stopped()) {
    Log({.event_ = "stopped"});
    Exit();
  }
  if (!daemon) {
    return FailStart(daemon.error());
  }
  Log({.event_ = "started",
       .fields_ = {{"http", settings.value().http_.listen_},
                   {"peer", settings.value().peer_.listen_},
                   {"control", settings.value().control_.has_value()}}});
  WaitForStop(signals, settings.value(), daemon.value().get());
  // Further stop signals stay blocked, so that they do not interrupt the drain.
  daemon.value()->StopGracefully();
  daemon.value().reset();
  Log({.event_ = "stopped"});
  Exit();
}

}  // namespace
}  // namespace gooseberrygap::daemon

int main(int argc, char** argv) {
  // Before anything else: a change of the settings is told by SIGHUP, which
  // would end a process that has just started.
  const sigset_t signals = gooseberrygap::daemon::BlockStopSignals();
  absl::SetProgramUsageMessage(
      "The gooseberrygap daemon. It runs beside one target, accepts calls over "
      "HTTP, and guards its target.\n\n"
      "  gooseberrygapd --settings=FILE          run until SIGTERM or SIGINT\n"
      "  gooseberrygapd --settings=FILE --check  check the settings and "
      "exit\n\n"
      "SIGTERM and SIGINT start a graceful stop: no request in flight is cut. "
      "A second signal does not shorten it.\n"
      "Exit codes: 0 stopped gracefully, 1 could not start, 2 invalid settings "
      "or flags.");
  absl::ParseCommandLine(argc, argv);
  return absl::GetFlag(FLAGS_check) ? gooseberrygap::daemon::CheckSettings()
                                    : gooseberrygap::daemon::Run(signals);
}
