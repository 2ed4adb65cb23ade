#ifndef MEASURE_LOAD_H_
#define MEASURE_LOAD_H_

#include <pthread.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/state.h"
#include "support/address.h"

namespace gooseberrygap::measure {

// A call of the open-loop load, before its endpoint is known.
struct Arrival {
  const state::Millis at_ = {};  // Since the start of the load.
  const uint64_t draw_ = 0;      // Chooses the endpoint.

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

// Returns Poisson arrivals; equal arguments give equal arrivals. Thread-safe.
std::vector<Arrival> DrawArrivals(uint64_t seed,
                                  double per_second,
                                  state::Millis duration);

struct LoadPlan {
  const std::vector<test_support::Address> endpoints_ = {};
  const std::string path_prefix_ = {};
  const int callers_per_endpoint_ = 24;
  // Calls that arrive earlier open connections and are not counted.
  const state::Millis warm_up_ = {};
  const state::Millis deadline_ = {};
};

struct Sample {
  const bool good_ = false;  // Status 200.
  const bool late_ = false;  // Sent late, because all callers were busy.
  const state::Millis latency_ = {};  // Since the intended send time.

  friend bool operator==(const Sample&, const Sample&) = default;
};

// Open-loop load: slow answers do not delay later arrivals while a caller is
// free. An arrival that waits longer than the deadline for a caller is a failed
// call and is not sent, which bounds the duration.
class LoadRun {
 public:
  // Starts the callers; the first arrival is due shortly afterwards.
  LoadRun(const LoadPlan& plan, const std::vector<Arrival>& arrivals);
  ~LoadRun();

  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  // Sleeps until that time after the start of the load.
  void SleepUntil(state::Millis at) const;
  // Waits for all calls and returns those after the warm-up.
  std::vector<Sample> Finish();

 private:
  class Endpoint;
  struct Duty;

  static void* RunCaller(void* argument);

  const LoadPlan plan_;
  const state::SteadyClock clock_;
  const state::Millis start_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<pthread_t> callers_;
};

}  // namespace gooseberrygap::measure

#endif  // MEASURE_LOAD_H_
