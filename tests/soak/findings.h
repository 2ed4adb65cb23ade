#ifndef SOAK_FINDINGS_H_
#define SOAK_FINDINGS_H_

#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace gooseberrygap::soak {

// The broken promises that a run has seen. Thread-safe.
class Findings {
 public:
  void Add(const std::string& finding) {
    absl::MutexLock lock(&mutex_);
    if (findings_.size() < kMost) {
      findings_.push_back(finding);
    }
  }

  std::vector<std::string> Get() const {
    absl::MutexLock lock(&mutex_);
    return findings_;
  }

 private:
  // More tell nothing new.
  static constexpr size_t kMost = 50;

  mutable absl::Mutex mutex_;
  std::vector<std::string> findings_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gooseberrygap::soak

#endif  // SOAK_FINDINGS_H_
