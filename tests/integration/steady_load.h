#ifndef INTEGRATION_STEADY_LOAD_H_
#define INTEGRATION_STEADY_LOAD_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "integration/fixture.h"
#include "support/execution_log.h"

namespace gooseberrygap::integration {

// What the callers of a SteadyLoad were told.
struct LoadResult {
  const int lookups_ = 0;
  const int actions_ = 0;
  // Requests that got no byte of an answer on a kept connection and were sent
  // again, see SteadyLoad.
  const int resent_ = 0;
  // Requests that moved to another daemon because a connection was refused.
  const int moved_ = 0;
  // Answers that were not complete, and calls without any answer.
  const std::vector<std::string> failures_ = {};
  // Keys of the actions that were answered complete.
  const std::vector<std::string> complete_keys_ = {};
};

// Concurrent callers that send lookups and actions to several daemons until
// they are stopped. A caller keeps its connection, moves to the next daemon
// when a connection is refused, and sends a request again, under the same key,
// when the connection ended before any answer came.
class SteadyLoad {
 public:
  SteadyLoad(const test_support::Deployment& deployment, int callers);
  ~SteadyLoad();

  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  // Ends the calls in progress and returns the sums. Call it once.
  LoadResult Stop();
  // Returns the number of answered calls. Thread-safe.
  int answered() const { return answered_; }

 private:
  void Run(size_t caller);
  void Record(const test_support::CallAnswer& answer,
              const std::string& key,
              const std::string& daemon);

  std::vector<test_support::Address> daemons_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> lookups_ = 0;
  std::atomic<int> actions_ = 0;
  std::atomic<int> resent_ = 0;
  std::atomic<int> moved_ = 0;
  absl::Mutex mutex_;
  std::vector<std::string> failures_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> complete_keys_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

// Returns all executions of the deployment's targets.
std::vector<test_support::Execution> ReadAllExecutions(
    const test_support::Deployment& deployment);

// Checks that each of these actions ran exactly once, and none twice.
void CheckRunOnce(const test_support::Deployment& deployment,
                  const std::vector<std::string>& complete_keys);

}  // namespace gooseberrygap::integration

#endif  // INTEGRATION_STEADY_LOAD_H_
