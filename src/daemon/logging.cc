#include "daemon/logging.h"

#include <log4cplus/configurator.h>
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
// Events that are logged within this time are written together.
constexpr absl::Duration kBatchInterval = absl::Milliseconds(100);
constexpr Millis kIdleWait(3600000);

// Limits in lines per second. A daemon has some twenty requests per second,
// with about three lines each; above that rate, failures have priority.
constexpr double kInfoLinesPerSecond = 100;
constexpr double kWarningLinesPerSecond = 200;
constexpr double kBurstSeconds = 2;

// An event with the wall-clock time at which it was logged, by which the lines
// of several daemons can be ordered.
struct TimedEvent {
  const uint64_t wall_millis_ = 0;
  const LogEvent event_ = {};
};

log4cplus::Logger& OutputLogger() {
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("gooseberrygapd"));
  return logger;
}

class LogDuty {
 public:
  LogDuty(LogLevel min_level, std::string instance)
      : min_level_(min_level),
        instance_(std::move(instance)),
        ring_(kRingCapacity),
        thread_("log", [this] { Run(); }) {}

  ~LogDuty() {
    ring_.Close();
    thread_.Join();
  }

  void Enqueue(const LogEvent& event) {
    if (event.level_ >= min_level_ &&
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
        absl::SleepFor(kBatchInterval);
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
      Flush();
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

  // Counts the lines that the output has refused, which may be a file on a full
  // disk. A stream that has failed takes nothing more until it is cleared.
  void Flush() {
    std::cout.flush();
    if (!std::cout.good()) {
      std::cout.clear();
      dropped_.fetch_add(unflushed_);
    }
    unflushed_ = 0;
  }

  void Write(const TimedEvent& event) {
    ++unflushed_;
    LOG4CPLUS_INFO(
        OutputLogger(),
        protocol::PrintLogLine(event.event_, event.wall_millis_, instance_));
  }

  const LogLevel min_level_;
  const std::string instance_;
  const state::SteadyClock clock_;
  state::TokenBucket info_budget_{kInfoLinesPerSecond, kBurstSeconds};
  state::TokenBucket warning_budget_{kWarningLinesPerSecond, kBurstSeconds};
  std::atomic<int64_t> dropped_ = 0;
  int64_t unflushed_ = 0;  // Lines written since the last flush.
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
  // Of asynchronous appenders, which are not used; log4cplus starts four.
  log4cplus::setThreadPoolSize(1);
  constexpr bool kToStandardError = false;
  constexpr bool kFlushEachLine = false;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  OutputLogger().addAppender(appender);
  OutputLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
  Duty() = std::make_unique<LogDuty>(LevelOf(level), instance);
}

void StopLogging() {
  Duty().reset();
}

void Log(const LogEvent& event) {
  if (Duty() != nullptr) {
    Duty()->Enqueue(event);
  }
}

}  // namespace gooseberrygap::daemon
