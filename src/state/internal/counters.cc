#include "absl/strings/str_cat.h"
#include "state/state.h"

namespace gooseberrygap::state {

namespace {

struct CounterRow {
  const Counter counter_;
  const absl::string_view name_;
  const absl::string_view help_;
};

constexpr std::array<CounterRow, static_cast<size_t>(Counter::kCount)> kRows = {
    {
        {Counter::kCallsReceived, "call_received",
         "Calls accepted from callers."},
        {Counter::kCallsComplete, "call_complete",
         "Calls answered as complete."},
        {Counter::kCallsNotRun, "call_not_run", "Calls answered as not run."},
        {Counter::kCallsUnknown, "call_unknown", "Calls with unknown outcome."},
        {Counter::kCallsCrossRegion, "call_cross_region",
         "Attempts sent to a target in another region."},
        {Counter::kAttemptsSent, "attempt_sent", "Attempts sent to guards."},
        {Counter::kAttemptsReceived, "attempt_received",
         "Attempts received by this guard."},
        {Counter::kAttemptsDuplicate, "attempt_duplicate",
         "Repeated attempts that this guard ignored."},
        {Counter::kAttemptsResumed, "attempt_resumed",
         "Requests to answer an attempt on a new link, received by this "
         "guard."},
        {Counter::kAnswersLate, "answer_late",
         "Answers that came after their call had ended."},
        {Counter::kAnswersIncomplete, "answer_cut",
         "Target answers that ended before their stated length."},
        {Counter::kDeliveries, "delivery_started",
         "Requests sent to the target."},
        {Counter::kDeliveriesCancelled, "delivery_cancelled",
         "Requests cancelled at the target."},
        {Counter::kProbesSent, "load_probe", "Load probes sent."},
        {Counter::kPaceProbes, "pace_probe",
         "Requests that asked the own target for its pace."},
        {Counter::kLoadBytesDomain, "load_bytes_domain",
         "Bytes spent on load within the failure domain."},
        {Counter::kLoadBytesRegion, "load_bytes_region",
         "Bytes spent on load within the region."},
        {Counter::kLoadBytesCrossRegion, "load_bytes_cross_region",
         "Bytes spent on load across regions."},
        {Counter::kLoadMessagesDomain, "load_messages_domain",
         "Messages spent on load within the failure domain."},
        {Counter::kLoadMessagesRegion, "load_messages_region",
         "Messages spent on load within the region."},
        {Counter::kLoadMessagesCrossRegion, "load_messages_cross_region",
         "Messages spent on load across regions."},
        {Counter::kLoadBudgetExhausted, "load_budget_exhausted",
         "Probes not sent because the budget was spent."},
        {Counter::kPeerMessagesSent, "peer_message_sent",
         "Peer messages sent."},
        {Counter::kPeerMessagesReceived, "peer_message_received",
         "Peer messages received."},
        {Counter::kPeerMessagesMalformed, "peer_message_malformed",
         "Peer messages dropped because they could not be decoded."},
        {Counter::kPeerBytesSent, "peer_bytes_sent",
         "Peer payload bytes sent."},
        {Counter::kPeerBytesReceived, "peer_bytes_received",
         "Peer payload bytes received."},
        {Counter::kPeerSendsRefused, "peer_send_refused",
         "Peer messages refused because the connection's queue was full."},
        {Counter::kLinksReset, "peer_link_reset",
         "Silent peer connections replaced by new ones."},
        {Counter::kBodyTransfersBegun, "body_transfer_begun",
         "Large bodies offered to other daemons."},
        {Counter::kBodyTransfersGranted, "body_transfer_granted",
         "Large bodies that other daemons were allowed to send."},
        {Counter::kBodyTransfersWaited, "body_transfer_waited",
         "Offers of large bodies that waited for room."},
        {Counter::kBodyTransfersRefused, "body_transfer_refused",
         "Offers of large bodies refused for lack of room."},
        {Counter::kBodyTransfersAbandoned, "body_transfer_abandoned",
         "Large bodies that ended before they were received as a whole."},
        {Counter::kLeasesRenewed, "lease_renewed", "Leases renewed."},
        {Counter::kLeaseControlMoves, "lease_control_move",
         "Moves of the lease to another control instance."},
        {Counter::kDenialsHeld, "ingress_denial_held",
         "Calls that the configuration does not allow, held until the control "
         "group has confirmed it."},
        {Counter::kWithdrawalsNotStored, "withdrawal_not_stored",
         "Withdrawals of targets that were not acknowledged, since the control "
         "group had not stored them in time."},
        {Counter::kConfigurationsApplied, "configuration_applied",
         "Configurations taken into force."},
        {Counter::kConfigurationsOlderIgnored, "configuration_older_ignored",
         "Configurations ignored because a newer one is in force."},
        {Counter::kConfigurationDeltasUnusable, "configuration_delta_unusable",
         "Configuration deltas ignored because their base is not in force."},
        {Counter::kConfigurationDeltasSent, "configuration_delta_sent",
         "Configurations sent to daemons as a delta."},
        {Counter::kConfigurationDocumentsSent, "configuration_document_sent",
         "Configurations sent to daemons as a whole document."},
        {Counter::kMembershipChanges, "membership_change",
         "Membership records that changed."},
        {Counter::kMembershipStaleIgnored, "membership_stale_ignored",
         "Membership records ignored because a newer one is known."},
        {Counter::kRegisterBegins, "register_begin",
         "Register begin operations."},
        {Counter::kRegisterStarts, "register_start",
         "Register start operations."},
        {Counter::kRegisterFences, "register_fence",
         "Register fence operations."},
        {Counter::kRegisterReleases, "register_release",
         "Register release operations."},
        {Counter::kRegisterFinishes, "register_finish",
         "Register finish operations."},
        {Counter::kRegisterAbandons, "register_abandon",
         "Register abandon operations."},
        {Counter::kElectionsStarted, "election_started", "Elections started."},
        {Counter::kLeaderChanges, "election_leader_change",
         "Changes of the known leader."},
        {Counter::kLogAppends, "log_append", "Entries appended to the log."},
        {Counter::kLogSyncs, "log_sync", "Syncs of the log."},
        {Counter::kLogWritesFailed, "log_write_failed",
         "Writes of the log that failed and are tried again."},
        {Counter::kDataFoldersDamaged, "log_folder_damaged",
         "Damaged data folders whose content was set aside."},
        {Counter::kSnapshotsSaved, "log_snapshot", "Snapshots saved."},
        {Counter::kTargetsEjected, "routing_target_ejected",
         "Targets ejected because they failed quickly."},
        {Counter::kTargetCrashes, "poison_crash", "Crashes of the own target."},
        {Counter::kFingerprintsConvicted, "poison_convicted",
         "Request fingerprints refused because they crashed targets."},
        {Counter::kAnnouncementsRefused, "announcement_refused",
         "Announcements and withdrawals of targets that could not be read or "
         "had values out of range."},
        {Counter::kEvacuationOrdersAccepted, "evacuation_order_accepted",
         "Evacuation orders that were acknowledged."},
        {Counter::kEvacuationOrdersNotCertain, "evacuation_order_not_certain",
         "Evacuation orders that ended without a certain result."},
        {Counter::kEvacuationOrdersNotSubmitted,
         "evacuation_order_not_submitted",
         "Evacuation orders dropped before they were submitted, because their "
         "caller had left or they had waited too long."},
        {Counter::kHttpRequestsMalformed, "http_request_malformed",
         "HTTP requests refused as malformed, too large or not whole in time."},
        {Counter::kHttpConnectionsAccepted, "http_connection_accepted",
         "HTTP connections accepted."},
        {Counter::kHttpConnectionsRefused, "http_connection_refused",
         "HTTP connections closed because the limit of connections was "
         "reached."},
        {Counter::kHttpAcceptPauses, "http_accept_pause",
         "Pauses of accepting HTTP connections, because the system refused "
         "one."},
        {Counter::kQuotaReports, "quota_report",
         "Reports to the owner of the tenants' quotas."},
        {Counter::kQuotaGrants, "quota_grant",
         "Grants of quota tokens applied."},
        {Counter::kQuotaWaits, "quota_wait",
         "Calls held until the owner of the quotas was asked."},
        {Counter::kQuotaReportsAnswered, "quota_report_answered",
         "Quota reports answered with a grant by this leader."},
    }};

constexpr bool RowsAreInEnumOrder() {
  for (size_t i = 0; i < kRows.size(); ++i) {
    if (kRows.at(i).counter_ != static_cast<Counter>(i)) {
      return false;
    }
  }
  return true;
}
static_assert(RowsAreInEnumOrder(), "kRows must follow the enum's order.");

// Appends one sample for each value of the enum, which `label` distinguishes.
template <class Enum, class Table>
void AppendLabelled(absl::string_view family,
                    absl::string_view help,
                    absl::string_view label,
                    const Table& table,
                    std::vector<CounterSample>* samples) {
  for (size_t i = 0; i < table.size(); ++i) {
    const absl::string_view name = NameOf(static_cast<Enum>(i));
    samples->push_back(
        CounterSample{.name_ = std::string(family),
                      .labels_ = absl::StrCat(label, "=\"", name, "\""),
                      .help_ = std::string(help),
                      .value_ = table.at(i).load()});
  }
}

}  // namespace

void Counters::Add(Counter counter, uint64_t amount) {
  counters_.at(static_cast<size_t>(counter)).fetch_add(amount);
}

void Counters::Add(RefusalReason reason) {
  refusals_.at(static_cast<size_t>(reason)).fetch_add(1);
}

void Counters::Add(RetryReason reason) {
  retries_.at(static_cast<size_t>(reason)).fetch_add(1);
}

void Counters::Add(AccessOutcome outcome) {
  access_.at(static_cast<size_t>(outcome)).fetch_add(1);
}

uint64_t Counters::Get(Counter counter) const {
  return counters_.at(static_cast<size_t>(counter)).load();
}

uint64_t Counters::Get(RefusalReason reason) const {
  return refusals_.at(static_cast<size_t>(reason)).load();
}

uint64_t Counters::Get(RetryReason reason) const {
  return retries_.at(static_cast<size_t>(reason)).load();
}

uint64_t Counters::Get(AccessOutcome outcome) const {
  return access_.at(static_cast<size_t>(outcome)).load();
}

std::vector<CounterSample> Counters::Samples() const {
  std::vector<CounterSample> samples;
  for (const CounterRow& row : kRows) {
    samples.push_back(CounterSample{
        .name_ = absl::StrCat("gooseberrygap_", row.name_, "_total"),
        .help_ = std::string(row.help_),
        .value_ = Get(row.counter_)});
  }
  AppendLabelled<RefusalReason>("gooseberrygap_refusal_total",
                                "Refusals by reason.", "reason", refusals_,
                                &samples);
  AppendLabelled<RetryReason>("gooseberrygap_retry_total",
                              "Retries and second copies by reason.", "reason",
                              retries_, &samples);
  AppendLabelled<AccessOutcome>("gooseberrygap_access_total",
                                "Calls by what the check of their credentials "
                                "decided.",
                                "decision", access_, &samples);
  return samples;
}

}  // namespace gooseberrygap::state
