#ifndef MEASURE_REPORT_H_
#define MEASURE_REPORT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "measure/cost.h"
#include "measure/load.h"

namespace gooseberrygap::measure {

// Figures of one scenario and strategy in one round. Latencies are those of
// good calls; costs are divided by the calls, with those of the warm-up.
struct Figures {
  const double p50_ms_ = 0;
  const double p99_ms_ = 0;
  const double p999_ms_ = 0;
  const double goodput_ = 0;  // Good calls per second.
  const double good_percent_ = 0;
  const double executions_ = 0;
  const double cross_region_bytes_ = 0;
  const double load_bytes_ = 0;
  const double load_messages_ = 0;
  const double load_percent_ = 0;  // Of all bytes between daemons.
  const double cpu_us_ = 0;        // Of all daemons.
  const double late_percent_ = 0;

  friend bool operator==(const Figures&, const Figures&) = default;
};

// `seconds` is the length without the warm-up, `calls` the number of calls with
// the warm-up. Thread-safe.
Figures MakeFigures(const std::vector<Sample>& samples,
                    double seconds,
                    size_t calls,
                    const Cost& cost);

// The rounds' figures by scenario and strategy, in the order of measurement.
class Results {
 public:
  struct Row {
    std::string scenario_;
    std::string strategy_;
    std::vector<Figures> rounds_;
  };

  void Add(const std::string& scenario,
           const std::string& strategy,
           const Figures& figures);
  const std::vector<Row>& rows() const { return rows_; }

 private:
  std::vector<Row> rows_;
};

// Returns a Markdown table of medians with ranges. Thread-safe.
std::string PrintTable(const Results& results);

// Returns a plot of p50, p99 and p99.9 with their ranges. Thread-safe.
std::string PrintPlot(const Results& results);

}  // namespace gooseberrygap::measure

#endif  // MEASURE_REPORT_H_
