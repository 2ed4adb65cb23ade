#ifndef INTEGRATION_ACTION_LOAD_H_
#define INTEGRATION_ACTION_LOAD_H_

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "support/caller.h"
#include "support/deployment.h"
#include "support/execution_log.h"

namespace gooseberrygap::integration {

// What one caller sent and was told.
struct ToldAction {
  const std::string key_ = {};
  const std::string body_ = {};
  const std::string ingress_ = {};
  const test_support::CallAnswer answer_ = {};
};

struct ActionLoadOptions {
  const uint64_t seed_ = 1;
  const int callers_ = 24;
  // Each caller sends at least this many keys.
  const int keys_each_ = 90;
};

// Callers that send actions under seeded keys until they are stopped. A share
// of the keys is sent again through a daemon of the other region, at the same
// time or later, and some of these with another body. Not thread-safe.
class ActionLoad {
 public:
  // Starts the callers.
  ActionLoad(const test_support::Deployment& deployment,
             const ActionLoadOptions& options);
  ~ActionLoad();

  ActionLoad(const ActionLoad&) = delete;
  ActionLoad& operator=(const ActionLoad&) = delete;

  // Waits until each caller has sent its least number of keys, and returns all
  // that the callers were told.
  std::vector<ToldAction> Finish();

 private:
  struct Ingress {
    const std::string name_ = {};
    const std::string region_ = {};
    const test_support::Address address_ = {};
  };
  struct Sent {
    const std::string key_ = {};
    const std::string body_ = {};
    const std::string region_ = {};
  };
  class Worker;

  void Tell(const ToldAction& told);

  const ActionLoadOptions options_;
  std::vector<Ingress> ingresses_;
  std::atomic<bool> stopping_ = false;
  absl::Mutex mutex_;
  std::vector<ToldAction> told_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

// The executions that all targets of the deployment have begun.
struct BegunActions {
  const std::map<std::string, int> count_by_key_ = {};
  const std::set<std::string> request_ids_ = {};
  // Instances whose targets began the key.
  const std::map<std::string, std::string> instance_by_key_ = {};
};
BegunActions ReadBegunActions(const test_support::Deployment& deployment);

// How many answers and keys break a promise. Each count must be 0.
struct BrokenPromises {
  const int begun_twice_ = 0;
  // Requests that were told not-run and began.
  const int not_run_requests_begun_ = 0;
  // Keys all of whose answers were not-run, and that began.
  const int not_run_keys_begun_ = 0;
  // Keys that were told complete and did not begin.
  const int complete_not_begun_ = 0;
  // Calls without an outcome through an ingress that was never killed.
  const int without_outcome_ = 0;

  friend bool operator==(const BrokenPromises&,
                         const BrokenPromises&) = default;
};
std::ostream& operator<<(std::ostream& out, const BrokenPromises& broken);

BrokenPromises CompareToldWithBegun(const std::vector<ToldAction>& told,
                                    const BegunActions& begun,
                                    const std::set<std::string>& killed);

}  // namespace gooseberrygap::integration

#endif  // INTEGRATION_ACTION_LOAD_H_
