#ifndef SOAK_LOOKUP_LOAD_H_
#define SOAK_LOOKUP_LOAD_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/findings.h"
#include "support/caller.h"
#include "support/deployment.h"

namespace gooseberrygap::soak {

// Callers that send lookups through all daemons on kept connections, and check
// that each answer is whole and their own. Not thread-safe.
class LookupLoad {
 public:
  // Starts the callers. Both pointers must outlive this object.
  LookupLoad(const test_support::Deployment& deployment,
             uint64_t seed,
             int callers,
             Findings* findings);
  ~LookupLoad();

  LookupLoad(const LookupLoad&) = delete;
  LookupLoad& operator=(const LookupLoad&) = delete;

  // Ends the callers.
  void Stop();
  int complete() const { return complete_; }
  int other() const { return other_; }

 private:
  void Run(int caller);

  const uint64_t seed_;
  Findings* const findings_;
  std::vector<test_support::Address> daemons_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> complete_ = 0;
  std::atomic<int> other_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace gooseberrygap::soak

#endif  // SOAK_LOOKUP_LOAD_H_
