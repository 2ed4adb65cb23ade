#include "daemon/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <iostream>
#include <memory>

#include "absl/time/clock.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

namespace {

using state::LogEvent;
using state::LogLevel;
using state::Millis;

constexpr size_t kRingCapacity = 2048;
// Events that come within this time are written together.
constexpr absl::Duration kBundleTime = absl::Milliseconds(100);
constexpr Millis kIdleWait(3600000);

// Lines a second. A daemon has some twenty requests a second, with about three
// lines each; beyond that, failures matter more.
constexpr double kInfoLines = 100;
constexpr double kWarningLines = 200;
constexpr double kBurstSeconds = 2;

// An event with the time of day at which it was logged, so that the lines of
// several daemons can be put in order.
struct TimedEvent {
  const uint64_t wall_millis_ = 0;
  const LogEvent event_ = {};
};

log4cplus::Logger& Output() {
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("gooseberrygapd"));
  return logger;
}

class LogDuty {
 public:
  LogDuty(LogLevel least, std::string instance)
      : least_(least),
        instance_(std::move(instance)),
        ring_(kRingCapacity),
        thread_("log", [this] { Run(); }) {}

  ~LogDuty() {
    ring_.Close();
    thread_.Join();
  }

  void Take(const LogEvent& event) {
    if (event.level_ >= least_ &&
        !ring_.TryPush(
            TimedEvent{.wall_millis_ = state::WallMillis(), .event_ = event})) {
      dropped_.fetch_add(1);
    }
  }

 private:
  void Run() {
    while (true) {
      std::optional<TimedEvent> event = ring_.Pop(kIdleWait);
      if (!event.has_value() && ring_.closed()) {
        return;
      }
      if (!ring_.closed()) {
        absl::SleepFor(kBundleTime);
      }
      while (event.has_value()) {
        WriteWithinLimit(*event);
        const std::optional<TimedEvent> next = ring_.TryPop();
        event.reset();
        if (next.has_value()) {
          event.emplace(*next);
        }
      }
      WriteDropped();
      std::cout.flush();
    }
  }

  void WriteWithinLimit(const TimedEvent& event) {
    state::TokenBucket* budget = event.event_.level_ == LogLevel::kInfo
                                     ? &info_budget_
                                     : &warning_budget_;
    if (budget->Take(1, clock_.Now())) {
      Write(event);
    } else {
      dropped_.fetch_add(1);
    }
  }

  void WriteDropped() {
    const int64_t dropped = dropped_.exchange(0);
    if (dropped > 0) {
      Write(TimedEvent{.wall_millis_ = state::WallMillis(),
                       .event_ = {.level_ = LogLevel::kWarning,
                                  .event_ = "log_dropped",
                                  .fields_ = {{"lines", dropped}}}});
    }
  }

  void Write(const TimedEvent& event) {
    LOG4CPLUS_INFO(Output(), protocol::PrintLogLine(
                                 event.event_, event.wall_millis_, instance_));
  }

  const LogLevel least_;
  const std::string instance_;
  const state::SteadyClock clock_;
  state::TokenBucket info_budget_{kInfoLines, kBurstSeconds};
  state::TokenBucket warning_budget_{kWarningLines, kBurstSeconds};
  std::atomic<int64_t> dropped_ = 0;
  transport::Ring<TimedEvent> ring_;
  transport::DutyThread thread_;
};

std::unique_ptr<LogDuty>& Duty() {
  static std::unique_ptr<LogDuty> duty;
  return duty;
}

LogLevel LevelOf(const std::string& name) {
  if (name == "warn") {
    return LogLevel::kWarning;
  }
  return name == "error" || name == "fatal" || name == "off" ? LogLevel::kError
                                                             : LogLevel::kInfo;
}

}  // namespace

void StartLogging(const std::string& level, const std::string& instance) {
  static const log4cplus::Initializer kInitializer;
  constexpr bool kToStandardError = false;
  constexpr bool kFlushEachLine = false;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  Output().addAppender(appender);
  Output().setLogLevel(log4cplus::INFO_LOG_LEVEL);
  Duty() = std::make_unique<LogDuty>(LevelOf(level), instance);
}

void StopLogging() {
  Duty().reset();
}

void Log(const LogEvent& event) {
  if (Duty() != nullptr) {
    Duty()->Take(event);
  }
}

}  // namespace gooseberrygap::daemon
