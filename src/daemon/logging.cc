#include "daemon/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

#include <memory>

namespace gooseberrygap::daemon {

void StartLogging(const std::string& level) {
  static const log4cplus::Initializer kInitializer;
  // Unbuffered on standard error, so that the last line before a crash is seen.
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%Y-%m-%d %H:%M:%S.%q} %-5p %m%n")));
  Logger().addAppender(appender);
  Logger().setLogLevel(log4cplus::getLogLevelManager().fromString(
      level == "debug"   ? LOG4CPLUS_TEXT("DEBUG")
      : level == "warn"  ? LOG4CPLUS_TEXT("WARN")
      : level == "error" ? LOG4CPLUS_TEXT("ERROR")
                         : LOG4CPLUS_TEXT("INFO")));
}

log4cplus::Logger& Logger() {
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("gooseberrygapd"));
  return logger;
}

}  // namespace gooseberrygap::daemon
