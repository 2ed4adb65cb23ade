#include "support/stand_in_target/execution_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::test_support {

state::Result<std::unique_ptr<ExecutionWriter>> ExecutionWriter::Open(
    const std::string& path) {
  if (path.empty()) {
    return std::unique_ptr<ExecutionWriter>(new ExecutionWriter(-1));
  }
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor < 0) {
    return state::MakeError(state::ErrorKind::kInvalidSettings,
                            absl::StrCat("cannot open ", path));
  }
  return std::unique_ptr<ExecutionWriter>(new ExecutionWriter(descriptor));
}

ExecutionWriter::~ExecutionWriter() {
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

void ExecutionWriter::Begin(const ExecutionRecord& record) {
  Append(record, "begin", "");
}

void ExecutionWriter::End(const ExecutionRecord& record,
                          absl::string_view result) {
  Append(record, "end", result);
}

void ExecutionWriter::Append(const ExecutionRecord& record,
                             absl::string_view event,
                             absl::string_view result) {
  if (descriptor_ < 0) {
    return;
  }
  const nlohmann::json object = {{"event", std::string(event)},
                                 {"result", std::string(result)},
                                 {"request_id", record.request_id_},
                                 {"attempt", record.attempt_},
                                 {"key", record.key_},
                                 {"method", record.method_},
                                 {"path", record.path_},
                                 {"digest", record.digest_},
                                 {"time_ms", state::WallMillis()}};
  const std::string line =
      object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  // One write for each line, so that lines of several threads do not mix. A
  // log with gaps would hide a second execution: the process ends instead.
  if (write(descriptor_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    std::abort();
  }
}

}  // namespace gooseberrygap::test_support
