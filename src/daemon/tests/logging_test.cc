#include "daemon/logging.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "absl/time/clock.h"

namespace gooseberrygap::daemon {
namespace {

// More than the interval at which the log duty writes.
constexpr absl::Duration kWritten = absl::Milliseconds(400);
constexpr int kMaxTries = 50;

// Sends the standard output of this process to an empty file.
class RedirectedOutput {
 public:
  RedirectedOutput() {
    std::cout.flush();
    const int file = ::mkstemp(name_.data());
    REQUIRE(file >= 0);
    ::fcntl(file, F_SETFL, O_APPEND);
    terminal_ = ::dup(STDOUT_FILENO);
    ::dup2(file, STDOUT_FILENO);
    ::close(file);
  }
  ~RedirectedOutput() {
    ::dup2(terminal_, STDOUT_FILENO);
    ::close(terminal_);
    ::unlink(name_.c_str());
  }

  bool Contains(const std::string& text) const {
    std::ifstream file(name_);
    std::stringstream content;
    content << file.rdbuf();
    return content.str().find(text) != std::string::npos;
  }

 private:
  std::string name_ = "/tmp/logging_test_XXXXXX";
  int terminal_ = -1;
};

// Limits the size of files, which stands for a full disk. Returns the limit
// before.
rlim_t LimitFileSize(rlim_t bytes) {
  rlimit limit = {};
  getrlimit(RLIMIT_FSIZE, &limit);
  const rlim_t before = limit.rlim_cur;
  limit.rlim_cur = bytes;
  setrlimit(RLIMIT_FSIZE, &limit);
  return before;
}

// Guards against a log that stays silent for good after the disk that holds it
// was full for a moment.
TEST_CASE("the log goes on after its output was full", "[log]") {
  std::signal(SIGXFSZ, SIG_IGN);
  bool has_line = false;
  bool has_count = false;
  {
    const RedirectedOutput output;
    const rlim_t unlimited = LimitFileSize(0);
    StartLogging("info", "i");
    Log({.event_ = "while_full"});
    absl::SleepFor(kWritten);
    LimitFileSize(unlimited);
    for (int i = 0; i < kMaxTries && !(has_line && has_count); ++i) {
      Log({.level_ = state::LogLevel::kWarning, .event_ = "after"});
      absl::SleepFor(kWritten);
      has_line = output.Contains("after");
      has_count = output.Contains("log_dropped");
    }
    StopLogging();
  }
  CHECK(has_line);
  CHECK(has_count);
}

}  // namespace
}  // namespace gooseberrygap::daemon
