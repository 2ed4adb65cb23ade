#ifndef MEASURE_SCENARIO_H_
#define MEASURE_SCENARIO_H_

#include <string>
#include <vector>

#include "support/deployment.h"

namespace gooseberrygap::measure {

// A deployment of section 2 of the design.
struct Profile {
  const std::string name_ = {};
  const std::vector<std::string> regions_ = {};
  // Names with numbers of endpoints; the first service gets the load.
  const std::vector<std::pair<std::string, int>> services_ = {};
  const int slots_ = 0;
  const state::Millis to_callers_ = {};

  friend bool operator==(const Profile&, const Profile&) = default;
};

// Returns the profile, or null. Thread-safe.
const Profile* FindProfile(const std::string& name);

struct ServiceTime {
  const state::Millis mean_ = {};
  const std::string distribution_ = {};

  friend bool operator==(const ServiceTime&, const ServiceTime&) = default;
};

// Returns the deployment; without links it has no proxy and no delays.
test_support::DeploymentSpec MakeSpec(const Profile& profile,
                                      const ServiceTime& service_time,
                                      uint64_t seed,
                                      bool with_links);

// Returns the body of `PUT /-/config`.
std::string Submission(const Profile& profile,
                       uint64_t version,
                       const std::string& strategy);

// A change of a running deployment: a patch of the behaviour of the first
// target, or of all targets, of the loaded service, and a further step.
struct Change {
  const char* const patch_ = nullptr;
  const bool all_ = false;
  state::Result<void> (*const step_)(test_support::Deployment* deployment,
                                     const Profile& profile) = nullptr;

  friend bool operator==(const Change&, const Change&) = default;
};

state::Result<void> Apply(const Change& change,
                          test_support::Deployment* deployment,
                          const Profile& profile);

struct Scenario {
  const char* const name_ = "";
  const double share_ = 0;  // Of the slots of the loaded service.
  const bool quick_ = false;
  // Before the load, after a third, after two thirds, and after the load.
  const Change before_ = {};
  const Change first_third_ = {};
  const Change second_third_ = {};
  const Change after_ = {};
  // Callers do not use the ingresses of the domain that the scenario stops.
  const bool spares_last_domain_ = false;
};

// Thread-safe.
const std::vector<Scenario>& Scenarios();

// Returns true when the instance is in the last domain, which has no control
// instance. Thread-safe.
bool IsInLastDomain(const test_support::InstanceSpec& instance,
                    const Profile& profile);

}  // namespace gooseberrygap::measure

#endif  // MEASURE_SCENARIO_H_
