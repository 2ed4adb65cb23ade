#ifndef STATE_API_CONFIGURATION_H_
#define STATE_API_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/api/clock.h"

namespace gooseberrygap::state {

enum class RequestClass { kLookup, kAction };

// Where the idempotency key of an action comes from.
enum class KeySource { kHeader, kPath };

// Classifies the requests of a service whose method and path match.
struct Rule {
  const std::string method_ = {};  // Empty matches every method.
  const std::string path_prefix_ = {};
  const RequestClass request_class_ = RequestClass::kAction;
  const KeySource key_source_ = KeySource::kHeader;

  friend bool operator==(const Rule&, const Rule&) = default;
};

struct RetryPolicy {
  const int max_attempts_ = 4;
  // Retries allowed for each successful call.
  const double budget_ratio_ = 0.1;

  friend bool operator==(const RetryPolicy&, const RetryPolicy&) = default;
};

struct HedgePolicy {
  const bool enabled_ = true;
  // A second copy is sent after this quantile of recent latencies.
  const double quantile_ = 0.95;
  // Hedges allowed for each successful call.
  const double budget_ratio_ = 0.05;

  friend bool operator==(const HedgePolicy&, const HedgePolicy&) = default;
};

// Which announced targets become members of a service.
struct AdmissionPolicy {
  const int max_targets_ = 256;
  const int max_slots_ = 1024;
  // Empty admits every failure domain.
  const std::vector<std::string> failure_domains_ = {};

  friend bool operator==(const AdmissionPolicy&,
                         const AdmissionPolicy&) = default;
};

struct Service {
  const std::string name_ = {};
  const std::string strategy_ = "probed_latency";
  const Millis default_deadline_ = Millis(2000);
  // Time over which a cold target's share of its slots grows to the whole.
  const Millis ramp_up_ = Millis(2000);
  const int max_queue_ = 64;
  // The first rule that matches decides.
  const std::vector<Rule> rules_ = {};
  const RetryPolicy retry_ = {};
  const HedgePolicy hedge_ = {};
  const AdmissionPolicy admission_ = {};

  friend bool operator==(const Service&, const Service&) = default;
};

// The agreed cost of measuring load, at each sending daemon.
struct LoadBudget {
  const double bytes_per_second_ = 4096;
  const double messages_per_second_ = 50;
  const double cross_region_bytes_per_second_ = 256;

  friend bool operator==(const LoadBudget&, const LoadBudget&) = default;
};

struct ActionPolicy {
  const Millis retention_ = Millis(24.0 * 3600 * 1000);
  const int max_keys_ = 100000;
  const int max_answer_bytes_ = 65536;

  friend bool operator==(const ActionPolicy&, const ActionPolicy&) = default;
};

// When a request that crashes its targets is refused everywhere.
struct PoisonPolicy {
  const int crashes_ = 2;
  const Millis window_ = Millis(60 * 1000);
  const Millis hold_ = Millis(10 * 60 * 1000);

  friend bool operator==(const PoisonPolicy&, const PoisonPolicy&) = default;
};

// The operators' document.
struct Configuration {
  const uint64_t version_ = 0;
  const std::vector<Service> services_ = {};
  const LoadBudget load_budget_ = {};
  // Bytes of calls that one daemon may send across the paid link.
  const double cross_region_bytes_per_second_ = 262144;
  const ActionPolicy actions_ = {};
  const PoisonPolicy poison_ = {};

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// A committed configuration. `index_` is its position in the control group's
// log and orders configurations; 0 means that none is known.
struct IndexedConfiguration {
  const uint64_t index_ = 0;
  const std::shared_ptr<const Configuration> configuration_ = {};
};

// Returns the service of that name, or null. Thread-safe.
const Service* FindService(const Configuration& configuration,
                           absl::string_view name);

// Returns the first rule that matches, or null. Thread-safe.
const Rule* FindRule(const Service& service,
                     absl::string_view method,
                     absl::string_view path);

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_H_
