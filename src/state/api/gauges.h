#ifndef STATE_API_GAUGES_H_
#define STATE_API_GAUGES_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrygap::state {

// Values that rise and fall. Each has a row with its name in gauges.cc.
enum class Gauge {
  kAuthorizationLeft,  // Milliseconds.
  kConfirmationAge,    // Milliseconds.
  kEvacuationOrderIndex,
  kOwnDomainEvacuated,  // 1 or 0.
  kEvacuationIndex,     // Log index of the newest order.
  kEvacuatedDomains,
  kTargetCold,       // 1 or 0.
  kTargetUncertain,  // 1 or 0.
  kQuotaGrantAge,    // Milliseconds.
  // Bytes held for callers.
  kHeldHeadBytes,
  kHeldBodyBytes,
  kHeldAnswerBytes,
  kHeldMessageBytes,
  kHeldByteLimit,
  kReservedBodyBytes,
  kCount,
};

// The value of one gauge.
struct GaugeSample {
  const std::string name_ = {};
  const std::string help_ = {};
  const double value_ = 0;

  friend bool operator==(const GaugeSample&, const GaugeSample&) = default;
};

// All gauges of a process. Thread-safe.
class Gauges {
 public:
  // All gauges start without a value.
  Gauges();

  // Sets the value, or removes it: a gauge that does not apply has none.
  void Set(Gauge gauge, std::optional<double> value);
  std::optional<double> Get(Gauge gauge) const;
  // Returns the gauges that have a value.
  std::vector<GaugeSample> Samples() const;

 private:
  std::array<std::atomic<double>, static_cast<size_t>(Gauge::kCount)> values_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_GAUGES_H_
