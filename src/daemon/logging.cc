#include "daemon/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
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

// Lines a second and at once. A daemon has some twenty requests a second, with
// about three lines each; beyond that, failures matter more.
struct Limit {
  const double per_second_;
  const double burst_;
};
constexpr Limit kInfoLimit = {100, 200};
constexpr Limit kWarningLimit = {200, 400};

// Allows a number of lines a second. Not thread-safe.
class LineBudget {
 public:
  explicit LineBudget(const Limit& limit)
      : limit_(limit), lines_(limit.burst_) {}

  bool Take(Millis now) {
    constexpr double kMsPerSecond = 1000;
    const double earned =
        (now - at_).value() / kMsPerSecond * limit_.per_second_;
    lines_ = std::min(limit_.burst_, lines_ + earned);
    at_ = now;
    if (lines_ < 1) {
      return false;
    }
    lines_ -= 1;
    return true;
  }

 private:
  const Limit limit_;
  double lines_;
  Millis at_;
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
    if (event.level_ >= least_ && !ring_.TryPush(event)) {
      dropped_.fetch_add(1);
    }
  }

 private:
  void Run() {
    while (true) {
      std::optional<LogEvent> event = ring_.Pop(kIdleWait);
      if (!event.has_value() && ring_.closed()) {
        return;
      }
      if (!ring_.closed()) {
        absl::SleepFor(kBundleTime);
      }
      while (event.has_value()) {
        WriteWithinLimit(*event);
        const std::optional<LogEvent> next = ring_.TryPop();
        event.reset();
        if (next.has_value()) {
          event.emplace(*next);
        }
      }
      WriteDropped();
      std::cout.flush();
    }
  }

  void WriteWithinLimit(const LogEvent& event) {
    LineBudget* budget =
        event.level_ == LogLevel::kInfo ? &info_budget_ : &warning_budget_;
    if (budget->Take(clock_.Now())) {
      Write(event);
    } else {
      dropped_.fetch_add(1);
    }
  }

  void WriteDropped() {
    const int64_t dropped = dropped_.exchange(0);
    if (dropped > 0) {
      Write(LogEvent{.level_ = LogLevel::kWarning,
                     .event_ = "log_dropped",
                     .fields_ = {{"lines", dropped}}});
    }
  }

  void Write(const LogEvent& event) {
    LOG4CPLUS_INFO(Output(), protocol::PrintLogLine(event, state::WallMillis(),
                                                    instance_));
  }

  const LogLevel least_;
  const std::string instance_;
  const state::SteadyClock clock_;
  LineBudget info_budget_{kInfoLimit};
  LineBudget warning_budget_{kWarningLimit};
  std::atomic<int64_t> dropped_ = 0;
  transport::Ring<LogEvent> ring_;
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
