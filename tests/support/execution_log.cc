#include "support/execution_log.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace gooseberrygap::test_support {

std::vector<Execution> ReadExecutionLog(const std::string& path) {
  std::vector<Execution> log;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const nlohmann::json object =
        nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!object.is_object()) {
      continue;
    }
    log.push_back({.event_ = object.value("event", ""),
                   .result_ = object.value("result", ""),
                   .request_id_ = object.value("request_id", ""),
                   .attempt_ = object.value("attempt", ""),
                   .key_ = object.value("key", ""),
                   .method_ = object.value("method", ""),
                   .path_ = object.value("path", ""),
                   .digest_ = object.value("digest", ""),
                   .time_ms_ = object.value("time_ms", uint64_t{0})});
  }
  return log;
}

int CountBegun(const std::vector<Execution>& log, absl::string_view key) {
  return static_cast<int>(
      std::count_if(log.begin(), log.end(), [key](const Execution& execution) {
        return execution.event_ == "begin" && execution.key_ == key;
      }));
}

int MostBegunOfOneKey(const std::vector<Execution>& log) {
  std::map<std::string, int> begun;
  int most = 0;
  for (const Execution& execution : log) {
    if (execution.event_ == "begin" && !execution.key_.empty()) {
      most = std::max(most, ++begun[execution.key_]);
    }
  }
  return most;
}

}  // namespace gooseberrygap::test_support
