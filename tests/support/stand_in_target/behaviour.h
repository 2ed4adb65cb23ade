#ifndef SUPPORT_STAND_IN_TARGET_BEHAVIOUR_H_
#define SUPPORT_STAND_IN_TARGET_BEHAVIOUR_H_

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "state/state.h"

namespace gooseberrygap::test_support {

// What the control page changes at run time. The JSON keys are the member names
// without the trailing underscore.
struct Behaviour {
  const std::string state_ = "serving";  // "starting", "serving", "draining"
  const std::string service_time_distribution_ = "fixed";
  const double service_time_mean_ms_ = 5;
  const double slow_factor_ = 1;
  // Factor and share of the time of the noisy periods.
  const double noise_factor_ = 1;
  const double noise_share_ = 0;
  // Share of the requests that are answered 500 at once.
  const double fail_share_ = 0;
  // Share of the requests that are refused with 503 before they run.
  const double shed_share_ = 0;
  // Requests begin and are never answered.
  const bool silent_ = false;
  // Connections are closed after half of each answer's body.
  const bool cut_answers_ = false;
  // A second answer, which belongs to no request, follows each answer.
  const bool stray_answers_ = false;
  const std::string load_report_ = "honest";  // "honest", "idle"
  const double load_lag_ms_ = 0;

  friend bool operator==(const Behaviour&, const Behaviour&) = default;
};

// Returns the value as a JSON object. Thread-safe.
std::string PrintBehaviour(const Behaviour& behaviour);

// Returns `current` with the keys of the JSON object `patch` changed, or
// kInvalidRequest that names the first wrong key. Thread-safe.
state::Result<Behaviour> PatchBehaviour(const Behaviour& current,
                                        absl::string_view patch);

// Holds the behaviour in force. Thread-safe.
class BehaviourHolder {
 public:
  explicit BehaviourHolder(const Behaviour& initial)
      : current_(std::make_shared<const Behaviour>(initial)) {}

  std::shared_ptr<const Behaviour> Get() const {
    absl::MutexLock lock(&mutex_);
    return current_;
  }

  // Applies the patch to the behaviour in force.
  state::Result<void> Patch(absl::string_view patch);

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const Behaviour> current_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_STAND_IN_TARGET_BEHAVIOUR_H_
