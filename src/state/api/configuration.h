#ifndef STATE_API_CONFIGURATION_H_
#define STATE_API_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "state/api/clock.h"
#include "state/api/shared.h"

namespace gooseberrygap::state {

enum class RequestClass { kLookup, kAction };

// Source of an action's idempotency key. Without a key an action is delivered
// at most once for each call and is not recorded in the register.
enum class KeySource { kHeader, kPath, kNone };

// Classifies the requests of a service that match a method and path prefix.
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
  // Additional retries per second, divided among all daemons.
  const double budget_per_second_ = 0;

  friend bool operator==(const RetryPolicy&, const RetryPolicy&) = default;
};

struct HedgePolicy {
  const bool enabled_ = true;
  // A second copy is sent once the call has taken longer than this quantile of
  // recent latencies.
  const double quantile_ = 0.95;
  // Hedges allowed for each successful call.
  const double budget_ratio_ = 0.05;

  friend bool operator==(const HedgePolicy&, const HedgePolicy&) = default;
};

// Limits on the announced targets that become members of a service.
struct AdmissionPolicy {
  const int max_targets_ = 256;
  const int max_slots_ = 1024;  // A target with more slots is not admitted.
  // Empty admits every failure domain.
  const std::vector<std::string> failure_domains_ = {};

  friend bool operator==(const AdmissionPolicy&,
                         const AdmissionPolicy&) = default;
};

// Properties of a service's targets, apart from the balancing settings.
struct ServiceProperties {
  const std::string health_path_ = {};
  // Limit on the connections of all callers to one target; 0 if none is set.
  const int max_connections_ = 0;
  const std::string protocol_ = {};
  const bool tls_ = false;

  friend bool operator==(const ServiceProperties&,
                         const ServiceProperties&) = default;
};

// Limit on the requests that a target gets while it is cold: after its start,
// or whenever it says that it is.
struct WarmupPolicy {
  const Millis duration_ = {};  // How long a target is cold after its start.
  const double requests_per_second_ = 0;  // 0 sets no limit.

  friend bool operator==(const WarmupPolicy&, const WarmupPolicy&) = default;
};

struct Service {
  const std::string name_ = {};
  const std::string strategy_ = "probed_latency";
  const Millis default_deadline_ = Millis(2000);
  // Time over which the usable share of a newly serving target's slots grows to
  // 100%.
  const Millis ramp_up_ = Millis(2000);
  const int max_queue_ = 64;
  // The first matching rule applies.
  const std::vector<Rule> rules_ = {};
  const RetryPolicy retry_ = {};
  const HedgePolicy hedge_ = {};
  const AdmissionPolicy admission_ = {};
  const ServiceProperties properties_ = {};
  const WarmupPolicy warmup_ = {};

  friend bool operator==(const Service&, const Service&) = default;
};

// A service that receives a share of a route's calls in proportion to
// `weight_`.
struct Destination {
  const std::string service_ = {};
  const double weight_ = 1;

  friend bool operator==(const Destination&, const Destination&) = default;
};

// Routes calls with a given host and path prefix to services. The route with
// the longest matching prefix applies.
struct Route {
  const std::string name_ = {};
  const std::string host_ = {};
  const std::string path_prefix_ = {};
  const RequestClass request_class_ = RequestClass::kAction;
  // Longest time from a call's receipt to its answer.
  const Millis timeout_ = Millis(2000);
  // An answer within this time counts as good as an immediate one.
  const Millis latency_objective_ = Millis(1000);
  const int priority_ = 0;  // 0 is the highest.
  // Number of targets to which one call may be sent.
  const int max_attempts_ = 1;
  const std::vector<Destination> destinations_ = {};
  // Whether the operator wrote the destinations as a traffic split, possibly
  // with a single destination.
  const bool is_split_ = false;
  // Answers are so large that their bytes load the links.
  const bool has_large_answers_ = false;
  // Calls need no API key although the configuration has tenants.
  const bool allows_anonymous_ = false;
  // Regions whose targets may run the calls; empty allows all.
  const std::vector<std::string> allowed_regions_ = {};

  friend bool operator==(const Route&, const Route&) = default;
};

// A customer whose callers name it by one of its API keys.
struct Tenant {
  const std::string name_ = {};
  const std::vector<std::string> api_keys_ = {};
  const int priority_ = 0;  // 0 is the highest; compared before the route's.
  // Quota of calls over all daemons together; a rate of 0 sets no limit.
  const double calls_per_second_ = 0;
  const double burst_calls_ = 0;
  // Regions whose targets may run the calls; empty allows all.
  const std::vector<std::string> allowed_regions_ = {};

  friend bool operator==(const Tenant&, const Tenant&) = default;
};

// Limits on the size of a caller's requests, on the time until the header is
// complete and on idle time.
struct CallerLimits {
  const int max_header_bytes_ = 16384;
  const int max_body_bytes_ = 1048576;
  const Millis header_timeout_ = Millis(5000);
  const Millis idle_timeout_ = Millis(60000);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// Limits on the traffic that each daemon may send to measure load.
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

// When and for how long a request that crashes targets is refused by all
// daemons: after `crashes_` crashes within `window_`, for `hold_`.
struct PoisonPolicy {
  const int crashes_ = 2;
  const Millis window_ = Millis(60 * 1000);
  const Millis hold_ = Millis(10 * 60 * 1000);

  friend bool operator==(const PoisonPolicy&, const PoisonPolicy&) = default;
};

// The configuration document submitted by operators.
struct Configuration {
  const uint64_t version_ = 0;
  const std::vector<Service> services_ = {};
  const std::vector<Route> routes_ = {};
  const CallerLimits caller_limits_ = {};
  const LoadBudget load_budget_ = {};
  // Bytes of calls per second that one daemon may send over the paid
  // cross-region link.
  const double cross_region_bytes_per_second_ = 262144;
  const ActionPolicy actions_ = {};
  const PoisonPolicy poison_ = {};
  // While there are tenants, each call names one by an API key, unless its
  // route allows anonymous calls.
  const std::vector<Shared<Tenant>> tenants_ = {};

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// A committed configuration. `index_` is its position in the control group's
// log and orders configurations; 0 means that there is none yet.
struct IndexedConfiguration {
  const uint64_t index_ = 0;
  const std::shared_ptr<const Configuration> configuration_ = {};
};

// Returns the service of that name, or null. Thread-safe.
const Service* FindService(const Configuration& configuration,
                           absl::string_view name);

// Returns the route of `host` with the longest prefix of `path`, or null.
// Thread-safe.
const Route* FindRoute(const Configuration& configuration,
                       absl::string_view host,
                       absl::string_view path);

// Returns the first rule that matches, or null. Thread-safe.
const Rule* FindRule(const Service& service,
                     absl::string_view method,
                     absl::string_view path);

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_H_
