#ifndef STATE_API_COUNTERS_H_
#define STATE_API_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state/api/gauges.h"
#include "state/api/histograms.h"
#include "state/api/reasons.h"

namespace gooseberrygap::state {

enum class Counter {
  kCallsReceived,
  kCallsComplete,
  kCallsNotRun,
  kCallsUnknown,
  kCallsCrossRegion,
  kAttemptsSent,
  kAttemptsReceived,
  kAttemptsDuplicate,
  kAttemptsResumed,
  kAnswersLate,
  kAnswersIncomplete,
  kDeliveries,
  kDeliveriesCancelled,
  kProbesSent,
  kPaceProbes,
  kLoadBytesDomain,
  kLoadBytesRegion,
  kLoadBytesCrossRegion,
  kLoadMessagesDomain,
  kLoadMessagesRegion,
  kLoadMessagesCrossRegion,
  kLoadBudgetExhausted,
  kPeerMessagesSent,
  kPeerMessagesReceived,
  kPeerMessagesMalformed,
  kPeerBytesSent,
  kPeerBytesReceived,
  kPeerSendsRefused,
  kLinksReset,
  kBodyTransfersBegun,
  kBodyTransfersGranted,
  kBodyTransfersWaited,
  kBodyTransfersRefused,
  kBodyTransfersAbandoned,
  kLeasesRenewed,
  kLeaseControlMoves,
  kDenialsHeld,
  kWithdrawalsNotStored,
  kConfigurationsApplied,
  kConfigurationsOlderIgnored,
  kConfigurationDeltasUnusable,
  kConfigurationDeltasSent,
  kConfigurationDocumentsSent,
  kMembershipChanges,
  kMembershipStaleIgnored,
  kRegisterBegins,
  kRegisterStarts,
  kRegisterFences,
  kRegisterReleases,
  kRegisterFinishes,
  kRegisterAbandons,
  kElectionsStarted,
  kLeaderChanges,
  kLogAppends,
  kLogSyncs,
  kLogWritesFailed,
  kDataFoldersDamaged,
  kSnapshotsSaved,
  kTargetsEjected,
  kTargetCrashes,
  kFingerprintsConvicted,
  kAnnouncementsRefused,
  kEvacuationOrdersAccepted,
  kEvacuationOrdersNotCertain,
  kEvacuationOrdersNotSubmitted,
  kHttpRequestsMalformed,
  kHttpConnectionsAccepted,
  kHttpConnectionsRefused,
  kHttpAcceptPauses,
  kQuotaReports,
  kQuotaGrants,
  kQuotaWaits,
  kQuotaReportsAnswered,
  kCount,
};

// The value of one counter.
struct CounterSample {
  const std::string name_ = {};    // Name of the metric family.
  const std::string labels_ = {};  // Such as `reason="..."`; may be empty.
  const std::string help_ = {};
  const uint64_t value_ = 0;

  friend bool operator==(const CounterSample&, const CounterSample&) = default;
};

// All counters, gauges and histograms of a process. Counters never decrease.
// Thread-safe.
class Counters {
 public:
  void Add(Counter counter, uint64_t amount = 1);
  void Add(RefusalReason reason);
  void Add(RetryReason reason);
  void Add(AccessOutcome outcome);
  uint64_t Get(Counter counter) const;
  uint64_t Get(RefusalReason reason) const;
  uint64_t Get(RetryReason reason) const;
  uint64_t Get(AccessOutcome outcome) const;
  // Returns all counters, including those at zero, grouped by family.
  std::vector<CounterSample> Samples() const;

  Histograms& histograms() { return histograms_; }
  const Histograms& histograms() const { return histograms_; }
  Gauges& gauges() { return gauges_; }
  const Gauges& gauges() const { return gauges_; }

 private:
  template <class Enum>
  using Table =
      std::array<std::atomic<uint64_t>, static_cast<size_t>(Enum::kCount)>;

  Table<Counter> counters_ = {};
  Table<RefusalReason> refusals_ = {};
  Table<RetryReason> retries_ = {};
  Table<AccessOutcome> access_ = {};
  Histograms histograms_;
  Gauges gauges_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_COUNTERS_H_
