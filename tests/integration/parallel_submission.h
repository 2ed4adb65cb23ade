#ifndef INTEGRATION_PARALLEL_SUBMISSION_H_
#define INTEGRATION_PARALLEL_SUBMISSION_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "support/deployment.h"

namespace gooseberrygap::integration {

// Submits one change through several instances at once, as operators do who
// don't know which instance works, and again until one has acknowledged it.
class ParallelSubmission {
 public:
  // `deployment` must outlive this object.
  ParallelSubmission(const test_support::Deployment& deployment,
                     const std::vector<std::string>& instances,
                     const std::string& id,
                     const std::string& document);
  // Waits for the calls in progress.
  ~ParallelSubmission();

  ParallelSubmission(const ParallelSubmission&) = delete;
  ParallelSubmission& operator=(const ParallelSubmission&) = delete;

  // Returns whether an acknowledgement has come. Thread-safe.
  bool acknowledged() const { return index_ != 0; }
  // Waits for an acknowledgement and returns the index. Fails the running test
  // when none comes.
  uint64_t WaitForIndex() const;
  // Returns the time from the start to the acknowledgement. Precondition:
  // acknowledged(). Thread-safe.
  state::Millis AcknowledgedAfter() const {
    return state::Millis(acknowledged_after_);
  }
  // Returns the time since the start. Thread-safe.
  state::Millis Age() const { return clock_.Now() - started_at_; }

 private:
  void Run(const test_support::Address& daemon);

  const std::string id_;
  const std::string document_;
  const state::SteadyClock clock_;
  const state::Millis started_at_;
  std::atomic<bool> ended_ = false;
  std::atomic<bool> first_taken_ = false;
  std::atomic<double> acknowledged_after_ = 0;
  std::atomic<uint64_t> index_ = 0;
  std::vector<std::thread> operators_;
};

}  // namespace gooseberrygap::integration

#endif  // INTEGRATION_PARALLEL_SUBMISSION_H_
