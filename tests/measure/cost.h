#ifndef MEASURE_COST_H_
#define MEASURE_COST_H_

#include <map>
#include <string>

#include "support/deployment.h"

namespace gooseberrygap::measure {

// Totals of one daemon since its start.
struct DaemonTotals {
  const pid_t pid_ = 0;
  const double cpu_ms_ = 0;
  const double deliveries_ = 0;

  friend bool operator==(const DaemonTotals&, const DaemonTotals&) = default;
};

// Totals of a deployment. The proxy's counts are zero without a proxy.
struct Totals {
  const std::map<std::string, DaemonTotals> daemons_ = {};
  const double cross_region_bytes_ = 0;
  const double peer_bytes_ = 0;
  const double load_bytes_ = 0;  // Probes and their replies.
  const double load_messages_ = 0;

  friend bool operator==(const Totals&, const Totals&) = default;
};

// Reads the daemons' CPU time and counters and the proxy's counts.
Totals ReadTotals(const test_support::Deployment& deployment);

// What a load has cost.
struct Cost {
  const double cpu_ms_ = 0;
  const double executions_ = 0;
  const double cross_region_bytes_ = 0;
  const double peer_bytes_ = 0;
  const double load_bytes_ = 0;
  const double load_messages_ = 0;

  friend bool operator==(const Cost&, const Cost&) = default;
};

// Returns the difference. Daemons that ended or started in between are left
// out. Thread-safe.
Cost Difference(const Totals& before, const Totals& after);

}  // namespace gooseberrygap::measure

#endif  // MEASURE_COST_H_
