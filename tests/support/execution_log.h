#ifndef SUPPORT_EXECUTION_LOG_H_
#define SUPPORT_EXECUTION_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace gooseberrygap::test_support {

// One line of a stand-in target's execution log.
struct Execution {
  const std::string event_ = {};   // "begin", "end"
  const std::string result_ = {};  // "complete", "cancelled", "deadline", ...
  const std::string request_id_ = {};
  const std::string attempt_ = {};
  const std::string key_ = {};
  const std::string method_ = {};
  const std::string path_ = {};
  const std::string digest_ = {};  // See BodyDigest.
  const uint64_t time_ms_ = 0;

  friend bool operator==(const Execution&, const Execution&) = default;
};

// Returns the lines of the file, none when it does not exist. Thread-safe.
std::vector<Execution> ReadExecutionLog(const std::string& path);

// Returns how many executions with that idempotency key began. Thread-safe.
int CountBegun(const std::vector<Execution>& log, absl::string_view key);

// Returns the largest number of executions that began with one idempotency key;
// more than 1 means that an action ran twice. Thread-safe.
int MostBegunOfOneKey(const std::vector<Execution>& log);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_EXECUTION_LOG_H_
