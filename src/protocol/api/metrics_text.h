#ifndef PROTOCOL_API_METRICS_TEXT_H_
#define PROTOCOL_API_METRICS_TEXT_H_

#include <string>
#include <vector>

#include "state/state.h"

namespace gooseberrygap::protocol {

// Returns the samples in the Prometheus text format. Precondition: the samples
// of one family follow each other, as Counters::Samples returns them.
// Thread-safe.
std::string PrintMetrics(const std::vector<state::CounterSample>& samples);
// Returns the gauges in the same format. Thread-safe.
std::string PrintGauges(const std::vector<state::GaugeSample>& samples);
// Returns the histograms in the same format. Thread-safe.
std::string PrintHistograms(const std::vector<state::HistogramSample>& samples);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_METRICS_TEXT_H_
