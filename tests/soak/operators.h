#ifndef SOAK_OPERATORS_H_
#define SOAK_OPERATORS_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/findings.h"
#include "support/deployment.h"

namespace gooseberrygap::soak {

// The last change that was acknowledged.
struct AcknowledgedChange {
  uint64_t version_ = 0;
  uint64_t index_ = 0;
  std::string strategy_;
};

// Operators that change the configuration again and again through daemons drawn
// at random, sometimes two of them the same version. A change without a clear
// answer is sent again until it has one. Not thread-safe.
class Operators {
 public:
  // Starts the thread. The deployment's configuration has version 1. Both
  // pointers must outlive this object.
  Operators(const test_support::Deployment& deployment,
            uint64_t seed,
            Findings* findings);
  ~Operators();

  Operators(const Operators&) = delete;
  Operators& operator=(const Operators&) = delete;

  // Returns how many changes were acknowledged. Thread-safe.
  int acknowledged_count() const { return acknowledged_count_; }
  // Waits until the change in progress has a clear answer, and returns the last
  // one that was acknowledged.
  AcknowledgedChange Finish();

 private:
  enum class Verdict { kUnclear, kAccepted, kConflict };
  struct Change {
    const std::string submission_ = {};
    const std::string strategy_ = {};
    const std::string body_ = {};
  };

  void Run();
  void ChangeOnce();
  void Race();
  Change MakeChange(uint64_t version);
  // Sends the change until its answer is clear or `tries` are used up.
  Verdict Submit(const Change& change, uint64_t seed, uint64_t* index) const;

  const uint64_t seed_;
  Findings* const findings_;
  std::mt19937_64 random_;
  std::vector<test_support::Address> daemons_;
  std::atomic<bool> stopping_ = false;
  mutable std::atomic<int> acknowledged_count_ = 0;
  AcknowledgedChange acknowledged_;
  std::thread thread_;
};

}  // namespace gooseberrygap::soak

#endif  // SOAK_OPERATORS_H_
