#ifndef COORDINATION_INTERNAL_EVACUATION_REPORT_H_
#define COORDINATION_INTERNAL_EVACUATION_REPORT_H_

#include <set>
#include <string>

#include "coordination/api/commands.h"

namespace gooseberrygap::coordination {

// Reports the evacuations in force at a daemon by gauges, and each change by a
// log line. Not thread-safe.
class EvacuationReport {
 public:
  // `gauges` must outlive the report.
  EvacuationReport(std::string own_domain, state::Gauges* gauges);

  // Sets the gauges, and returns a log line for each failure domain whose
  // evacuation has come into force or has ended since the last call.
  // Precondition: `evacuations` is not older than that of the last call.
  Commands Update(const state::Evacuations& evacuations);

 private:
  const std::string own_domain_;
  state::Gauges* const gauges_;
  std::set<std::string> evacuated_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_EVACUATION_REPORT_H_
