#ifndef SUPPORT_STAND_IN_TARGET_EXECUTION_WRITER_H_
#define SUPPORT_STAND_IN_TARGET_EXECUTION_WRITER_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "state/state.h"

namespace gooseberrygap::test_support {

// What the log says of a request.
struct ExecutionRecord {
  const std::string request_id_ = {};
  const std::string attempt_ = {};
  const std::string key_ = {};
  const std::string method_ = {};
  const std::string path_ = {};
  const std::string digest_ = {};

  friend bool operator==(const ExecutionRecord&,
                         const ExecutionRecord&) = default;
};

// Appends one JSON line for each execution that begins or ends. A line is in
// the file when the call returns, so a kill of this process loses none.
// Thread-safe.
class ExecutionWriter {
 public:
  // Opens the file for appending. An empty path writes nothing.
  static state::Result<std::unique_ptr<ExecutionWriter>> Open(
      const std::string& path);
  ~ExecutionWriter();

  ExecutionWriter(const ExecutionWriter&) = delete;
  ExecutionWriter& operator=(const ExecutionWriter&) = delete;

  void Begin(const ExecutionRecord& record);
  // `result` is "complete", "cancelled", "deadline" or "silent".
  void End(const ExecutionRecord& record, absl::string_view result);

 private:
  explicit ExecutionWriter(int descriptor) : descriptor_(descriptor) {}
  void Append(const ExecutionRecord& record,
              absl::string_view event,
              absl::string_view result);

  const int descriptor_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_STAND_IN_TARGET_EXECUTION_WRITER_H_
